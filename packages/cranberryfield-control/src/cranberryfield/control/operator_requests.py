"""Handlers of operator requests: history, holders and group membership."""

import anyio

from cranberryfield.control.bootstrap import GroupBootstrap
from cranberryfield.control.consensus import (
    GroupReplaced,
    MembersProposed,
    ReplicaRole,
)
from cranberryfield.control.consensus.membership import (
    membership_change_problem,
    with_learner,
    without_node,
)
from cranberryfield.control.settings import diff_revisions, latest_changes
from cranberryfield.control.settings_publisher import SettingsPublisher
from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.commands import ProposalRedirected
from cranberryfield.core.messages.consensus import Members, node_of
from cranberryfield.core.messages.control import (
    ChangeControl,
    ControlMembers,
    DifferenceView,
    ForgetHost,
    HistoryView,
    HoldersView,
    ReadDifference,
    ReadHistory,
    ReadHolders,
    ReadMembers,
    ReplaceControl,
)

__all__ = ["OperatorRequestHandler"]

POLL_INTERVAL_S = 0.02
CHANGE_TIMEOUT_S = 10.0
#: Shortest time without a leader before a group may be replaced, in seconds.
MIN_LEADERLESS_S = 2.0
MAX_HISTORY_CHANGES = 500


class OperatorRequestHandler:
    """Handles the requests of operators to the control group.

    Parameters
    ----------
    section : ControlSection
        This replica and its applied state, read-only.
    bootstrap : GroupBootstrap
        Provides the requests to join the group.
    settings_publisher : SettingsPublisher
        Tracks the revision in force on each entry host.
    mesh : Mesh
        Links to other processes.
    submit : callable
        Queues an event for the replica.
    wait_until_current : callable
        Waits until the applied state includes every change acknowledged so far.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        section,
        bootstrap: GroupBootstrap,
        settings_publisher: SettingsPublisher,
        mesh: Mesh,
        submit,
        wait_until_current,
        clock: Clock,
    ):
        self._section = section
        self._bootstrap = bootstrap
        self._settings_publisher = settings_publisher
        self._submit = submit
        self._wait_until_current = wait_until_current
        self._clock = clock
        mesh.handle(ReadHistory, self._leader_only(self._on_read_history))
        mesh.handle(ReadDifference, self._leader_only(self._on_read_difference))
        mesh.handle(ReadHolders, self._leader_only(self._on_read_holders))
        mesh.handle(ForgetHost, self._leader_only(self._on_forget_host))
        mesh.handle(ChangeControl, self._leader_only(self._on_change_control))
        mesh.handle(ReadMembers, self._on_read_members)
        mesh.handle(ReplaceControl, self._on_replace_control)

    def _leader_only(self, handler):
        """Wrap a handler: redirect if not the leader, then wait for current state."""

        async def handle(sender: NodeId, message: Message) -> Message:
            replica = self._section.replica
            if replica.role is not ReplicaRole.LEADER:
                return ProposalRedirected(replica.leader_node)
            await self._wait_until_current()
            return await handler(message)

        return handle

    async def _on_read_history(self, message: ReadHistory) -> HistoryView:
        limit = min(message.limit, MAX_HISTORY_CHANGES)
        changes = latest_changes(self._section.state.settings, message.level, limit)
        return HistoryView(tuple(changes))

    async def _on_read_difference(self, message: ReadDifference) -> DifferenceView:
        settings = self._section.state.settings
        return DifferenceView(
            tuple(diff_revisions(settings, message.first, message.last))
        )

    async def _on_read_holders(self, message: ReadHolders) -> HoldersView:
        return self._settings_publisher.holders(message.revision)

    async def _on_forget_host(self, message: ForgetHost) -> HoldersView:
        await self._settings_publisher.update_hosts((), (message.node,))
        return self._settings_publisher.holders(
            self._section.state.settings.tree.revision
        )

    def _on_read_members(self, sender: NodeId, message: ReadMembers) -> ControlMembers:
        return self._members_view()

    def _members_view(self) -> ControlMembers:
        replica = self._section.replica
        return ControlMembers(
            replica.voter_nodes,
            tuple(node_of(one) for one in replica.members.learners),
            replica.leader_node,
            replica.members.generation,
            replica.term,
        )

    async def _on_change_control(self, message: ChangeControl) -> ControlMembers:
        if (message.add is None) == (message.remove is None):
            raise ControlError(
                ErrorKind.BAD_REQUEST,
                "give exactly one host, either to add or to remove",
            )
        self._check_change(message)
        with anyio.move_on_after(CHANGE_TIMEOUT_S):
            while not self._is_committed(message):
                self._propose_change(message)
                await anyio.sleep(POLL_INTERVAL_S)
            return self._members_view()
        raise ControlError(
            ErrorKind.NO_QUORUM,
            "the membership change was not committed in time, but may be later",
        )

    def _check_change(self, message: ChangeControl) -> None:
        nodes = self._section.replica.voter_nodes
        known = (None, *nodes, *self._bootstrap.join_requests)
        if message.add not in known:
            raise ControlError(
                ErrorKind.UNKNOWN_PATH,
                f"{message.add} has not asked to join; start it first with an "
                "empty data folder",
            )
        if message.remove is not None and nodes == (message.remove,):
            raise ControlError(
                ErrorKind.BAD_REQUEST, "the last control host cannot be removed"
            )

    def _is_committed(self, message: ChangeControl) -> bool:
        replica = self._section.replica
        if replica.log.members_index > replica.commit_index:
            return False
        if message.add is not None:
            return message.add in replica.voter_nodes
        members = replica.voters + replica.members.learners
        return message.remove not in map(node_of, members)

    def _propose_change(self, message: ChangeControl) -> None:
        members = self._next_members(message)
        if membership_change_problem(self._section.replica, members) is None:
            self._submit(MembersProposed(members))

    def _next_members(self, message: ChangeControl) -> Members:
        members = self._section.replica.members
        if message.remove is not None:
            return without_node(members, message.remove)
        request = self._bootstrap.join_requests[message.add]
        if request.replica in members.voters + members.learners:
            return members
        return with_learner(members, request)

    async def _on_replace_control(
        self, sender: NodeId, message: ReplaceControl
    ) -> ControlMembers:
        replica = self._section.replica
        if message.node != node_of(replica.id):
            raise ControlError(
                ErrorKind.BAD_REQUEST,
                f"the request is for another node; this is {node_of(replica.id)}",
            )
        has_leader = (
            replica.leader is not None
            or self._clock() - replica.last_leader_contact_at < MIN_LEADERLESS_S
        )
        if has_leader or not replica.voters:
            raise ControlError(
                ErrorKind.BAD_REQUEST,
                "there is no group to replace, or it has or recently had a leader",
            )
        generation = replica.members.generation
        self._submit(GroupReplaced())
        while replica.members.generation == generation or replica.leader is None:
            await anyio.sleep(POLL_INTERVAL_S)
        return self._members_view()
