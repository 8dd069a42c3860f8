"""A small group: control hosts, entry hosts, engines and plain services."""

import os
import shutil
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path

import httpx
import msgspec
import yaml

from cranberryfield.core.config.daemon import split_address
from standins.engine import EngineOptions
from standins.journal import JournalEntry, read_journal
from standins.links import CALLERS, ENTRIES, Links, running_links
from standins.processes import Process, free_port, wait_until
from standins.service import ServiceOptions

__all__ = ["Group", "HostSpec", "running_group"]

MESH_KEY = "mesh-key-for-loopback-only"
OPERATOR_KEY = "operator-key"
UPSTREAM_KEY = "upstream-key"
CALL_TIMEOUT_S = 30.0


def _digest(key: str) -> str:
    return sha256(key.encode()).hexdigest()


@dataclass(frozen=True, slots=True)
class HostSpec:
    """Specification of one host of a group.

    Attributes
    ----------
    node : str
        Id of the host.
    data_centre : str
        Configured data centre.
    roles : tuple of str
        Roles of the host.
    """

    node: str
    data_centre: str
    roles: tuple[str, ...] = ("entry",)


@dataclass(slots=True)
class Host:
    """The process of one host and its addresses."""

    spec: HostSpec
    process: Process
    callers: str
    mesh: str
    announced_mesh: str


@dataclass(slots=True)
class Group:
    """Hosts and upstreams of a group.

    Attributes
    ----------
    folder : pathlib.Path
        Folder for the files of the group.
    hosts : dict
        Hosts by node id.
    upstreams : dict
        Processes of the stand-ins by upstream id.
    links : Links or None
        Fault proxies of the links; None if the group runs without proxies.
    """

    folder: Path
    hosts: dict[str, Host] = field(default_factory=dict)
    upstreams: dict[str, Process] = field(default_factory=dict)

    links: Links | None = None
    _options: dict[str, tuple[str, msgspec.Struct]] = field(default_factory=dict)

    def add_hosts(self, specs: list[HostSpec]) -> None:
        """Write the configuration of each host and start them all."""
        for spec in specs:
            ports = [free_port(), free_port()]
            config = self.folder / f"{spec.node}.yaml"
            process = Process(
                spec.node,
                ["cranberryfield.daemon", "--config", str(config)],
                self.folder,
            )
            callers, mesh = (f"127.0.0.1:{port}" for port in ports)
            announced = mesh
            if self.links is not None:
                announced = self._open_mesh_proxy(spec.node, ports[1])
            self.hosts[spec.node] = Host(spec, process, callers, mesh, announced)
        for host in self.hosts.values():
            self._write_config(host)
            host.process.start()

    def _write_config(self, host: Host) -> None:
        spec = host.spec
        control = [
            member for member in self.hosts.values() if "control" in member.spec.roles
        ]
        config = {
            "node": spec.node,
            "group": "loopback",
            "data_centre": spec.data_centre,
            "roles": list(spec.roles),
            "mesh": host.announced_mesh,
            "mesh_bind": host.mesh,
            "callers": host.callers,
            "control": [
                {"node": member.spec.node, "mesh": member.announced_mesh}
                for member in control
            ],
            "seeds": [
                member.announced_mesh
                for member in self.hosts.values()
                if "entry" in member.spec.roles
            ],
            "mesh_key": MESH_KEY,
            "operator_keys": [_digest(OPERATOR_KEY)],
            "upstream_keys": [_digest(UPSTREAM_KEY)],
        }
        if "control" in spec.roles:
            config["data_folder"] = str(self.folder / f"{spec.node}-data")
        file = self.folder / f"{spec.node}.yaml"
        file.write_text(yaml.safe_dump(config, sort_keys=False))

    def _open_mesh_proxy(self, node: str, port: int) -> str:
        for source in self.hosts:
            _, other = split_address(self.hosts[source].mesh)
            self.links.add_shared_proxy(source, node, port)
            self.links.add_shared_proxy(node, source, other)
        return self.links.open_shared_port(node, port, self._host_pids)

    def _host_pids(self) -> dict[str, int]:
        return {
            node: host.process.pid
            for node, host in self.hosts.items()
            if host.process.is_running
        }

    @property
    def caller_addresses(self) -> dict[str, str]:
        """Addresses for callers by entry host; the proxy addresses if there are any."""
        addresses = {}
        for node, host in self.hosts.items():
            if "entry" in host.spec.roles:
                addresses[node] = host.callers
                if self.links is not None:
                    _, port = split_address(host.callers)
                    addresses[node] = self.links.open_link(CALLERS, node, port)
        return addresses

    @property
    def entry_addresses(self) -> list[str]:
        """Direct addresses of the entry hosts for callers."""
        return [
            host.callers for host in self.hosts.values() if "entry" in host.spec.roles
        ]

    def add_engine(self, id: str, service: str, data_centre: str, **options) -> None:
        """Start one engine."""
        self._add_upstream(
            id, "standins.engine", EngineOptions, service, data_centre, options
        )

    def add_service(self, id: str, service: str, data_centre: str, **options) -> None:
        """Start one process of a plain service."""
        self._add_upstream(
            id, "standins.service", ServiceOptions, service, data_centre, options
        )

    def _add_upstream(
        self,
        id: str,
        module: str,
        options_type: type,
        service: str,
        data_centre: str,
        options: dict,
    ) -> None:
        port = free_port()
        address = ""
        if self.links is not None:
            address = self.links.open_link(ENTRIES, id, port)
        upstream_options = options_type(
            id=id,
            service=service,
            data_centre=data_centre,
            port=port,
            journal=str(self.journal_path(id)),
            announce=tuple(self.entry_addresses),
            key=UPSTREAM_KEY,
            incarnation=0,
            **{"address": address, **options},
        )
        self._options[id] = module, upstream_options
        self.start_upstream(id)

    def start_upstream(self, id: str) -> None:
        """Start or restart the process of an upstream."""
        module, options = self._options[id]
        incarnation = time.time_ns() // 1_000_000
        options = msgspec.structs.replace(options, incarnation=incarnation)
        self._options[id] = module, options
        text = msgspec.json.encode(options).decode()
        process = Process(id, [module, text], self.folder)
        self.upstreams[id] = process
        process.start()

    def data_centre_of(self, upstream: str) -> str:
        """Return the data centre of an upstream."""
        return self._options[upstream][1].data_centre

    def upstream_addresses(self, service: str) -> list[str]:
        """Return the addresses of a service's upstreams."""
        return [
            f"127.0.0.1:{options.port}"
            for _, options in self._options.values()
            if options.service == service
        ]

    def upstream_port(self, upstream: str) -> int:
        """Return the port on which an upstream listens."""
        return self._options[upstream][1].port

    def remove_upstream(self, upstream: str) -> None:
        """Kill an upstream's process and forget it; its journal file is kept."""
        self.upstreams.pop(upstream).kill()
        del self._options[upstream]

    def restart_upstream(self, id: str, **options) -> None:
        """Kill an upstream's process and restart it with changed options."""
        self.upstreams[id].kill()
        module, upstream_options = self._options[id]
        self._options[id] = module, msgspec.structs.replace(upstream_options, **options)
        self.start_upstream(id)

    def incarnation(self, upstream: str) -> int:
        """Return the current incarnation of an upstream."""
        return self._options[upstream][1].incarnation

    def data_folder(self, node: str) -> Path:
        """Return the data folder of a control host."""
        return self.folder / f"{node}-data"

    def delete_data(self, node: str) -> None:
        """Delete the data folder of a stopped control host."""
        shutil.rmtree(self.data_folder(node))

    def truncate_log(self, node: str, size: int) -> None:
        """Truncate the newest log file of a stopped control host by `size` bytes."""
        files = self.data_folder(node).rglob("log*")
        newest = max(files, key=lambda path: path.stat().st_mtime_ns)
        os.truncate(newest, max(0, newest.stat().st_size - size))

    def journal_path(self, upstream: str) -> Path:
        """Return the journal file of an upstream."""
        return self.folder / f"{upstream}.journal"

    def journal(self) -> list[JournalEntry]:
        """Return the journal entries of all upstreams in chronological order."""
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
        """Return the status of a node, or None if it does not respond."""
        return self._operator_get(node, "status")

    def known_upstreams(self, node: str) -> list[dict]:
        """Return the upstreams known to a node."""
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

    def wait_for_revision(self, revision: int) -> None:
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

    def wait_for_upstreams(self, count: int) -> None:
        """Wait until every running entry host knows `count` upstreams."""
        for node, host in self.hosts.items():
            if "entry" in host.spec.roles and host.process.is_running:
                wait_until(
                    lambda node=node: len(self.known_upstreams(node)) >= count,
                    f"{count} upstreams on {node}",
                )

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.upstreams.values():
            process.kill()
        for host in self.hosts.values():
            host.process.kill()


@contextmanager
def running_group(
    folder: Path, specs: list[HostSpec], *, proxied: bool = False
) -> Iterator[Group]:
    """Run a group and kill all its processes on exit.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for the files of the group.
    specs : list of HostSpec
        Hosts to start.
    proxied : bool
        Whether all links go through fault proxies.

    Yields
    ------
    Group
        Group whose hosts respond and whose control group has a leader.
    """
    with ExitStack() as stack:
        group = Group(folder)
        if proxied:
            group.links = stack.enter_context(running_links())
        stack.callback(group.stop)
        group.add_hosts(specs)
        for node in group.hosts:
            wait_until(lambda node=node: group.status(node), f"{node} answers")
        wait_until(lambda: _has_leader(group), "a leader of the control group")
        yield group


def _has_leader(group: Group) -> bool:
    views = [group.status(node) for node in group.hosts]
    return any(
        view and view.get("control") and view["control"]["role"] == "leader"
        for view in views
    )
