"""Client that keeps an entry host at the latest committed settings revision."""

from collections.abc import Callable
from contextlib import suppress
from random import Random

import anyio

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.control import ForgetHost
from cranberryfield.core.messages.settings import (
    AskPeerSettings,
    FollowSettings,
    SettingsAck,
    SettingsDelta,
    SettingsSnapshot,
)
from cranberryfield.core.settings import LevelState, SettingsTree
from cranberryfield.core.settings.follow import (
    SettingsSection,
    apply_changes,
    record_confirmation,
)
from cranberryfield.core.settings.slices import SettingsTreeCache, next_slice

__all__ = ["SettingsFollower"]

CONFIRM_INTERVAL_S = 1.0
UNCONFIRMED_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 0.5
#: Time without a confirmation after which peers are polled, in seconds.
POLL_PEERS_AFTER_S = 1.5
#: Number of peers polled per round while the leader is unreachable.
PEERS_PER_ROUND = 16
#: Time after its latest answered request in which a peer counts as reachable,
#: in seconds.
PEER_REACHABLE_S = 3.0
MS_PER_S = 1000


class SettingsFollower:
    """Polls settings from the leader of the control group, or from peers.

    Peers are polled only while the leader cannot be reached.

    Parameters
    ----------
    section : SettingsSection
        Settings in force, updated by this object.
    mesh : Mesh
        Links to other processes.
    node : NodeId
        This process.
    control : tuple of NodeId
        Control hosts.
    peers : callable
        Returns the other entry hosts considered alive.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Random generator that selects the peers to poll.
    """

    def __init__(
        self,
        section: SettingsSection,
        mesh: Mesh,
        node: NodeId,
        control: tuple[NodeId, ...],
        peers: Callable[[], list[NodeId]],
        clock: Clock,
        rng: Random,
    ):
        self._section = section
        self._mesh = mesh
        self._node = node
        self._control = control
        self._clock = clock
        self._rng = rng
        self._leader: NodeId | None = None
        self._stopped = False
        self._peers = peers
        self._peer_reached_at: dict[NodeId, float] = {}
        self._slices = SettingsTreeCache()
        mesh.handle(SettingsDelta, self._on_delta)
        mesh.handle(AskPeerSettings, self._on_peer_request)

    async def run(self) -> None:
        """Poll settings until cancelled or until `leave` is called."""
        while not self._stopped:
            confirmed = await self._poll_control()
            if self._unconfirmed_s() > POLL_PEERS_AFTER_S:
                await self._poll_peers()
            await anyio.sleep(
                CONFIRM_INTERVAL_S if confirmed else UNCONFIRMED_INTERVAL_S
            )

    async def leave(self) -> None:
        """Stop polling and tell the leader to stop tracking this host."""
        self._stopped = True
        if self._leader is None:
            return
        with suppress(CranberryfieldError):
            request = ForgetHost(self._node)
            await self._mesh.request(self._leader, request, REQUEST_TIMEOUT_S)

    def _unconfirmed_s(self) -> float:
        confirmed_at = self._section.confirmed_at
        return float("inf") if confirmed_at is None else self._clock() - confirmed_at

    async def _poll_control(self) -> bool:
        """Poll the leader, locating it if necessary; return whether it confirmed."""
        polled: set[NodeId] = set()
        hint = self._leader
        while True:
            linked = [node for node in self._control if self._mesh.is_linked(node)]
            candidates = [node for node in (hint, *linked) if node is not None]
            remaining = [node for node in candidates if node not in polled]
            if not remaining:
                return False
            node = remaining[0]
            polled.add(node)
            sent_at = self._clock()
            reply = await self._fetch(node, FollowSettings)
            if reply is None:
                continue
            if reply.age_ms is not None:
                self._leader = node
                record_confirmation(self._section, reply.revision, sent_at)
                return True
            hint = reply.leader

    async def _fetch(self, node: NodeId, request_type) -> SettingsSnapshot | None:
        """Fetch and apply newer settings from a node; return its last response."""
        levels: dict[str, LevelState] = {}
        request = request_type(self._section.tree.revision)
        while True:
            reply = await self._request(node, request)
            if reply is None or reply.generation < self._section.generation:
                return None
            if request.slice_of not in (0, reply.revision):
                levels.clear()
            levels.update(reply.levels)
            if reply.next_after is None:
                break
            request = request_type(request.revision, reply.revision, reply.next_after)
        self._section.generation = reply.generation
        if reply.age_ms is not None:
            self._section.hosts = max(reply.hosts, 1)
        tree = SettingsTree(reply.revision, levels)
        apply_changes(self._section, reply.base, tree, reply.removed)
        return reply

    async def _request(self, node: NodeId, request) -> SettingsSnapshot | None:
        try:
            return await self._mesh.request(node, request, REQUEST_TIMEOUT_S)
        except CranberryfieldError:
            return None

    async def _poll_peers(self) -> None:
        peers = self._peers()
        chosen = self._rng.sample(peers, min(PEERS_PER_ROUND, len(peers)))
        async with anyio.create_task_group() as tasks:
            for node in chosen:
                tasks.start_soon(self._poll_peer, node)
        now = self._clock()
        self._section.reached_peers = sum(
            now - at <= PEER_REACHABLE_S for at in self._peer_reached_at.values()
        )

    async def _poll_peer(self, node: NodeId) -> None:
        sent_at = self._clock()
        reply = await self._fetch(node, AskPeerSettings)
        if reply is None:
            return
        self._peer_reached_at[node] = sent_at
        if reply.age_ms is not None:
            at = sent_at - reply.age_ms / MS_PER_S
            record_confirmation(self._section, reply.revision, at)

    def _on_peer_request(
        self, sender: NodeId, message: AskPeerSettings
    ) -> SettingsSnapshot:
        tree = self._section.tree
        newer_settings = next_slice(self._slices, tree, message, None)
        age_ms = None
        if self._section.confirmed_at is not None:
            age_ms = int((self._clock() - self._section.confirmed_at) * MS_PER_S) + 1
        is_current = (
            newer_settings.next_after is None
            and newer_settings.revision == tree.revision
        )
        return SettingsSnapshot(
            newer_settings.revision,
            newer_settings.levels,
            newer_settings.base,
            newer_settings.removed,
            newer_settings.next_after,
            age_ms if is_current else None,
            self._leader,
            self._section.generation,
            self._section.hosts,
        )

    def _on_delta(self, sender: NodeId, delta: SettingsDelta) -> None:
        changes = SettingsTree(delta.revision, delta.levels)
        if apply_changes(self._section, delta.base, changes, delta.removed):
            self._mesh.send(sender, SettingsAck(self._section.tree.revision))
