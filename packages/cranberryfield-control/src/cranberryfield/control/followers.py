"""Entry hosts that follow the settings, and what each has in force."""

from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count

import anyio
import structlog

from cranberryfield.control.consensus import ReplicaRole
from cranberryfield.control.consensus.leader_replication import leader_lease_expiry
from cranberryfield.control.settings import SettingsState
from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import (
    ControlError,
    CranberryfieldError,
    ErrorKind,
)
from cranberryfield.core.ids import NodeId, Revision
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import encode_message
from cranberryfield.core.messages.commands import (
    AdoptSettings,
    ChangeSettings,
    RecordHosts,
    SettingsAccepted,
)
from cranberryfield.core.messages.control import HoldersView
from cranberryfield.core.messages.settings import (
    AskPeerSettings,
    FollowSettings,
    SettingsAck,
    SettingsDelta,
    SettingsSnapshot,
)
from cranberryfield.core.settings import LevelState, SettingsTree
from cranberryfield.core.settings.follow import SettingsSection, replace_tree
from cranberryfield.core.settings.slices import SettingsTreeCache, next_slice

__all__ = ["Followers", "removed_levels"]

#: Time after which a host that has not asked again is silent, in seconds.
SILENT_S = 3.0
#: Time after which a silent host does not count any more, in seconds.
FORGET_S = 7_200.0
#: Longest wait for hosts to find a new leader before a change, in seconds.
WRITABLE_WAIT_S = 0.8
#: When to ask again after a change was refused, in seconds.
RETRY_AFTER_S = 2.0
#: Time for hosts to report what a replaced group lost, in seconds.
ADOPTION_S = 3.0
POLL_S = 0.05
#: Longest wait for hosts to have a committed change, in seconds.
HELD_WAIT_S = 0.8
REGISTER_INTERVAL_S = 0.2
ASK_TIMEOUT_S = 1.0

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class _Host:
    revision: Revision
    heard_at: float


def removed_levels(state: SettingsState, revision: Revision) -> tuple[str, ...] | None:
    """Return the levels that were removed after a revision.

    Parameters
    ----------
    state : SettingsState
        The replicated settings.
    revision : Revision
        What a node has.

    Returns
    -------
    tuple of str or None
        The levels; None if the changes since then are not all kept.
    """
    if revision >= state.tree.revision:
        return ()
    kept = [one for one in state.changes.values() if one.revision > revision]
    if len(kept) != state.tree.revision - revision:
        return None
    names = {edit.level for change in kept for edit in change.edits}
    return tuple(sorted(names - state.tree.levels.keys()))


class Followers:
    """Answers entry hosts that follow the settings, and counts them.

    Parameters
    ----------
    section : ControlSection
        This replica and the state it applied, for reading.
    in_force : SettingsSection
        The settings in force on this process.
    mesh : Mesh
        Links to other processes.
    propose : callable
        Puts an encoded command through the log.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self, section, in_force: SettingsSection, mesh: Mesh, propose, clock: Clock
    ):
        self._section = section
        self._in_force = in_force
        self._mesh = mesh
        self._propose = propose
        self._clock = clock
        self._hosts: dict[NodeId, _Host] = {}
        self._published = SettingsTree()
        self._slices = SettingsTreeCache()
        self._ahead: NodeId | None = None
        self._waiting: list[tuple[Revision, int, anyio.Event]] = []
        self._numbers = count()
        mesh.handle(FollowSettings, self._on_follow)
        mesh.handle(SettingsAck, self._on_ack)

    def publish(self, tree: SettingsTree) -> None:
        """Put a committed tree in force here and send it to all followers."""
        before = self._published
        if tree.revision <= before.revision:
            return
        self._published = tree
        replace_tree(self._in_force, tree)
        changed = {
            name: level
            for name, level in tree.levels.items()
            if before.levels.get(name) != level
        }
        removed = tuple(name for name in before.levels if name not in tree.levels)
        delta = SettingsDelta(before.revision, tree.revision, changed, removed)
        for node in self._hosts:
            if self._is_heard(node):
                self._mesh.send(node, delta)

    def _on_follow(self, sender: NodeId, message: FollowSettings) -> SettingsSnapshot:
        """Answer a host with what it lacks, and say how current that is."""
        state = self._section.state
        replica = self._section.replica
        if replica.role is ReplicaRole.LEADER:
            self._hosts[sender] = _Host(message.revision, self._clock())
            self._release_held()
        if message.revision > state.settings.tree.revision:
            self._ahead = sender
        removed = removed_levels(state.settings, message.revision)
        reply = next_slice(self._slices, state.settings.tree, message, removed)
        age_ms = None
        is_whole = reply.next_after is None
        if is_whole and sender in state.hosts and self._is_current():
            age_ms = 0
        return SettingsSnapshot(
            reply.revision,
            reply.levels,
            reply.base,
            reply.removed,
            reply.next_after,
            age_ms if reply.revision == state.settings.tree.revision else None,
            replica.leader_node,
            replica.members.generation,
            len(state.hosts),
        )

    def _is_current(self) -> bool:
        """Say whether no other replica can have acknowledged a newer change."""
        replica = self._section.replica
        return (
            leader_lease_expiry(replica) > self._clock()
            and replica.log.term_at(replica.commit_index) == replica.term
        )

    def _on_ack(self, sender: NodeId, message: SettingsAck) -> None:
        host = self._hosts.get(sender)
        if host is not None:
            host.revision = max(host.revision, message.revision)
            self._release_held()

    def _is_heard(self, node: NodeId) -> bool:
        host = self._hosts.get(node)
        return host is not None and self._clock() - host.heard_at < SILENT_S

    def holders(self, revision: Revision) -> HoldersView:
        """Say which entry hosts have a revision in force."""
        hosts = sorted(self._section.state.hosts)
        heard = [node for node in hosts if self._is_heard(node)]
        has = [node for node in heard if self._hosts[node].revision >= revision]
        return HoldersView(
            revision,
            tuple(has),
            tuple(node for node in heard if node not in has),
            tuple(node for node in hosts if node not in heard),
        )

    async def wait_writable(self, command: Message) -> None:
        """Return once a settings change would reach the hosts that serve.

        Parameters
        ----------
        command : Message
            A command; others than settings changes are not held up.

        Raises
        ------
        ControlError
            Of kind ``no_quorum`` if the leader does not reach half of the
            entry hosts, so that the others may still serve without it.
        """
        if not isinstance(command, ChangeSettings):
            return
        with anyio.move_on_after(WRITABLE_WAIT_S):
            while not self._is_writable(command):
                await anyio.sleep(POLL_S)
            return
        raise ControlError(
            ErrorKind.NO_QUORUM,
            "the control group reaches less than half of the entry hosts, "
            "so that a change would not be in force on all that serve",
            retry_after_s=RETRY_AFTER_S,
        )

    def _is_writable(self, change: ChangeSettings) -> bool:
        replica = self._section.replica
        state = self._section.state
        if replica.role is not ReplicaRole.LEADER:
            return True
        if change.change_id in state.settings.changes:
            return True
        if replica.members.generation:
            adopted_at = replica.leader_since + ADOPTION_S
            if self._ahead is not None or self._clock() < adopted_at:
                return False
        return self._reaches_half()

    def _reaches_half(self) -> bool:
        hosts = self._section.state.hosts
        return sum(map(self._is_heard, hosts)) * 2 >= len(hosts)

    async def wait_held(self, result: Message) -> None:
        """Return once half of the entry hosts have a committed change in force.

        A host that is cut off from control serves only while it reaches more
        than half of them, so that it then meets one that has the change.

        Parameters
        ----------
        result : Message
            Result of a command; others than accepted changes are not held up.

        Raises
        ------
        ControlError
            Of kind ``no_quorum`` if too few hosts have the change in time. It
            is committed, and the same change sent again is accepted once they
            have it.
        """
        if not isinstance(result, SettingsAccepted):
            return
        if result.revision <= self._held_revision():
            return
        held = anyio.Event()
        heappush(self._waiting, (result.revision, next(self._numbers), held))
        with anyio.move_on_after(HELD_WAIT_S):
            await held.wait()
            return
        raise ControlError(
            ErrorKind.NO_QUORUM,
            f"revision {result.revision} is not in force on half of the entry "
            "hosts yet; send the same change again to see it accepted",
            retry_after_s=RETRY_AFTER_S,
        )

    def _held_revision(self) -> Revision:
        """Return the highest revision that half of the entry hosts have."""
        hosts = self._section.state.hosts
        if not hosts:
            return self._section.state.settings.tree.revision
        known = (self._hosts.get(node) for node in hosts)
        revisions = sorted(
            (host.revision if host else 0 for host in known), reverse=True
        )
        half = (len(hosts) + 1) // 2
        return Revision(revisions[half - 1])

    def _release_held(self) -> None:
        held = self._held_revision()
        while self._waiting and self._waiting[0][0] <= held:
            heappop(self._waiting)[2].set()

    async def run(self) -> None:
        """Keep the list of entry hosts in the log until cancelled."""
        while True:
            await anyio.sleep(REGISTER_INTERVAL_S)
            if self._section.replica.role is ReplicaRole.LEADER:
                await self._register()
                await self._adopt()
            else:
                self._ahead = None

    async def _register(self) -> None:
        known = self._section.state.hosts
        now = self._clock()
        since = self._section.replica.leader_since
        added = [node for node in self._hosts if node not in known]
        if not self._reaches_half():
            # The others may serve by the old number of hosts.
            added = []
        removed = []
        for node in known:
            host = self._hosts.get(node)
            heard_at = host.heard_at if host is not None else since
            if now - heard_at > FORGET_S:
                removed.append(node)
        if added or removed:
            await self.record(tuple(added), tuple(removed))

    async def record(
        self, added: tuple[NodeId, ...], removed: tuple[NodeId, ...]
    ) -> None:
        """Put a change of the list of entry hosts through the log."""
        for node in removed:
            self._hosts.pop(node, None)
        await self._propose(encode_message(RecordHosts(added, removed)))

    async def _adopt(self) -> None:
        node = self._ahead
        tree = self._section.state.settings.tree
        if node is None:
            return
        if not self._section.replica.members.generation:
            logger.error("a host has settings that were never committed", host=node)
            self._ahead = None
            return
        levels: dict[str, LevelState] = {}
        request = AskPeerSettings(Revision(0))
        while True:
            try:
                reply = await self._mesh.request(node, request, ASK_TIMEOUT_S)
            except CranberryfieldError:
                self._ahead = None
                return
            if request.slice_of not in (0, reply.revision):
                return
            levels.update(reply.levels)
            if reply.next_after is None:
                break
            request = AskPeerSettings(Revision(0), reply.revision, reply.next_after)
        if reply.revision > tree.revision:
            logger.warning("settings adopted", host=node, revision=reply.revision)
            command = AdoptSettings(reply.revision, levels)
            await self._propose(encode_message(command))
        self._ahead = None
