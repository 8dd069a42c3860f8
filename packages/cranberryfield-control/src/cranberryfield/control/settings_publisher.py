"""Publication of the settings to entry hosts, and the revision each has."""

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

__all__ = ["SettingsPublisher", "removed_levels"]

#: Time without a request after which a host is unresponsive, in seconds.
SILENCE_TIMEOUT_S = 3.0
#: Time without a request after which a host is removed from the list, in seconds.
REMOVAL_TIMEOUT_S = 7_200.0
#: Longest wait before a change, so that hosts can find a new leader, in seconds.
WRITABLE_WAIT_S = 0.8
#: Retry delay that is sent with a refused change, in seconds.
RETRY_AFTER_S = 2.0
#: Time for hosts to report settings that a replaced group lost, in seconds.
ADOPTION_WAIT_S = 3.0
POLL_INTERVAL_S = 0.05
#: Longest wait for half of the hosts to apply a committed change, in seconds.
IN_FORCE_WAIT_S = 0.8
REGISTER_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 1.0

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class _Host:
    revision: Revision
    last_request_at: float


def removed_levels(state: SettingsState, revision: Revision) -> tuple[str, ...] | None:
    """Return the levels removed since a revision.

    Parameters
    ----------
    state : SettingsState
        The replicated settings.
    revision : Revision
        Revision of the follower's tree.

    Returns
    -------
    tuple of str or None
        The levels; None if some of the changes since then are no longer retained.
    """
    if revision >= state.tree.revision:
        return ()
    retained = [one for one in state.changes.values() if one.revision > revision]
    if len(retained) != state.tree.revision - revision:
        return None
    names = {edit.level for change in retained for edit in change.edits}
    return tuple(sorted(names - state.tree.levels.keys()))


class SettingsPublisher:
    """Sends the settings to entry hosts and tracks the revision of each.

    The list of entry hosts is replicated, because a change is acknowledged only
    once half of them have it in force.

    Parameters
    ----------
    section : ControlSection
        This replica and its applied state, read-only.
    settings_section : SettingsSection
        The settings in force on this process.
    mesh : Mesh
        Links to other processes.
    propose : callable
        Proposes an encoded command and returns its result.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        section,
        settings_section: SettingsSection,
        mesh: Mesh,
        propose,
        clock: Clock,
    ):
        self._section = section
        self._settings_section = settings_section
        self._mesh = mesh
        self._propose = propose
        self._clock = clock
        self._hosts: dict[NodeId, _Host] = {}
        self._published_tree = SettingsTree()
        self._slice_source = SettingsTreeCache()
        self._host_ahead: NodeId | None = None
        self._change_waiters: list[tuple[Revision, int, anyio.Event]] = []
        self._waiter_numbers = count()
        mesh.handle(FollowSettings, self._on_follow)
        mesh.handle(SettingsAck, self._on_ack)

    def publish(self, tree: SettingsTree) -> None:
        """Apply a committed tree on this process and send it to all followers."""
        before = self._published_tree
        if tree.revision <= before.revision:
            return
        self._published_tree = tree
        replace_tree(self._settings_section, tree)
        changed = {
            name: level
            for name, level in tree.levels.items()
            if before.levels.get(name) != level
        }
        removed = tuple(name for name in before.levels if name not in tree.levels)
        delta = SettingsDelta(before.revision, tree.revision, changed, removed)
        for node in self._hosts:
            if self._is_responsive(node):
                self._mesh.send(node, delta)

    def _on_follow(self, sender: NodeId, message: FollowSettings) -> SettingsSnapshot:
        """Return the levels that a host is missing, and their age if it is known."""
        state = self._section.state
        replica = self._section.replica
        if replica.role is ReplicaRole.LEADER:
            self._hosts[sender] = _Host(message.revision, self._clock())
            self._wake_change_waiters()
        if message.revision > state.settings.tree.revision:
            self._host_ahead = sender
        removed = removed_levels(state.settings, message.revision)
        reply = next_slice(self._slice_source, state.settings.tree, message, removed)
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
        """Return whether this replica has every acknowledged change.

        It does while its leader lease holds and it has committed an entry of its
        own term.
        """
        replica = self._section.replica
        return (
            leader_lease_expiry(replica) > self._clock()
            and replica.log.term_at(replica.commit_index) == replica.term
        )

    def _on_ack(self, sender: NodeId, message: SettingsAck) -> None:
        host = self._hosts.get(sender)
        if host is not None:
            host.revision = max(host.revision, message.revision)
            self._wake_change_waiters()

    def _is_responsive(self, node: NodeId) -> bool:
        host = self._hosts.get(node)
        return (
            host is not None
            and self._clock() - host.last_request_at < SILENCE_TIMEOUT_S
        )

    def holders(self, revision: Revision) -> HoldersView:
        """Return which entry hosts have a revision in force."""
        hosts = sorted(self._section.state.hosts)
        responsive = [node for node in hosts if self._is_responsive(node)]
        up_to_date = [
            node for node in responsive if self._hosts[node].revision >= revision
        ]
        return HoldersView(
            revision,
            tuple(up_to_date),
            tuple(node for node in responsive if node not in up_to_date),
            tuple(node for node in hosts if node not in responsive),
        )

    async def wait_until_writable(self, command: Message) -> None:
        """Wait until a settings change may be committed.

        It may once this leader reaches at least half of the entry hosts and, in a
        group that was replaced, any newer settings of a host are adopted.

        Parameters
        ----------
        command : Message
            A command; only settings changes wait.

        Raises
        ------
        ControlError
            Of kind ``no_quorum`` if the wait times out. Hosts that the leader
            does not reach could continue to serve without the change.
        """
        if not isinstance(command, ChangeSettings):
            return
        with anyio.move_on_after(WRITABLE_WAIT_S):
            while not self._is_writable(command):
                await anyio.sleep(POLL_INTERVAL_S)
            return
        raise ControlError(
            ErrorKind.NO_QUORUM,
            "the control group reaches less than half of the entry hosts, so the "
            "others could serve without the change, or it was replaced and may "
            "have to adopt newer settings first",
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
            adopted_at = replica.leader_since + ADOPTION_WAIT_S
            if self._host_ahead is not None or self._clock() < adopted_at:
                return False
        return self._reaches_half_of_hosts()

    def _reaches_half_of_hosts(self) -> bool:
        hosts = self._section.state.hosts
        return sum(map(self._is_responsive, hosts)) * 2 >= len(hosts)

    async def wait_until_in_force(self, result: Message) -> None:
        """Wait until half of the entry hosts have a committed change in force.

        A host without a connection to the control group serves only while it
        reaches more than half of the entry hosts, and thus one with the change.

        Parameters
        ----------
        result : Message
            Result of a command; only accepted settings changes wait.

        Raises
        ------
        ControlError
            Of kind ``no_quorum`` if too few hosts apply the change in time. It
            is committed nevertheless; a resend is accepted once they have it.
        """
        if not isinstance(result, SettingsAccepted):
            return
        if result.revision <= self._revision_on_half():
            return
        in_force = anyio.Event()
        heappush(
            self._change_waiters,
            (result.revision, next(self._waiter_numbers), in_force),
        )
        with anyio.move_on_after(IN_FORCE_WAIT_S):
            await in_force.wait()
            return
        raise ControlError(
            ErrorKind.NO_QUORUM,
            f"revision {result.revision} is committed but not yet in force on "
            "half of the entry hosts; send the same change again",
            retry_after_s=RETRY_AFTER_S,
        )

    def _revision_on_half(self) -> Revision:
        """Return the highest revision in force on at least half of the hosts."""
        hosts = self._section.state.hosts
        if not hosts:
            return self._section.state.settings.tree.revision
        known = (self._hosts.get(node) for node in hosts)
        revisions = sorted(
            (host.revision if host else 0 for host in known), reverse=True
        )
        half = (len(hosts) + 1) // 2
        return Revision(revisions[half - 1])

    def _wake_change_waiters(self) -> None:
        revision = self._revision_on_half()
        while self._change_waiters and self._change_waiters[0][0] <= revision:
            heappop(self._change_waiters)[2].set()

    async def run(self) -> None:
        """Update the replicated list of entry hosts until cancelled."""
        while True:
            await anyio.sleep(REGISTER_INTERVAL_S)
            if self._section.replica.role is ReplicaRole.LEADER:
                await self._update_host_list()
                await self._adopt_newer_tree()
            else:
                self._host_ahead = None

    async def _update_host_list(self) -> None:
        known = self._section.state.hosts
        now = self._clock()
        since = self._section.replica.leader_since
        added = [node for node in self._hosts if node not in known]
        if not self._reaches_half_of_hosts():
            # Unreachable hosts may still compute their quorum from the old list.
            added = []
        removed = []
        for node in known:
            host = self._hosts.get(node)
            last_request_at = host.last_request_at if host is not None else since
            if now - last_request_at > REMOVAL_TIMEOUT_S:
                removed.append(node)
        if added or removed:
            await self.update_hosts(tuple(added), tuple(removed))

    async def update_hosts(
        self, added: tuple[NodeId, ...], removed: tuple[NodeId, ...]
    ) -> None:
        """Commit a change of the list of entry hosts."""
        for node in removed:
            self._hosts.pop(node, None)
        await self._propose(encode_message(RecordHosts(added, removed)))

    async def _adopt_newer_tree(self) -> None:
        node = self._host_ahead
        tree = self._section.state.settings.tree
        if node is None:
            return
        if not self._section.replica.members.generation:
            logger.error(
                "entry host has a newer revision than this leader has applied",
                host=node,
            )
            self._host_ahead = None
            return
        levels: dict[str, LevelState] = {}
        request = AskPeerSettings(Revision(0))
        while True:
            try:
                reply = await self._mesh.request(node, request, REQUEST_TIMEOUT_S)
            except CranberryfieldError:
                self._host_ahead = None
                return
            if request.slice_of not in (0, reply.revision):
                return
            levels.update(reply.levels)
            if reply.next_after is None:
                break
            request = AskPeerSettings(Revision(0), reply.revision, reply.next_after)
        if reply.revision > tree.revision:
            logger.warning(
                "adopting newer settings from an entry host",
                host=node,
                revision=reply.revision,
            )
            command = AdoptSettings(reply.revision, levels)
            await self._propose(encode_message(command))
        self._host_ahead = None
