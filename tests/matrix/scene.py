"""One running group and the requests of one scenario in it."""

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
from tests.matrix.transcripts import Stop

__all__ = ["FRONTS", "Scene", "matrix_group"]

STEP_MS = 12.0
WORK_MS = 600.0
RECLAIM_MS = 1500
REQUEST_TIMEOUT_MS = 8000
ZONES = ("plateau", "fann")
#: Hosts that callers try first, by turns.
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
    """Return the ids of a service's upstreams, one in each data centre."""
    return [f"{kind.service}-{zone}" for zone in ZONES]


@contextmanager
def matrix_group() -> Iterator[Group]:
    """Run six hosts, and two upstreams for each kind of request.

    Yields
    ------
    Group
        All links of which go through fault proxies.
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
                        step_ms=STEP_MS,
                        reclaim_ms=RECLAIM_MS,
                    )
                else:
                    group.add_service(
                        name,
                        kind.service,
                        zone,
                        work_ms=WORK_MS,
                        reclaim_ms=RECLAIM_MS,
                    )
        group.wait_for_upstreams(len(group.upstreams))
        yield group


@dataclass(slots=True)
class Scene:
    """What one scenario works on.

    Attributes
    ----------
    group : Group
        All processes.
    front : str
        The entry host that callers try first.
    callers : list of Caller
        One for each kind of request, and innocent ones beside a crash.
    stops : list of Stop
        Planned stops that have ended.
    since_ns : int
        Start of the scenario.
    """

    group: Group
    front: str
    callers: list[Caller] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    since_ns: int = field(default_factory=time.time_ns)
    _frozen: list = field(default_factory=list)
    _background: list[threading.Thread] = field(default_factory=list)

    @property
    def links(self) -> Links:
        """The group's fault proxies."""
        return self.group.links

    @property
    def entries(self) -> list[str]:
        """Entry hosts, the front one first."""
        names = [
            name
            for name, host in self.group.hosts.items()
            if "entry" in host.spec.roles
        ]
        turn = names.index(self.front)
        return names[turn:] + names[:turn]

    @property
    def others(self) -> list[str]:
        """Entry hosts behind the front one."""
        return self.entries[1:]

    @property
    def controls(self) -> list[str]:
        """Control hosts."""
        return [
            name
            for name, host in self.group.hosts.items()
            if "control" in host.spec.roles
        ]

    @property
    def kinds(self) -> list[RequestKind]:
        """Kinds of request that take part."""
        return list(dict.fromkeys(caller.kind for caller in self.callers))

    def leader(self) -> str:
        """Return the control host that leads now."""
        found: list[str] = []

        def look() -> bool:
            found[:] = [name for name in self.controls if self._leads(name)]
            return len(found) == 1

        wait_until(look, "one leader")
        return found[0]

    def _leads(self, node: str) -> bool:
        view = self.group.status(node)
        return bool(view) and view["control"]["role"] == "leader"

    def commit_index(self) -> int:
        """Return the highest commit index of the control hosts."""
        views = [self.group.status(node) for node in self.controls]
        return max(view["control"]["commit_index"] for view in views if view)

    def journal(self) -> list[JournalEntry]:
        """Return what upstreams did in this scenario."""
        return [one for one in self.group.journal() if one.at_ns >= self.since_ns]

    def entries_of(self, caller: Caller, event: str) -> list[JournalEntry]:
        """Return the journals' entries of one caller's runs."""
        journal = self.journal()
        runs = {one.run for one in journal if one.request.startswith(f"{caller.key} ")}
        return [one for one in journal if one.run in runs and one.event == event]

    def upstream_of(self, caller: Caller) -> str:
        """Return the upstream that runs a request, or is about to."""
        runs = [
            one
            for event in ("started", "resumed")
            for one in self.entries_of(caller, event)
        ]
        if runs:
            return max(runs, key=lambda one: one.at_ns).upstream
        names = upstreams_of(caller.kind)
        return max(names, key=lambda name: self.links.held_bytes(ENTRIES, name))

    def running_upstreams(self) -> list[str]:
        """Return the upstream of each request."""
        return list(dict.fromkeys(self.upstream_of(one) for one in self.callers))

    def host(self, node: str) -> Host:
        """Return one of the system's processes."""
        return self.group.hosts[node]

    def kill_host(self, node: str) -> None:
        """End one of the system's processes without notice."""
        self.host(node).process.kill()
        self.links.refuse(node)

    def kill_upstream(self, name: str) -> None:
        """End an upstream without notice."""
        self.group.upstreams[name].kill()
        self.links.refuse(name)

    def reclaim_upstream(self, name: str) -> None:
        """Give an upstream notice; it ends by itself when that is over."""
        process = self.group.upstreams[name]
        process.terminate()
        self._in_background(lambda: process.wait(STOP_TIMEOUT_S))

    def freeze(self, process) -> None:
        """Stop a process from running until `thaw`."""
        process.freeze()
        self._frozen.append(process)

    def thaw(self) -> None:
        """Let all frozen processes run on."""
        for process in self._frozen:
            process.thaw()
        self._frozen.clear()

    def stop_host(self, node: str) -> None:
        """Begin a planned stop and note its end."""
        asked_ns = time.time_ns()
        process = self.host(node).process
        process.terminate()

        def watch() -> None:
            try:
                code = process.wait(STOP_TIMEOUT_S)
            except Exception:
                code = -1
            self.stops.append(Stop(node, asked_ns, time.time_ns(), code))

        self._in_background(watch)

    def reclaim_host(self, node: str) -> None:
        """Give an entry host notice and end it when that is over."""
        process = self.host(node).process
        process.terminate()

        def end() -> None:
            time.sleep(KILLED_AFTER_NOTICE_S)
            self.kill_host(node)

        self._in_background(end)

    def revive_crashed(self) -> None:
        """Start crashed upstreams again, as the platform would, once."""
        for name, process in list(self.group.upstreams.items()):
            if not process.is_running and process.exit_code == CRASH_EXIT_CODE:
                self.group.start_upstream(name)

    def _in_background(self, work) -> None:
        thread = threading.Thread(target=work, daemon=True)
        self._background.append(thread)
        thread.start()

    def settle(self) -> None:
        """Wait for planned stops and reclaims to end."""
        for thread in self._background:
            thread.join(STOP_TIMEOUT_S)

    def repair(self) -> None:
        """Undo all faults and start again what has ended."""
        self.links.release()
        self.thaw()
        self.links.heal()
        self.links.close_silenced_connections()
        self.settle()
        for host in self.group.hosts.values():
            if not host.process.is_running:
                host.process.start()
        for name, process in list(self.group.upstreams.items()):
            if not process.is_running:
                self.group.start_upstream(name)
        self.links.heal()
        self.wait_healthy()

    def wait_healthy(self) -> None:
        """Wait until all hosts and upstreams are up and know each other."""
        for node in self.group.hosts:
            wait_until(lambda node=node: self._is_healthy(node), f"{node} healthy")
        self.leader()

    def _is_healthy(self, node: str) -> bool:
        view = self.group.status(node)
        if not view or not view["ready"]:
            return False
        if len(view["peers"]) < len(self.group.hosts) - 1:
            return False
        if node in self.controls:
            return True
        fresh = [
            one
            for one in self.group.known_upstreams(node)
            if not one["leaving"] and one["lease_left_ms"] > 0
        ]
        return len(fresh) == len(self.group.upstreams)
