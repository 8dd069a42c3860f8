"""Changes of the group: one voter at a time, through the log."""

from dataclasses import dataclass

from msgspec.structs import replace

from cranberryfield.control.consensus.actions import (
    Action,
    SaveEntries,
    SaveVote,
)
from cranberryfield.control.consensus.replica import Replica, ReplicaRole
from cranberryfield.control.consensus.replication import append_commands
from cranberryfield.core.ids import LogIndex, NodeId, ReplicaId, Term
from cranberryfield.core.messages.consensus import LogEntry, Members, node_of

__all__ = [
    "Joiner",
    "append_members",
    "force_members",
    "members_problem",
    "next_members",
    "with_joiner",
    "without_node",
]

#: Entries by which a learner may lag behind and still become a voter.
PROMOTION_LAG = 64
#: Time after which a replica that has not asked again does not join, in seconds.
JOINER_FRESH_S = 3.0
#: Voters of a group that grows by itself; what letter 1 allows to be set aside.
MAX_VOTERS = 7
#: A voter silent for this time makes place for one that waits, in seconds.
REPLACE_SILENT_S = 4.0


@dataclass(slots=True)
class Joiner:
    """A replica that asks to join.

    Attributes
    ----------
    replica : ReplicaId
        The replica.
    heard_at : float
        Monotonic time in seconds at which it last asked.
    """

    replica: ReplicaId
    heard_at: float


def members_problem(replica: Replica, members: Members) -> str | None:
    """Say why a change of the group must not be appended now.

    Parameters
    ----------
    replica : Replica
        The replica that is to append it.
    members : Members
        The group after the change.

    Returns
    -------
    str or None
        One sentence; None if the change is safe.

    Notes
    -----
    Majorities before and after the change of one voter always have a voter in
    common. Before it has committed an entry of its own term a leader may not
    know of a change that an earlier leader has committed.

    References
    ----------
    D. Ongaro, "Bug in single-server membership changes", raft-dev, 2015.
    """
    if replica.role is not ReplicaRole.LEADER:
        return "this replica is not the leader"
    if replica.log.members_index > replica.commit_index:
        return "an earlier change of the group is not committed yet"
    if replica.log.term_at(replica.commit_index) != replica.term:
        return "the leader has not committed an entry of its term yet"
    if len(set(replica.voters) ^ set(members.voters)) > 1:
        return "only one voter may change at a time"
    if not members.voters:
        return "a group needs a voter"
    return None


def append_members(replica: Replica, members: Members, command: bytes) -> list[Action]:
    """Append a change of the group, if that is safe now.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    members : Members
        The group after the change.
    command : bytes
        Encoded command without effect, which the entry carries.

    Returns
    -------
    list of Action
        The write and the messages; nothing if the change is not safe.
    """
    if members_problem(replica, members) is not None:
        return []
    return append_commands(replica, (command,), members)


def force_members(replica: Replica, command: bytes, now: float) -> list[Action]:
    """Begin a new generation of the group with this replica alone.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    command : bytes
        Encoded command without effect, which the entry carries.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        The writes.

    Notes
    -----
    Whatever only the lost replicas had is lost, and they must never run
    again: an operator who asks for this vouches for it.
    """
    members = Members((replica.id,), (), replica.members.generation + 1)
    replica.role = ReplicaRole.FOLLOWER
    replica.leader = None
    replica.term = Term(replica.term + 1)
    replica.voted_for = replica.id
    replica.deadline = now
    index = LogIndex(replica.log.last_index + 1)
    entries = (LogEntry(index, replica.term, command, members),)
    replica.log.append(entries)
    return [SaveVote(replica.term, replica.id), SaveEntries(entries)]


def with_joiner(members: Members, joiner: Joiner) -> Members:
    """Return the group with one more learner."""
    return replace(members, learners=(*members.learners, joiner.replica))


def without_node(members: Members, node: NodeId) -> Members:
    """Return the group without the replicas of one node."""
    return replace(
        members,
        voters=tuple(one for one in members.voters if node_of(one) != node),
        learners=tuple(one for one in members.learners if node_of(one) != node),
    )


def next_members(
    replica: Replica, joiners: dict[NodeId, Joiner], now: float, grows: bool = False
) -> Members | None:
    """Return the next change that brings a lost replica's node back.

    Parameters
    ----------
    replica : Replica
        A leader.
    joiners : dict
        By node, the replicas that ask to join.
    now : float
        Monotonic time in seconds.
    grows : bool
        Whether nodes that the group does not know may join, as learners first.
        A voter that has long been silent makes place for one of them.

    Returns
    -------
    Members or None
        The group after the change; None if nothing is to be done.

    Notes
    -----
    The new replica of a known node first learns. Once it has caught up, its
    node's old replica is removed, then the new one votes. A voter that still
    acknowledges heartbeats is never removed, so a second process that is
    started by mistake under the same name changes nothing.
    """
    members = replica.members
    for learner in members.learners:
        if not _has_caught_up(replica, learner):
            continue
        old = _voter_on(members, node_of(learner))
        if old is not None:
            if _is_silent(replica, old, now):
                return replace(members, voters=_without(members.voters, old))
            continue
        lost = _lost_voter(replica, now) if grows else None
        if lost is not None:
            return replace(members, voters=_without(members.voters, lost))
        if grows and len(members.voters) >= MAX_VOTERS:
            continue
        return replace(
            members,
            voters=(*members.voters, learner),
            learners=_without(members.learners, learner),
        )
    for node, joiner in joiners.items():
        is_fresh = now - joiner.heard_at < JOINER_FRESH_S
        if not is_fresh or joiner.replica in members.voters + members.learners:
            continue
        stale = [one for one in members.learners if node_of(one) == node]
        if stale:
            learners = (*_without(members.learners, stale[0]), joiner.replica)
            return replace(members, learners=learners)
        old = _voter_on(members, node)
        if (old is None and grows) or (
            old is not None and _is_silent(replica, old, now)
        ):
            return replace(members, learners=(*members.learners, joiner.replica))
    return _without_lost_learner(replica, now) if grows else None


def _lost_voter(replica: Replica, now: float) -> ReplicaId | None:
    """Return the voter that has been silent for longest, if for long enough."""
    heard = [(_heard_at(replica, one), one) for one in replica.others]
    heard_at, voter = min(heard, default=(now, replica.id))
    return voter if now - heard_at > REPLACE_SILENT_S else None


def _without_lost_learner(replica: Replica, now: float) -> Members | None:
    for learner in replica.members.learners:
        if now - _heard_at(replica, learner) > REPLACE_SILENT_S:
            learners = _without(replica.members.learners, learner)
            return replace(replica.members, learners=learners)
    return None


def _without(
    replicas: tuple[ReplicaId, ...], removed: ReplicaId
) -> tuple[ReplicaId, ...]:
    return tuple(one for one in replicas if one != removed)


def _voter_on(members: Members, node: NodeId) -> ReplicaId | None:
    found = [one for one in members.voters if node_of(one) == node]
    return found[0] if found else None


def _has_caught_up(replica: Replica, learner: ReplicaId) -> bool:
    progress = replica.progress.get(learner)
    return (
        progress is not None
        and progress.match_index > 0
        and progress.match_index + PROMOTION_LAG >= replica.log.last_index
    )


def _is_silent(replica: Replica, voter: ReplicaId, now: float) -> bool:
    if voter == replica.id:
        return False
    return now - _heard_at(replica, voter) > replica.timing.election_max_s


def _heard_at(replica: Replica, member: ReplicaId) -> float:
    """Return when a member last acknowledged a heartbeat, as far as known."""
    last_round = replica.progress[member].acknowledged_round
    return replica.round_started.get(last_round, replica.leader_since)
