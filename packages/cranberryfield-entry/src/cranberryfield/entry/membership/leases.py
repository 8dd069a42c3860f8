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
    LeaveRequest,
    accept_announcement,
    accept_leave,
)
from cranberryfield.entry.membership.following import followed_upstreams
from cranberryfield.entry.membership.gossip import MembershipGossip
from cranberryfield.entry.membership.peers import PeersSection, live_peers
from cranberryfield.entry.membership.upstreams import (
    UpstreamsSection,
    expire_upstreams,
    forget_upstreams,
    merge_renewal,
    merge_upstream,
)

__all__ = ["LeaseManager"]

FLUSH_INTERVAL_S = 0.05
TICK_INTERVAL_S = 0.25
#: Interval at which follow requests are repeated, in seconds.
FOLLOW_REFRESH_INTERVAL_S = 4.0
#: Time after which a home drops a follow request that is not repeated, in seconds.
FOLLOW_EXPIRY_S = 10.0


@dataclass(slots=True)
class _Follower:
    """Upstreams that another entry host follows, until the request expires."""

    upstreams: frozenset[UpstreamId]
    expires_at: float


@dataclass(slots=True)
class _FollowRequest:
    """Last follow request that this node sent to a home host."""

    upstreams: frozenset[UpstreamId] = field(default_factory=frozenset)
    sent_at: float = float("-inf")


class LeaseManager:
    """Propagates lease renewals of upstreams between entry hosts.

    Each upstream has a home, the entry host that receives its announcements.
    The home sends renewals in batches to the hosts that follow the upstream.

    Parameters
    ----------
    upstreams : UpstreamsSection
        Table of upstreams, modified by this object and `gossip`.
    peers : PeersSection
        Table of entry hosts.
    gossip : MembershipGossip
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
        gossip: MembershipGossip,
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
        self._follow_requests: dict[NodeId, _FollowRequest] = {}
        self._followed: frozenset[UpstreamId] = frozenset()
        self._renewals: dict[UpstreamId, Renewal] = {}
        self._table_changed = True
        gossip.watch_upstreams(self._on_upstream_changed)
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

    def leave(self, leave: LeaveRequest) -> None:
        """Mark an upstream as leaving and propagate it; see `accept_leave`."""
        record = accept_leave(self._upstreams, leave, self._own, self._clock())
        self._gossip.publish(record)
        self._table_changed = True

    def publish_departure(self, record: UpstreamRecord) -> None:
        """Merge and propagate a record of an upstream that is leaving."""
        if merge_upstream(self._upstreams, record, self._clock()):
            self._gossip.publish(record)
            self._table_changed = True

    async def run(self) -> None:
        """Send renewals and maintain the tables until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._flush_loop)
            tasks.start_soon(self._tick_loop)

    async def _flush_loop(self) -> None:
        while True:
            self._flush()
            await anyio.sleep(FLUSH_INTERVAL_S)

    async def _tick_loop(self) -> None:
        while True:
            self._tick()
            await anyio.sleep(TICK_INTERVAL_S)

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
            if now < follower.expires_at
        }
        if self._table_changed:
            self._table_changed = False
            self._choose_followed()
        self._send_follow_requests(now)

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

    def _send_follow_requests(self, now: float) -> None:
        wanted: dict[NodeId, set[UpstreamId]] = defaultdict(set)
        for upstream in self._followed:
            known = self._upstreams.upstreams.get(upstream)
            if known is not None:
                wanted[known.record.home].add(upstream)
        wanted.pop(self._own, None)
        for home in self._follow_requests.keys() - wanted.keys():
            del self._follow_requests[home]
            self._mesh.send(home, FollowUpstreams(()))
        for home, upstreams in wanted.items():
            request = self._follow_requests.setdefault(home, _FollowRequest())
            if (
                upstreams != request.upstreams
                or now >= request.sent_at + FOLLOW_REFRESH_INTERVAL_S
            ):
                sent = self._mesh.send(home, FollowUpstreams(tuple(sorted(upstreams))))
                if sent:
                    self._follow_requests[home] = _FollowRequest(
                        frozenset(upstreams), now
                    )

    def _on_link(self, peer: Hello, is_open: bool) -> None:
        """Repeat the follow request to a home that may have lost it in a restart."""
        if is_open:
            self._follow_requests.pop(peer.node, None)

    def _on_upstream_changed(self, record: UpstreamRecord) -> None:
        self._table_changed = True

    def _on_follow(self, sender: NodeId, message: FollowUpstreams) -> None:
        if not message.upstreams:
            self._followers.pop(sender, None)
            return
        expires_at = self._clock() + FOLLOW_EXPIRY_S
        self._followers[sender] = _Follower(frozenset(message.upstreams), expires_at)

    def _on_renewals(self, sender: NodeId, message: RenewalUpdate) -> None:
        now = self._clock()
        for renewal in message.renewals:
            if not merge_renewal(self._upstreams, renewal, now):
                continue
            home = self._upstreams.upstreams[renewal.upstream].record.home
            if home == self._own:
                self._renewals[renewal.upstream] = renewal
