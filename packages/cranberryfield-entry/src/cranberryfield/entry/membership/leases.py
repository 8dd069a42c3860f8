"""Lease handling: receives announcements and distributes renewals."""

from collections import defaultdict
from dataclasses import dataclass, field

import anyio

from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import DataCentre, NodeId, ServiceName, UpstreamId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import (
    FollowUpstreams,
    Renewal,
    RenewalUpdate,
    UpstreamRecord,
)
from cranberryfield.entry.membership.announcements import (
    Announcement,
    LeaseView,
    Leave,
    accept_announcement,
    accept_leave,
)
from cranberryfield.entry.membership.following import followed_upstreams
from cranberryfield.entry.membership.gossip import TableGossip
from cranberryfield.entry.membership.peers import PeersSection, live_peers
from cranberryfield.entry.membership.section import (
    UpstreamsSection,
    expire_upstreams,
    forget_upstreams,
    merge_record,
    merge_renewal,
)

__all__ = ["LeaseKeeper"]

FLUSH_S = 0.05
TICK_S = 0.25
#: Follow requests are repeated at this interval and expire after the second time.
REPEAT_FOLLOW_S = 4.0
FOLLOW_ENDS_S = 10.0


@dataclass(slots=True)
class _Follower:
    """Upstreams that another entry host follows, until the request expires."""

    upstreams: frozenset[UpstreamId]
    until: float


@dataclass(slots=True)
class _Asked:
    """Last follow request that this node sent to a home host."""

    upstreams: frozenset[UpstreamId] = field(default_factory=frozenset)
    at: float = float("-inf")


class LeaseKeeper:
    """Propagates lease renewals of upstreams between entry hosts.

    Each upstream has a home, the entry host that receives its announcements.
    The home sends renewals in batches to the hosts that follow the upstream.

    Parameters
    ----------
    upstreams : UpstreamsSection
        Table of upstreams, modified by this object and `gossip`.
    peers : PeersSection
        Table of entry hosts.
    gossip : TableGossip
        Propagates changed records to all entry hosts.
    mesh : Mesh
        Links to other processes.
    data_centre : DataCentre
        Data centre of this node.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        upstreams: UpstreamsSection,
        peers: PeersSection,
        gossip: TableGossip,
        mesh: Mesh,
        data_centre: DataCentre,
        clock: Clock,
    ):
        self._upstreams = upstreams
        self._peers = peers
        self._gossip = gossip
        self._mesh = mesh
        self._own = peers.own
        self._data_centre = data_centre
        self._clock = clock
        self._followers: dict[NodeId, _Follower] = {}
        self._asked: dict[NodeId, _Asked] = {}
        self._followed: frozenset[UpstreamId] = frozenset()
        self._renewals: dict[UpstreamId, Renewal] = {}
        self._table_changed = True
        gossip.watch_upstreams(self._on_record)
        mesh.watch_links(self._on_link)
        mesh.handle(FollowUpstreams, self._on_follow)
        mesh.handle(RenewalUpdate, self._on_renewals)

    @property
    def followed(self) -> frozenset[UpstreamId]:
        """Upstreams whose renewals this node requests."""
        return self._followed

    def announce(self, announcement: Announcement) -> LeaseView:
        """Apply and propagate an announcement; see `accept_announcement`."""
        now = self._clock()
        homes = frozenset(one.node for one in live_peers(self._peers, now))
        accepted = accept_announcement(
            self._upstreams, announcement, self._own, homes, now
        )
        if accepted.record is not None:
            self._gossip.publish(accepted.record)
            self._table_changed = True
        renewal = accepted.renewal
        home = self._upstreams.upstreams[renewal.upstream].record.home
        if home == self._own:
            self._renewals[renewal.upstream] = renewal
        else:
            self._mesh.send(home, RenewalUpdate((renewal,)))
        return LeaseView(accepted.lease_ms)

    def leave(self, leave: Leave) -> None:
        """Mark an upstream as leaving and propagate it; see `accept_leave`."""
        record = accept_leave(self._upstreams, leave, self._own, self._clock())
        self._gossip.publish(record)
        self._table_changed = True

    def take_departure(self, record: UpstreamRecord) -> None:
        """Merge and propagate a record of an upstream that is leaving."""
        if merge_record(self._upstreams, record, self._clock()):
            self._gossip.publish(record)
            self._table_changed = True

    async def run(self) -> None:
        """Send renewals and maintain the tables until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._flush_often)
            tasks.start_soon(self._tick_often)

    async def _flush_often(self) -> None:
        while True:
            self._flush()
            await anyio.sleep(FLUSH_S)

    async def _tick_often(self) -> None:
        while True:
            self._tick()
            await anyio.sleep(TICK_S)

    def _flush(self) -> None:
        if not self._renewals:
            return
        renewals, self._renewals = self._renewals, {}
        for node, follower in self._followers.items():
            wanted = tuple(
                renewal
                for upstream, renewal in renewals.items()
                if upstream in follower.upstreams
            )
            if wanted:
                self._mesh.send(node, RenewalUpdate(wanted))

    def _tick(self) -> None:
        now = self._clock()
        live = frozenset(one.node for one in live_peers(self._peers, now))
        for record in expire_upstreams(self._upstreams, self._own, now):
            self._gossip.publish(record)
        if forget_upstreams(self._upstreams, live, now):
            self._table_changed = True
        self._followers = {
            node: follower
            for node, follower in self._followers.items()
            if now < follower.until
        }
        if self._table_changed:
            self._table_changed = False
            self._choose_followed()
        self._ask_homes(now)

    def _choose_followed(self) -> None:
        records = [
            known.record
            for known in self._upstreams.upstreams.values()
            if not known.record.leaving and known.record.lease_ms
        ]
        self._followed = followed_upstreams(self._own, self._data_centre, records)
        by_service: dict[ServiceName, list[UpstreamId]] = defaultdict(list)
        for record in records:
            if record.upstream in self._followed:
                by_service[record.service].append(record.upstream)
        self._upstreams.followed = {
            service: tuple(upstreams) for service, upstreams in by_service.items()
        }

    def _ask_homes(self, now: float) -> None:
        wanted: dict[NodeId, set[UpstreamId]] = defaultdict(set)
        for upstream in self._followed:
            known = self._upstreams.upstreams.get(upstream)
            if known is not None:
                wanted[known.record.home].add(upstream)
        wanted.pop(self._own, None)
        for home in self._asked.keys() - wanted.keys():
            del self._asked[home]
            self._mesh.send(home, FollowUpstreams(()))
        for home, upstreams in wanted.items():
            asked = self._asked.setdefault(home, _Asked())
            if upstreams != asked.upstreams or now >= asked.at + REPEAT_FOLLOW_S:
                sent = self._mesh.send(home, FollowUpstreams(tuple(sorted(upstreams))))
                if sent:
                    self._asked[home] = _Asked(frozenset(upstreams), now)

    def _on_link(self, peer: Hello, is_open: bool) -> None:
        """Repeat the follow request to a home that may have restarted."""
        if is_open:
            self._asked.pop(peer.node, None)

    def _on_record(self, record: UpstreamRecord) -> None:
        self._table_changed = True

    def _on_follow(self, sender: NodeId, message: FollowUpstreams) -> None:
        if not message.upstreams:
            self._followers.pop(sender, None)
            return
        until = self._clock() + FOLLOW_ENDS_S
        self._followers[sender] = _Follower(frozenset(message.upstreams), until)

    def _on_renewals(self, sender: NodeId, message: RenewalUpdate) -> None:
        now = self._clock()
        for renewal in message.renewals:
            if not merge_renewal(self._upstreams, renewal, now):
                continue
            home = self._upstreams.upstreams[renewal.upstream].record.home
            if home == self._own:
                self._renewals[renewal.upstream] = renewal
