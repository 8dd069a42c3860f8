"""Step function of a replica: applies one event and returns actions."""

from cranberryfield.control.consensus.actions import Action, SaveMembers
from cranberryfield.control.consensus.election import (
    become_follower,
    on_vote_reply,
    on_vote_request,
    start_pre_vote,
)
from cranberryfield.control.consensus.events import (
    ClockTicked,
    CommandsProposed,
    Event,
    GroupFormed,
    GroupReplaced,
    HeartbeatRequested,
    MembersProposed,
    MessageReceived,
    SnapshotSaved,
)
from cranberryfield.control.consensus.follower_replication import (
    on_append_request,
    on_snapshot_request,
)
from cranberryfield.control.consensus.leader_replication import (
    append_commands,
    on_append_reply,
    on_snapshot_reply,
    send_heartbeats,
)
from cranberryfield.control.consensus.membership import (
    append_membership_change,
    force_single_voter,
)
from cranberryfield.control.consensus.replica import Replica, ReplicaRole
from cranberryfield.core.ids import LogIndex, ReplicaId
from cranberryfield.core.messages.codec import encode_message
from cranberryfield.core.messages.commands import Noop
from cranberryfield.core.messages.consensus import (
    AppendReply,
    AppendRequest,
    Members,
    ReplicaMessage,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)

__all__ = ["step"]

_NOOP = encode_message(Noop())

_HANDLERS = {
    VoteRequest: on_vote_request,
    VoteReply: on_vote_reply,
    AppendRequest: on_append_request,
    AppendReply: on_append_reply,
    SnapshotRequest: on_snapshot_request,
    SnapshotReply: on_snapshot_reply,
}


def step(replica: Replica, event: Event, now: float) -> list[Action]:
    """Apply one event to a replica.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    event : Event
        The event to apply.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        Actions for the runtime to perform, writes before all others.

    References
    ----------
    D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
    Algorithm", 2014; pre-vote, check-quorum, read index and membership as in
    Ongaro's dissertation, sections 4, 6.2, 6.4 and 9.6.

    Examples
    --------
    >>> from random import Random
    >>> alone = Replica("c1~1", Random(1))
    >>> actions = step(alone, GroupFormed(Members(("c1~1",))), now=5.0)
    >>> actions = step(alone, ClockTicked(), now=5.0)
    >>> alone.role.value, alone.term, alone.commit_index
    ('leader', 1, 1)
    """
    was_leader = replica.role is ReplicaRole.LEADER
    actions = _dispatch(replica, event, now)
    if replica.role is ReplicaRole.LEADER and not was_leader:
        # Writes the initial members to the log for replicas that join later.
        members = replica.members if replica.log.members_index == 0 else None
        actions += append_commands(replica, (_NOOP,), members)
        actions += send_heartbeats(replica, now)
    if _is_removed_leader(replica):
        actions += become_follower(replica, replica.term, None, now)
    return actions


def _is_removed_leader(replica: Replica) -> bool:
    return (
        replica.role is ReplicaRole.LEADER
        and not replica.is_voter
        and replica.commit_index >= replica.log.members_index
    )


def _dispatch(replica: Replica, event: Event, now: float) -> list[Action]:
    match event:
        case ClockTicked():
            return _on_tick(replica, now)
        case MessageReceived(sender, message):
            return _on_message(replica, sender, message, now)
        case CommandsProposed(commands):
            if replica.role is not ReplicaRole.LEADER:
                return []
            return append_commands(replica, commands)
        case MembersProposed(members):
            return append_membership_change(replica, members, _NOOP)
        case GroupFormed(members):
            return _on_group_formed(replica, members)
        case GroupReplaced():
            return force_single_voter(replica, _NOOP, now)
        case HeartbeatRequested():
            if replica.role is not ReplicaRole.LEADER:
                return []
            return send_heartbeats(replica, now)
        case SnapshotSaved(index):
            return _on_snapshot_saved(replica, index)


def _on_message(
    replica: Replica, sender: ReplicaId, message: ReplicaMessage, now: float
) -> list[Action]:
    return _HANDLERS[type(message)](replica, sender, message, now)


def _on_tick(replica: Replica, now: float) -> list[Action]:
    if now < replica.deadline:
        return []
    if replica.role is ReplicaRole.LEADER:
        return send_heartbeats(replica, now)
    return start_pre_vote(replica, now)


def _on_group_formed(replica: Replica, members: Members) -> list[Action]:
    if replica.members.voters or replica.log.last_index > 0:
        return []
    replica.log.set_initial_members(members)
    return [SaveMembers(members)]


def _on_snapshot_saved(replica: Replica, index: LogIndex) -> list[Action]:
    if replica.log.base_index < index <= replica.commit_index:
        replica.log.compact(index)
    return []
