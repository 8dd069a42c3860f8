"""State of one scenario: the running group, its callers and injected faults."""

import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path

from standins.engine import CRASH_EXIT_CODE
from standins.fleets import HOSTS, RELEVE_KEY
from standins.group import Group, Host, running_group
from standins.journal import JournalEntry
from standins.links import ENTRIES, Links
from standins.processes import wait_until
from tests.matrix.callers import Caller, RequestKind
from tests.matrix.transcripts import PlannedStop

__all__ = ["FRONTS", "ScenarioContext", "matrix_group"]

ENGINE_STEP_MS = 12.0
SERVICE_WORK_MS = 600.0
RECLAIM_MS = 1500
REQUEST_TIMEOUT_MS = 8000
ZONES = ("plateau", "fann")
#: Entry hosts that callers try first; scenarios alternate between them.
FRONTS = ("entry-1", "entry-2")
KILLED_AFTER_NOTICE_S = 2.0
STOP_TIMEOUT_S = 15.0


def _settings() -> list[dict]:
    edits = [
        {"level": "system", "set": {"request_timeout_ms": REQUEST_TIMEOUT_MS}},
        {
            "level": "workspace/releve",
            "set": {"key_hashes": [sha256(RELEVE_KEY.encode()).hexdigest()]},
        },
    ]
    for kind in RequestKind:
        values = {
            "kind": "model" if kind.is_completion else "plain",
            "idempotent": kind.is_idempotent,
        }
        edits.append({"level": f"service/{kind.service}", "set": values})
    return edits


def upstreams_of(kind: RequestKind) -> list[str]:
    """Return the ids of the upstreams for a kind of request, one per data centre."""
    return [f"{kind.service}-{zone}" for zone in ZONES]


@contextmanager
def matrix_group() -> Iterator[Group]:
    """Run six hosts, and two upstreams for each kind of request.

    Yields
    ------
    Group
        Group whose links all pass through fault proxies.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), HOSTS, proxied=True) as group,
    ):
        group.wait_for_revision(group.change_settings(_settings(), "matrix", "entry-1"))
        for kind in RequestKind:
            for name, zone in zip(upstreams_of(kind), ZONES, strict=True):
                if kind.is_completion:
                    group.add_engine(
                        name,
                        kind.service,
                        zone,
                        step_ms=ENGINE_STEP_MS,
                        reclaim_ms=RECLAIM_MS,
                    )
                else:
                    group.add_service(
                        name,
                        kind.service,
                        zone,
                        work_ms=SERVICE_WORK_MS,
                        reclaim_ms=RECLAIM_MS,
                    )
        group.wait_for_upstreams(len(group.upstreams))
        yield group


@dataclass(slots=True)
class ScenarioContext:
    """State of a scenario while it runs, with functions that inject its faults.

    Attributes
    ----------
    group : Group
        Hosts, upstreams and fault proxies.
    front : str
        Entry host that callers try first.
    callers : list of Caller
        Callers whose requests the scenario checks.
    stops : list of PlannedStop
        Planned stops that have ended.
    since_ns : int
        Wall-clock start of the scenario in nanoseconds; older journal entries are
        ignored.
    """

    group: Group
    front: str
    callers: list[Caller] = field(default_factory=list)
    stops: list[PlannedStop] = field(default_factory=list)
    since_ns: int = field(default_factory=time.time_ns)
    _frozen: list = field(default_factory=list)
    _background: list[threading.Thread] = field(default_factory=list)

    @property
    def links(self) -> Links:
        """Fault proxies of the group."""
        return self.group.links

    @property
    def entry_hosts(self) -> list[str]:
        """Names of the entry hosts, the front host first."""
        names = [
            name
            for name, host in self.group.hosts.items()
            if "entry" in host.spec.roles
        ]
        index = names.index(self.front)
        return names[index:] + names[:index]

    @property
    def other_entry_hosts(self) -> list[str]:
        """Names of the entry hosts other than the front host."""
        return self.entry_hosts[1:]

    @property
    def control_hosts(self) -> list[str]:
        """Names of the control hosts."""
        return [
            name
            for name, host in self.group.hosts.items()
            if "control" in host.spec.roles
        ]

    @property
    def kinds(self) -> list[RequestKind]:
        """Kinds of request that the callers send."""
        return list(dict.fromkeys(caller.kind for caller in self.callers))

    def leader(self) -> str:
        """Return the leader of the control group; wait until there is just one."""
        found: list[str] = []

        def has_one_leader() -> bool:
            found[:] = [name for name in self.control_hosts if self._is_leader(name)]
            return len(found) == 1

        wait_until(has_one_leader, "one leader")
        return found[0]

    def _is_leader(self, node: str) -> bool:
        view = self.group.status(node)
        return bool(view) and view["control"]["role"] == "leader"

    def commit_index(self) -> int:
        """Return the highest commit index that a control host reports."""
        views = [self.group.status(node) for node in self.control_hosts]
        return max(view["control"]["commit_index"] for view in views if view)

    def journal(self) -> list[JournalEntry]:
        """Return the journal entries that upstreams wrote during this scenario."""
        return [one for one in self.group.journal() if one.at_ns >= self.since_ns]

    def journal_entries_of(self, caller: Caller, event: str) -> list[JournalEntry]:
        """Return the journal entries of one event for runs of a caller's request."""
        journal = self.journal()
        runs = {one.run for one in journal if one.request.startswith(f"{caller.key} ")}
        return [one for one in journal if one.run in runs and one.event == event]

    def upstream_of(self, caller: Caller) -> str:
        """Return the upstream that last ran a caller's request or is about to."""
        runs = [
            one
            for event in ("started", "resumed")
            for one in self.journal_entries_of(caller, event)
        ]
        if runs:
            return max(runs, key=lambda one: one.at_ns).upstream
        names = upstreams_of(caller.kind)
        return max(names, key=lambda name: self.links.held_bytes(ENTRIES, name))

    def running_upstreams(self) -> list[str]:
        """Return the upstreams of the callers' requests, without duplicates."""
        return list(dict.fromkeys(self.upstream_of(one) for one in self.callers))

    def host(self, node: str) -> Host:
        """Return a host by name."""
        return self.group.hosts[node]

    def kill_host(self, node: str) -> None:
        """Kill a host without notice."""
        self.host(node).process.kill()
        self.links.refuse(node)

    def kill_upstream(self, name: str) -> None:
        """Kill an upstream without notice."""
        self.group.upstreams[name].kill()
        self.links.refuse(name)

    def reclaim_upstream(self, name: str) -> None:
        """Give an upstream notice; it exits by itself at the end of the notice."""
        process = self.group.upstreams[name]
        process.terminate()
        self._start_background(lambda: process.wait(STOP_TIMEOUT_S))

    def freeze(self, process) -> None:
        """Suspend a process until `thaw`."""
        process.freeze()
        self._frozen.append(process)

    def thaw(self) -> None:
        """Resume all frozen processes."""
        for process in self._frozen:
            process.thaw()
        self._frozen.clear()

    def stop_host(self, node: str) -> None:
        """Start a planned stop of a host and record its end in ``stops``."""
        asked_ns = time.time_ns()
        process = self.host(node).process
        process.terminate()

        def record_end() -> None:
            try:
                code = process.wait(STOP_TIMEOUT_S)
            except Exception:
                code = -1
            self.stops.append(PlannedStop(node, asked_ns, time.time_ns(), code))

        self._start_background(record_end)

    def reclaim_host(self, node: str) -> None:
        """Give an entry host notice and kill it at the end of the notice."""
        process = self.host(node).process
        process.terminate()

        def kill_after_notice() -> None:
            time.sleep(KILLED_AFTER_NOTICE_S)
            self.kill_host(node)

        self._start_background(kill_after_notice)

    def restart_crashed_upstreams(self) -> None:
        """Restart the upstreams that have crashed, as the platform would."""
        for name, process in list(self.group.upstreams.items()):
            if not process.is_running and process.exit_code == CRASH_EXIT_CODE:
                self.group.start_upstream(name)

    def _start_background(self, work) -> None:
        thread = threading.Thread(target=work, daemon=True)
        self._background.append(thread)
        thread.start()

    def wait_stops(self) -> None:
        """Wait until planned stops and reclaims have ended."""
        for thread in self._background:
            thread.join(STOP_TIMEOUT_S)

    def repair(self) -> None:
        """Undo all faults, restart ended processes and wait until all are healthy."""
        self.links.release()
        self.thaw()
        self.links.heal()
        self.links.close_silenced_connections()
        self.wait_stops()
        for host in self.group.hosts.values():
            if not host.process.is_running:
                host.process.start()
        for name, process in list(self.group.upstreams.items()):
            if not process.is_running:
                self.group.start_upstream(name)
        self.links.heal()
        self.wait_healthy()

    def wait_healthy(self) -> None:
        """Wait until hosts are ready and connected, and entry hosts know upstreams."""
        for node in self.group.hosts:
            wait_until(lambda node=node: self._is_healthy(node), f"{node} healthy")
        self.leader()

    def _is_healthy(self, node: str) -> bool:
        view = self.group.status(node)
        if not view or not view["ready"]:
            return False
        if len(view["peers"]) < len(self.group.hosts) - 1:
            return False
        if node in self.control_hosts:
            return True
        fresh = [
            one
            for one in self.group.known_upstreams(node)
            if not one["leaving"] and one["lease_left_ms"] > 0
        ]
        return len(fresh) == len(self.group.upstreams)
