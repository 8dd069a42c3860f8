"""Gossip that synchronises the membership tables of all entry hosts."""

from collections.abc import Callable
from random import Random

import anyio
import msgspec

from cranberryfield.core.clock import Clock
from cranberryfield.core.config import Role
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import (
    BucketDigests,
    BucketVersions,
    ItemVersion,
    PeerRecord,
    PeerState,
    PeerUpdate,
    UpstreamRecord,
    UpstreamUpdate,
)
from cranberryfield.entry.membership.digests import (
    bucket_digests,
    bucket_of,
    item_version,
)
from cranberryfield.entry.membership.outbox import BATCH_ITEMS, Outbox
from cranberryfield.entry.membership.overlay import dialled_neighbours, neighbours
from cranberryfield.entry.membership.peers import (
    PeersSection,
    declare_dead_peers,
    forget_peers,
    initial_record,
    live_peers,
    merge_peer,
    suspect_peer,
)
from cranberryfield.entry.membership.upstreams import UpstreamsSection, merge_upstream

__all__ = ["MembershipGossip"]

MS_PER_S = 1000
FLUSH_INTERVAL_S = 0.05
TICK_INTERVAL_S = 0.25
#: Time without a link after which a neighbour is suspected, in seconds.
SUSPECT_UNLINKED_AFTER_S = 1.5
#: Interval of anti-entropy comparisons with a neighbour, in seconds.
COMPARE_INTERVAL_S = 5.0
#: Interval of attempts to reach a suspected or dead host or a seed, in seconds.
RECONNECT_INTERVAL_S = 2.0


class MembershipGossip:
    """Propagates changes of the membership tables and repairs missed ones.

    Changes are flooded to all entry hosts over the persistent links between
    neighbours. Digests of the tables are compared when a link opens and every
    few seconds with a random neighbour, so that changes lost with a broken link
    still arrive.

    Parameters
    ----------
    peers : PeersSection
        Table of entry hosts, owned by this object.
    upstreams : UpstreamsSection
        Table of upstreams.
    mesh : Mesh
        Links to other processes.
    hello : Hello
        Identity and addresses of this process.
    seeds : tuple of str
        Mesh addresses used to discover entry hosts.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Seeded generator.
    """

    def __init__(
        self,
        peers: PeersSection,
        upstreams: UpstreamsSection,
        mesh: Mesh,
        hello: Hello,
        seeds: tuple[str, ...],
        clock: Clock,
        rng: Random,
    ):
        self._peers = peers
        self._upstreams = upstreams
        self._mesh = mesh
        self._own = hello.node
        self._seeds = tuple(seed for seed in seeds if seed != hello.mesh)
        self._clock = clock
        self._rng = rng
        self._outbox = Outbox()
        self._neighbours: frozenset[NodeId] = frozenset()
        self._unlinked_since: dict[NodeId, float] = {}
        self._upstream_watchers: list[Callable[[UpstreamRecord], None]] = []
        merge_peer(peers, initial_record(hello), clock())
        mesh.handle(PeerUpdate, self._on_peer_update)
        mesh.handle(UpstreamUpdate, self._on_upstream_update)
        mesh.handle(BucketDigests, self._on_digests)
        mesh.handle(BucketVersions, self._on_versions)
        mesh.watch_links(self._on_link)

    def watch_upstreams(self, watcher: Callable[[UpstreamRecord], None]) -> None:
        """Call `watcher` with each upstream record changed by a received update."""
        self._upstream_watchers.append(watcher)

    def publish(self, record: PeerRecord | UpstreamRecord) -> None:
        """Queue a record changed on this node for gossip to all entry hosts."""
        self._add_to_outbox(record, None)

    def publish_leave(self) -> None:
        """Tell all linked entry hosts that this node is leaving."""
        own = self._peers.peers[self._own].record
        departure = msgspec.structs.replace(own, state=PeerState.LEFT)
        for peer in self._mesh.peers:
            if Role.ENTRY.value in peer.roles:
                self._mesh.send(peer.node, PeerUpdate((departure,)))

    async def run(self) -> None:
        """Gossip until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_periodically, self._flush, FLUSH_INTERVAL_S)
            tasks.start_soon(self._run_periodically, self._tick, TICK_INTERVAL_S)
            tasks.start_soon(self._run_periodically, self._compare, COMPARE_INTERVAL_S)
            tasks.start_soon(
                self._run_periodically, self._reconnect, RECONNECT_INTERVAL_S
            )

    async def _run_periodically(
        self, action: Callable[[], None], interval_s: float
    ) -> None:
        while True:
            action()
            await anyio.sleep(interval_s)

    def _add_to_outbox(
        self, record: PeerRecord | UpstreamRecord, received_from: NodeId | None
    ) -> None:
        urgent = isinstance(record, UpstreamRecord) and record.leaving
        self._outbox.add(item_version(record).item, received_from, urgent)

    def _flush(self) -> None:
        batch = self._outbox.pop_batch()
        if not batch:
            return
        for node in self._neighbours:
            if self._mesh.is_linked(node):
                items = [item for item, excluded in batch if node not in excluded]
                self._send_items(node, items)

    def _send_items(self, node: NodeId, items: list[str]) -> None:
        peers, upstreams, ages_ms = [], [], []
        now = self._clock()
        for item in items:
            name = item[2:]
            if item.startswith("p:") and name in self._peers.peers:
                peers.append(self._peers.peers[name].record)
            elif item.startswith("u:") and name in self._upstreams.upstreams:
                known = self._upstreams.upstreams[name]
                upstreams.append(known.record)
                ages_ms.append(int((now - known.heard_at) * MS_PER_S))
        if peers:
            self._mesh.send(node, PeerUpdate(tuple(peers)))
        if upstreams:
            self._mesh.send(node, UpstreamUpdate(tuple(upstreams), tuple(ages_ms)))

    def _tick(self) -> None:
        now = self._clock()
        for record in declare_dead_peers(self._peers, now):
            self._add_to_outbox(record, None)
        for node in forget_peers(self._peers, now):
            self._mesh.forget_address(node)
        self._link_neighbours(now)
        self._suspect_unlinked(now)

    def _link_neighbours(self, now: float) -> None:
        live = [record.node for record in live_peers(self._peers, now)]
        self._neighbours = neighbours(self._own, live)
        self._mesh.set_persistent_peers(dialled_neighbours(self._own, self._neighbours))

    def _suspect_unlinked(self, now: float) -> None:
        unlinked = {
            node: self._unlinked_since.get(node, now)
            for node in self._neighbours
            if not self._mesh.is_linked(node)
        }
        self._unlinked_since = unlinked
        for node, since in unlinked.items():
            if now >= since + SUSPECT_UNLINKED_AFTER_S:
                record = suspect_peer(self._peers, node, now)
                if record is not None:
                    self._add_to_outbox(record, None)

    def _compare(self) -> None:
        linked = [node for node in self._neighbours if self._mesh.is_linked(node)]
        if linked:
            self._send_digests(self._rng.choice(sorted(linked)))

    def _reconnect(self) -> None:
        """Dial a random suspected or dead host or unknown seed.

        The partition that made it unreachable may have ended.
        """
        known = {one.record.mesh for one in self._peers.peers.values()}
        unreachable = {
            one.record.mesh
            for one in self._peers.peers.values()
            if one.record.state in (PeerState.SUSPECTED, PeerState.DEAD)
        }
        targets = sorted(unreachable | (set(self._seeds) - known))
        if targets:
            self._mesh.dial_once(self._rng.choice(targets))

    def _versions(self) -> list[ItemVersion]:
        peers = (one.record for one in self._peers.peers.values())
        upstreams = (one.record for one in self._upstreams.upstreams.values())
        return [item_version(record) for record in (*peers, *upstreams)]

    def _send_digests(self, node: NodeId) -> None:
        self._mesh.send(node, BucketDigests(bucket_digests(self._versions())))

    def _on_link(self, peer: Hello, is_open: bool) -> None:
        if not is_open or Role.ENTRY.value not in peer.roles:
            return
        record = initial_record(peer)
        if merge_peer(self._peers, record, self._clock()):
            self._mesh.learn_address(peer.node, peer.mesh)
            self._add_to_outbox(record, None)
        # Changes after these digests are flooded to neighbours only, so the peer
        # must already count as one.
        self._link_neighbours(self._clock())
        self._send_digests(peer.node)

    def _on_peer_update(self, sender: NodeId, update: PeerUpdate) -> None:
        now = self._clock()
        for record in update.records:
            if merge_peer(self._peers, record, now):
                current = self._peers.peers[record.node].record
                self._mesh.learn_address(current.node, current.mesh)
                refuted = current != record
                self._add_to_outbox(current, None if refuted else sender)

    def _on_upstream_update(self, sender: NodeId, update: UpstreamUpdate) -> None:
        now = self._clock()
        for record, age_ms in zip(update.records, update.ages_ms, strict=True):
            if merge_upstream(self._upstreams, record, now - age_ms / MS_PER_S):
                self._add_to_outbox(record, sender)
                for watcher in self._upstream_watchers:
                    watcher(record)

    def _on_digests(self, sender: NodeId, message: BucketDigests) -> None:
        versions = self._versions()
        own = bucket_digests(versions)
        differing = tuple(
            bucket
            for bucket, digest in enumerate(message.digests[: len(own)])
            if digest != own[bucket]
        )
        if differing:
            own_versions = tuple(
                one for one in versions if bucket_of(one.item) in differing
            )
            self._mesh.send(sender, BucketVersions(differing, own_versions))

    def _on_versions(self, sender: NodeId, message: BucketVersions) -> None:
        buckets = frozenset(message.buckets)
        peer_versions = {one.item: one.version for one in message.versions}
        items = [
            one.item
            for one in self._versions()
            if bucket_of(one.item) in buckets
            and peer_versions.get(one.item) != one.version
        ]
        for start in range(0, len(items), BATCH_ITEMS):
            self._send_items(sender, items[start : start + BATCH_ITEMS])
