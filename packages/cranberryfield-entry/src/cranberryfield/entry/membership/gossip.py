"""Passes announcements on to the other entry hosts."""

from cranberryfield.core.clock import Clock
from cranberryfield.core.config import Role
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import UpstreamRecord, UpstreamUpdate
from cranberryfield.entry.membership.section import UpstreamsSection, merge_record

__all__ = ["MembershipGossip"]

MS_PER_S = 1000


class MembershipGossip:
    """Keeps the tables of upstreams on all entry hosts alike.

    Parameters
    ----------
    section : UpstreamsSection
        This host's table.
    mesh : Mesh
        Links to other processes.
    clock : Clock
        Monotonic time.
    """

    def __init__(self, section: UpstreamsSection, mesh: Mesh, clock: Clock):
        self._section = section
        self._mesh = mesh
        self._clock = clock
        mesh.handle(UpstreamUpdate, self._on_update)
        mesh.watch_links(self._on_link)

    def publish(self, record: UpstreamRecord) -> None:
        """Send one announcement, just heard, to every linked entry host."""
        update = UpstreamUpdate((record,), (0,))
        for peer in self._mesh.peers:
            if Role.ENTRY.value in peer.roles:
                self._mesh.send(peer.node, update)

    def _on_link(self, peer: Hello, is_open: bool) -> None:
        if is_open and Role.ENTRY.value in peer.roles and self._section.upstreams:
            self._mesh.send(peer.node, self._whole_table())

    def _whole_table(self) -> UpstreamUpdate:
        now = self._clock()
        known = self._section.upstreams.values()
        return UpstreamUpdate(
            tuple(one.record for one in known),
            tuple(int((now - one.heard_at) * MS_PER_S) for one in known),
        )

    def _on_update(self, sender: NodeId, update: UpstreamUpdate) -> None:
        now = self._clock()
        for record, age_ms in zip(update.records, update.ages_ms, strict=True):
            merge_record(self._section, record, now - age_ms / MS_PER_S)
