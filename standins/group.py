"""A small group: control hosts, entry hosts, engines and plain services."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path

import httpx
import msgspec
import yaml

from standins.engine import EngineOptions
from standins.journal import Entry, read_journal
from standins.processes import Process, free_port, wait_until
from standins.service import ServiceOptions

__all__ = ["Group", "HostPlan", "running_group"]

MESH_KEY = "mesh-key-for-loopback-only"
OPERATOR_KEY = "operator-key"
UPSTREAM_KEY = "upstream-key"
CALL_TIMEOUT_S = 30.0


def _digest(key: str) -> str:
    return sha256(key.encode()).hexdigest()


@dataclass(frozen=True, slots=True)
class HostPlan:
    """One process of the system that a group is to have.

    Attributes
    ----------
    node : str
        Its id.
    data_centre : str
        Where it is said to run.
    roles : tuple of str
        What it does.
    """

    node: str
    data_centre: str
    roles: tuple[str, ...] = ("entry",)


@dataclass(slots=True)
class Host:
    """A process of the system and its addresses."""

    plan: HostPlan
    process: Process
    callers: str
    mesh: str


@dataclass(slots=True)
class Group:
    """Everything that runs.

    Attributes
    ----------
    folder : pathlib.Path
        Files of the group.
    hosts : dict
        Processes of the system by node.
    upstreams : dict
        Stand-ins by upstream id.
    """

    folder: Path
    hosts: dict[str, Host] = field(default_factory=dict)
    upstreams: dict[str, Process] = field(default_factory=dict)

    def add_hosts(self, plans: list[HostPlan]) -> None:
        """Write the configuration of each host and start them all."""
        for plan in plans:
            ports = [free_port(), free_port()]
            config = self.folder / f"{plan.node}.yaml"
            process = Process(
                plan.node,
                ["cranberryfield.daemon", "--config", str(config)],
                self.folder,
            )
            callers, mesh = (f"127.0.0.1:{port}" for port in ports)
            self.hosts[plan.node] = Host(plan, process, callers, mesh)
        for host in self.hosts.values():
            self._write_config(host)
            host.process.start()

    def _write_config(self, host: Host) -> None:
        plan = host.plan
        control = [one for one in self.hosts.values() if "control" in one.plan.roles]
        config = {
            "node": plan.node,
            "group": "loopback",
            "data_centre": plan.data_centre,
            "roles": list(plan.roles),
            "mesh": host.mesh,
            "callers": host.callers,
            "control": [{"node": one.plan.node, "mesh": one.mesh} for one in control],
            "seeds": [
                one.mesh for one in self.hosts.values() if "entry" in one.plan.roles
            ],
            "mesh_key": MESH_KEY,
            "operator_keys": [_digest(OPERATOR_KEY)],
            "upstream_keys": [_digest(UPSTREAM_KEY)],
        }
        if "control" in plan.roles:
            config["data_folder"] = str(self.folder / f"{plan.node}-data")
        file = self.folder / f"{plan.node}.yaml"
        file.write_text(yaml.safe_dump(config, sort_keys=False))

    @property
    def entry_addresses(self) -> list[str]:
        """Addresses of the entry hosts for callers."""
        return [
            host.callers for host in self.hosts.values() if "entry" in host.plan.roles
        ]

    def add_engine(self, id: str, service: str, data_centre: str, **options) -> None:
        """Start one engine."""
        port = free_port()
        full = EngineOptions(
            id=id,
            service=service,
            data_centre=data_centre,
            port=port,
            journal=str(self.journal_path(id)),
            announce=tuple(self.entry_addresses),
            key=UPSTREAM_KEY,
            incarnation=time.time_ns() // 1_000_000,
            **options,
        )
        self._start_upstream(id, "standins.engine", full)

    def add_service(self, id: str, service: str, data_centre: str, **options) -> None:
        """Start one process of a plain service."""
        full = ServiceOptions(
            id=id,
            service=service,
            data_centre=data_centre,
            port=free_port(),
            journal=str(self.journal_path(id)),
            announce=tuple(self.entry_addresses),
            key=UPSTREAM_KEY,
            incarnation=time.time_ns() // 1_000_000,
            **options,
        )
        self._start_upstream(id, "standins.service", full)

    def _start_upstream(self, id: str, module: str, options: msgspec.Struct) -> None:
        text = msgspec.json.encode(options).decode()
        process = Process(id, [module, text], self.folder)
        self.upstreams[id] = process
        process.start()

    def journal_path(self, upstream: str) -> Path:
        """Return the file in which an upstream's stand-in writes what it does."""
        return self.folder / f"{upstream}.journal"

    def journal(self) -> list[Entry]:
        """Return what all upstreams did, in order of time."""
        entries = [
            entry
            for upstream in self.upstreams
            for entry in read_journal(self.journal_path(upstream))
        ]
        return sorted(entries, key=lambda entry: entry.at_ns)

    def change_settings(self, edits: list[dict], change_id: str, node: str) -> int:
        """Change settings through a node; return the new revision."""
        response = httpx.post(
            f"http://{self.hosts[node].callers}/operator/settings",
            json={"change_id": change_id, "edits": edits},
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
        )
        response.raise_for_status()
        return response.json()["revision"]

    def status(self, node: str) -> dict | None:
        """Return a node's status, or None if it does not answer."""
        return self._operator_get(node, "status")

    def known_upstreams(self, node: str) -> list[dict]:
        """Return the upstreams that a node knows."""
        return self._operator_get(node, "upstreams") or []

    def _operator_get(self, node: str, path: str):
        try:
            response = httpx.get(
                f"http://{self.hosts[node].callers}/operator/{path}",
                headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
                timeout=2.0,
                trust_env=False,
            )
        except httpx.HTTPError:
            return None
        return response.json() if response.is_success else None

    def wait_revision(self, revision: int) -> None:
        """Wait until every running host has a settings revision in force."""
        for node, host in self.hosts.items():
            if host.process.is_running:
                wait_until(
                    lambda node=node: (
                        (self.status(node) or {}).get("settings_revision", -1)
                        >= revision
                    ),
                    f"revision {revision} on {node}",
                )

    def wait_upstreams(self, count: int) -> None:
        """Wait until every running entry host knows `count` upstreams."""
        for node, host in self.hosts.items():
            if "entry" in host.plan.roles and host.process.is_running:
                wait_until(
                    lambda node=node: len(self.known_upstreams(node)) >= count,
                    f"{count} upstreams on {node}",
                )

    def stop(self) -> None:
        """End every process."""
        for process in self.upstreams.values():
            process.kill()
        for host in self.hosts.values():
            host.process.kill()


@contextmanager
def running_group(folder: Path, plans: list[HostPlan]) -> Iterator[Group]:
    """Run a group and end all its processes afterwards.

    Parameters
    ----------
    folder : pathlib.Path
        Where its files go.
    plans : list of HostPlan
        The hosts.

    Yields
    ------
    Group
        The group, its hosts ready.
    """
    group = Group(folder)
    try:
        group.add_hosts(plans)
        for node in group.hosts:
            wait_until(lambda node=node: group.status(node), f"{node} answers")
        wait_until(lambda: _has_leader(group), "a leader of the control group")
        yield group
    finally:
        group.stop()


def _has_leader(group: Group) -> bool:
    views = [group.status(node) for node in group.hosts]
    return any(
        view and view.get("control") and view["control"]["role"] == "leader"
        for view in views
    )
