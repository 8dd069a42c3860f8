"""Relays and control hosts of streams, without links and in virtual time."""

from random import Random
from types import SimpleNamespace

import anyio

from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.mesh import ControlHostNames
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.registry import RegistryTable, accept_record
from cranberryfield.entry.registry.table import mark_leaving
from cranberryfield.entry.relay.stream_origins import find_resumed_origin, may_go_on
from cranberryfield.entry.streams import (
    ServedVersionSection,
    StreamDirectory,
    StreamOrigin,
    StreamOriginSection,
)

__all__ = ["CONTROL", "RELAYS", "StreamHosts"]

CONTROL = ("c1", "c2", "c3", "c4", "c5")
RELAYS = ("r1", "r2")
SERVICE = "drafts"
MS_PER_S = 1000


class StreamHosts:
    """Delivers messages between hosts at once, except between those that are cut off.

    Parameters
    ----------
    timeout_s : float
        Longest time for which a stream may be taken up, in seconds.
    """

    def __init__(self, timeout_s=60.0):
        self.now = 1000.0
        self.timeout_s = timeout_s
        self.down = set()
        self.cut = set()
        self.sent = []
        self.hosts, self.tables, self.served, self.watchers = {}, {}, {}, {}
        self.handlers = {}
        self.records = {}
        self.disks = {}
        for node in CONTROL:
            # They have been in service for long.
            self._build(node, float("-inf"))
        for node in RELAYS:
            self._build(node, self.now)

    def _build(self, node, complete_since):
        mesh = SimpleNamespace(
            hello=SimpleNamespace(node=node),
            handle=lambda kind, handler: self.handlers.update({(node, kind): handler}),
            watch_links=lambda watcher: self.watchers.update({node: watcher}),
            is_linked=lambda one: self.is_linked(node, one),
            request=lambda to, message, timeout: self._request(node, to, message),
            send=lambda to, message: self._send(node, to, message),
        )
        names = ControlHostNames.from_list(CONTROL)
        self.tables[node] = RegistryTable()
        self.served[node] = ServedVersionSection(complete_since=complete_since)
        self.hosts[node] = StreamDirectory(
            StreamOriginSection(),
            self.tables[node],
            mesh,
            names,
            lambda: self.now,
            self.served[node],
        )

    def is_linked(self, one, other):
        """Return whether two hosts reach each other."""
        return not self.down & {one, other} and frozenset((one, other)) not in self.cut

    def _send(self, sender, to, message):
        self.sent.append((to, message))
        if self.is_linked(sender, to):
            self.handlers[to, type(message)](sender, message)

    async def _request(self, sender, to, message):
        if not self.is_linked(sender, to):
            raise UnavailableError(ErrorKind.NOT_READY, "no answer in time")
        return self.handlers[to, type(message)](sender, message)

    # Events.

    def appear(self, version, hears=(*CONTROL, *RELAYS)):
        """Let an upstream of a version announce itself to some hosts."""
        record = UpstreamRecord(
            f"u-{version}",
            1,
            1,
            SERVICE,
            "fann",
            f"a-{version}",
            "",
            (),
            8,
            0,
            software_version=version,
        )
        self.records[version] = record
        for node in hears:
            self._hear(node, record)

    def leave(self, version):
        """Let the upstream of a version leave; the hosts that are up hear of it."""
        del self.records[version]
        for table in self.tables.values():
            mark_leaving(table, f"u-{version}", None, self.now)

    def begin(self, relay, request, version):
        """Let a stream have its first event at a version, if it may be sent there.

        Returns whether it is sent.
        """

        async def send():
            directory = self.hosts[relay]
            origin = StreamOrigin(SERVICE, version)
            if not await directory.may_begin(origin):
                return False
            directory.record(request, origin, self.now + self.timeout_s)
            return await directory.may_change(request)

        return anyio.run(send)

    def wait(self, seconds):
        """Let time pass; hosts note the versions in service as they do every 5 s."""
        steps = int(seconds)
        for _ in range(steps):
            self.now += seconds / steps
            for node in self.hosts.keys() - self.down:
                self.hosts[node].note_served()

    def kill(self, *nodes):
        """Kill hosts, which lose their memory."""
        for node in nodes:
            self.disks[node] = [
                (service, version)
                for service, versions in self.served[node].last_served.items()
                for version in versions
            ]
            self.down.add(node)
            self._notify(node, False)

    def start(self, *nodes, has_disk=True):
        """Start hosts again; upstreams announce themselves to control hosts."""
        for node in nodes:
            is_control = node in CONTROL
            keeps = is_control and has_disk
            self._build(node, float("-inf") if keeps else self.now)
            if keeps:
                for service, version in self.disks[node]:
                    self.served[node].last_served.setdefault(service, {})[version] = (
                        self.now
                    )
            self.down.discard(node)
            self._notify(node, True)
            self._exchange_tables(node)
            if is_control:
                for record in self.records.values():
                    self._hear(node, record)

    def _exchange_tables(self, node):
        """Control hosts tell a host that is linked again of all upstreams."""
        for other in CONTROL:
            if other != node and self.is_linked(node, other):
                for entry in list(self.tables[other].entries.values()):
                    self._hear(node, entry.record, entry.heard_at)

    def _hear(self, node, record, heard_at=None):
        if node in self.down:
            return
        is_new = accept_record(
            self.tables[node], record, self.now if heard_at is None else heard_at
        )
        if is_new and node in RELAYS:
            self.hosts[node].on_announcement(record)

    def _notify(self, node, is_open):
        for other in self.hosts.keys() - self.down - {node}:
            if frozenset((node, other)) in self.cut:
                continue
            pairs = ((node, other), (other, node)) if is_open else ((other, node),)
            for one, peer in pairs:
                role = "control" if peer in CONTROL else "relay"
                self.watchers[one](SimpleNamespace(node=peer, roles=(role,)), is_open)
        for host in self.hosts.values():
            while host.tell_pending():
                pass

    def cut_off(self, relay, *nodes):
        """Cut a relay off from control hosts."""
        self.cut |= {frozenset((relay, node)) for node in nodes}

    def take_up(self, relay, request):
        """Return how a stream goes on: its version, or a refusal.

        A refusal is ``refused``, or ``later`` if it says when to come back.
        """
        table = self.tables[relay]
        timeout_ms = self.timeout_s * MS_PER_S
        asked = SimpleNamespace(
            first_request=request,
            service=SERVICE,
            route=SimpleNamespace(timeout_ms=timeout_ms),
        )
        try:
            origin = anyio.run(
                find_resumed_origin, self.hosts[relay], table, asked, Random(1)
            )
        except UnavailableError as error:
            return "refused" if error.retry_after_s is None else "later"
        candidates = may_go_on(origin, table.active_upstreams(SERVICE))
        return candidates[0].software_version if candidates else "refused"
