"""Membership changes of the group, one voter at a time, through the log."""

from dataclasses import dataclass

from msgspec.structs import replace

from cranberryfield.control.consensus.actions import (
    Action,
    SaveEntries,
    SaveVote,
)
from cranberryfield.control.consensus.leader_replication import append_commands
from cranberryfield.control.consensus.replica import Replica, ReplicaRole
from cranberryfield.core.ids import LogIndex, NodeId, ReplicaId, Term
from cranberryfield.core.messages.consensus import LogEntry, Members, node_of

__all__ = [
    "JoinRequest",
    "append_membership_change",
    "force_single_voter",
    "membership_change_problem",
    "next_members",
    "with_learner",
    "without_node",
]

#: Maximum lag at which a learner is promoted to voter, in entries.
MAX_PROMOTION_LAG = 64
#: Time after which a request to join expires unless repeated, in seconds.
JOIN_REQUEST_TTL_S = 3.0
#: Maximum number of voters of a group that grows automatically: at most 7 hosts
#: are dedicated to control.
MAX_VOTERS = 7
#: Voters below which a group is not reduced: five bear the loss of two disks.
MIN_REDUCED_VOTERS = 5
#: Time without acknowledgements after which a voter may be replaced by a waiting
#: learner, and a learner is removed, in seconds.
MEMBER_LOST_AFTER_S = 2.5


@dataclass(slots=True)
class JoinRequest:
    """Request of a replica to join the group.

    Attributes
    ----------
    replica : ReplicaId
        The replica that requests to join.
    received_at : float
        Monotonic time of its latest request, in seconds.
    """

    replica: ReplicaId
    received_at: float


def membership_change_problem(replica: Replica, members: Members) -> str | None:
    """Return the reason why a membership change is unsafe now, if it is.

    Parameters
    ----------
    replica : Replica
        The replica that would append the change.
    members : Members
        Group members after the change.

    Returns
    -------
    str or None
        The reason in one sentence; None if the change is safe.

    Notes
    -----
    Any majority before and any majority after the change of a single voter have
    a voter in common. Until a leader has committed an entry of its own term, it
    may not know of a change that an earlier leader has committed.

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


def append_membership_change(
    replica: Replica, members: Members, command: bytes
) -> list[Action]:
    """Append a membership change to the log, if that is safe now.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    members : Members
        Group members after the change.
    command : bytes
        Encoded no-op command to store in the entry.

    Returns
    -------
    list of Action
        The write and the messages; empty if the change is not safe.
    """
    if membership_change_problem(replica, members) is not None:
        return []
    return append_commands(replica, (command,), members)


def force_single_voter(replica: Replica, command: bytes, now: float) -> list[Action]:
    """Start a new generation of the group with this replica as only voter.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    command : bytes
        Encoded no-op command to store in the entry.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        The vote and the entry to save.

    Notes
    -----
    Entries stored only by the lost replicas are lost. Those replicas must never
    run again; the operator who requests this is responsible for that.
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


def with_learner(members: Members, request: JoinRequest) -> Members:
    """Return the members with the joining replica added as a learner."""
    return replace(members, learners=(*members.learners, request.replica))


def without_node(members: Members, node: NodeId) -> Members:
    """Return the members without the replicas of one node."""
    return replace(
        members,
        voters=tuple(one for one in members.voters if node_of(one) != node),
        learners=tuple(one for one in members.learners if node_of(one) != node),
    )


def next_members(
    replica: Replica,
    join_requests: dict[NodeId, JoinRequest],
    now: float,
    allow_new_nodes: bool = False,
    departures: frozenset[ReplicaId] = frozenset(),
) -> Members | None:
    """Return the next membership change that replaces lost or adds new replicas.

    Parameters
    ----------
    replica : Replica
        A leader.
    join_requests : dict
        Requests to join, by node.
    now : float
        Monotonic time in seconds.
    allow_new_nodes : bool
        Whether nodes outside the group may join, first as learners. The number of
        voters is then kept odd, and a voter that has been silent for too long is
        removed in favour of a learner that has caught up.
    departures : frozenset of ReplicaId
        Replicas whose hosts are about to stop. A learner that waits takes the
        place of such a voter at once.

    Returns
    -------
    Members or None
        Group members after the change; None if no change is needed.

    Notes
    -----
    The new replica of a known node first joins as a learner. Once it has caught
    up, the old replica of the node is removed and the new one is promoted to
    voter. A voter that still acknowledges heartbeats is never removed, so a
    second process started by mistake under the same name has no effect.
    """
    change = _replace_reinstalled_voter(replica, now)
    if change is not None:
        return change
    members = replica.members
    waiting = [one for one in _waiting_learners(replica) if one not in departures]
    if not allow_new_nodes:
        if waiting:
            return _promote(members, waiting[0])
    else:
        change = _resize(replica, waiting, departures, now)
        if change is not None:
            return change
    current = {
        node: request
        for node, request in join_requests.items()
        if now - request.received_at < JOIN_REQUEST_TTL_S
    }
    for node, request in current.items():
        if request.replica in (*members.voters, *members.learners, *departures):
            continue
        stale_learners = [one for one in members.learners if node_of(one) == node]
        if stale_learners:
            learners = (*_without(members.learners, stale_learners[0]), request.replica)
            return replace(members, learners=learners)
        old_voter = _voter_on(members, node)
        if (old_voter is None and allow_new_nodes) or (
            old_voter is not None and _is_silent(replica, old_voter, now)
        ):
            return replace(members, learners=(*members.learners, request.replica))
    return _without_lost_learner(replica, current, now) if allow_new_nodes else None


def _replace_reinstalled_voter(replica: Replica, now: float) -> Members | None:
    """Return the members without a silent voter whose node has a new replica."""
    members = replica.members
    for learner in members.learners:
        old_voter = _voter_on(members, node_of(learner))
        if (
            old_voter is not None
            and _has_caught_up(replica, learner)
            and _is_silent(replica, old_voter, now)
        ):
            return replace(members, voters=_without(members.voters, old_voter))
    return None


def _waiting_learners(replica: Replica) -> list[ReplicaId]:
    """Return the learners that have caught up and whose nodes have no voter."""
    members = replica.members
    return [
        learner
        for learner in members.learners
        if _has_caught_up(replica, learner)
        and _voter_on(members, node_of(learner)) is None
    ]


def _resize(
    replica: Replica,
    waiting: list[ReplicaId],
    departures: frozenset[ReplicaId],
    now: float,
) -> Members | None:
    """Return the change that keeps an odd number of voters that are all alive.

    An even number bears the loss of no more voters than the odd number below it, and
    needs one more of them for a majority. A learner therefore waits until it can take
    the place of a lost voter, or until two can be promoted.
    """
    members = replica.members
    count = len(members.voters)
    is_odd = count % 2 == 1
    departing = [one for one in members.voters if one in departures]
    if departing and waiting:
        return replace(members, voters=_without(members.voters, departing[0]))
    lost_voter = _lost_voter(replica, now)
    is_surplus = not is_odd and count > MIN_REDUCED_VOTERS
    if lost_voter is not None and (waiting or is_surplus):
        return replace(members, voters=_without(members.voters, lost_voter))
    if not waiting:
        return None
    if not is_odd or (len(waiting) >= 2 and count + 2 <= MAX_VOTERS):
        return _promote(members, waiting[0])
    return None


def _promote(members: Members, learner: ReplicaId) -> Members:
    return replace(
        members,
        voters=(*members.voters, learner),
        learners=_without(members.learners, learner),
    )


def _lost_voter(replica: Replica, now: float) -> ReplicaId | None:
    """Return the voter silent for longest, if past the replacement timeout."""
    acknowledged = [
        (_last_acknowledged_at(replica, one), one) for one in replica.other_voters
    ]
    acknowledged_at, voter = min(acknowledged, default=(now, replica.id))
    return voter if now - acknowledged_at > MEMBER_LOST_AFTER_S else None


def _without_lost_learner(
    replica: Replica, join_requests: dict[NodeId, JoinRequest], now: float
) -> Members | None:
    """Return the members without a learner that is silent.

    A learner repeats its request to join until it is a voter, and may not have
    acknowledged anything yet.
    """
    members = replica.members
    requested = {request.replica for request in join_requests.values()}
    for learner in members.learners:
        silent_s = now - _last_acknowledged_at(replica, learner)
        if learner not in requested and silent_s > MEMBER_LOST_AFTER_S:
            return replace(members, learners=_without(members.learners, learner))
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
        and progress.match_index + MAX_PROMOTION_LAG >= replica.log.last_index
    )


def _is_silent(replica: Replica, voter: ReplicaId, now: float) -> bool:
    if voter == replica.id:
        return False
    return now - _last_acknowledged_at(replica, voter) > replica.timing.election_max_s


def _last_acknowledged_at(replica: Replica, member: ReplicaId) -> float:
    """Return the start of the last round the member acknowledged, if known.

    If that round is no longer tracked, return the start of the leadership.
    """
    last_round = replica.progress[member].acknowledged_round
    return replica.round_start_times.get(last_round, replica.leader_since)
