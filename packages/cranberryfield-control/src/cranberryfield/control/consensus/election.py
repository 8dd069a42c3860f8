"""Leader election: pre-votes, votes and role changes."""

from cranberryfield.control.consensus.actions import Action, SaveVote, SendMessage
from cranberryfield.control.consensus.replica import (
    Replica,
    ReplicaRole,
    ReplicationProgress,
)
from cranberryfield.core.ids import LogIndex, ReplicaId, Term
from cranberryfield.core.messages.consensus import VoteReply, VoteRequest

__all__ = [
    "become_follower",
    "on_vote_reply",
    "on_vote_request",
    "reset_election_deadline",
    "start_pre_vote",
]


def reset_election_deadline(replica: Replica, now: float) -> None:
    """Set the election deadline to a random time within the configured bounds."""
    timing = replica.timing
    replica.deadline = now + replica.rng.uniform(
        timing.election_min_s, timing.election_max_s
    )


def become_follower(
    replica: Replica, term: Term, leader: ReplicaId | None, now: float
) -> list[Action]:
    """Make the replica a follower in `term`, which may be its current term.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    term : Term
        New term; not lower than the replica's.
    leader : ReplicaId or None
        The term's leader, if known.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        The vote to save, if the term is new.
    """
    actions: list[Action] = []
    if term > replica.term:
        replica.term = term
        replica.voted_for = None
        actions.append(SaveVote(term, None))
    if replica.role is ReplicaRole.LEADER or actions or leader is not None:
        reset_election_deadline(replica, now)
    replica.role = ReplicaRole.FOLLOWER
    replica.leader = leader
    replica.progress = {}
    replica.votes = set()
    return actions


def start_pre_vote(replica: Replica, now: float) -> list[Action]:
    """Request pre-votes, which test whether an election can be won.

    The term is not increased.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        The requests. In a group of one voter, the election itself; empty if the
        replica is not a voter.
    """
    reset_election_deadline(replica, now)
    if not replica.is_voter:
        return []
    replica.role = ReplicaRole.PRE_CANDIDATE
    replica.leader = None
    replica.votes = {replica.id}
    if len(replica.votes) >= replica.quorum:
        return _start_election(replica, now)
    return _request_votes(replica, Term(replica.term + 1), pre_vote=True)


def _start_election(replica: Replica, now: float) -> list[Action]:
    replica.role = ReplicaRole.CANDIDATE
    replica.term = Term(replica.term + 1)
    replica.voted_for = replica.id
    replica.votes = {replica.id}
    reset_election_deadline(replica, now)
    actions: list[Action] = [SaveVote(replica.term, replica.id)]
    if len(replica.votes) >= replica.quorum:
        _become_leader(replica, now)
        return actions
    return actions + _request_votes(replica, replica.term, pre_vote=False)


def _request_votes(replica: Replica, term: Term, pre_vote: bool) -> list[Action]:
    request = VoteRequest(term, replica.log.last_index, replica.log.last_term, pre_vote)
    return [SendMessage(one, request) for one in replica.other_voters]


def _become_leader(replica: Replica, now: float) -> None:
    replica.role = ReplicaRole.LEADER
    replica.leader = replica.id
    replica.leader_since = now
    next_index = LogIndex(replica.log.last_index + 1)
    replica.progress = {one: ReplicationProgress(next_index) for one in replica.peers}
    replica.round_start_times = {}
    replica.deadline = now


def _is_log_up_to_date(replica: Replica, request: VoteRequest) -> bool:
    own = (replica.log.last_term, replica.log.last_index)
    return (request.last_term, request.last_index) >= own


def on_vote_request(
    replica: Replica, sender: ReplicaId, request: VoteRequest, now: float
) -> list[Action]:
    """Grant or deny a vote or pre-vote.

    Parameters
    ----------
    replica : Replica
        Changed in place by a vote, never by a pre-vote.
    sender : ReplicaId
        Replica that requests the vote.
    request : VoteRequest
        The request.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        The vote to save and the reply.

    Notes
    -----
    A replica that has heard from its leader within `election_min_s` denies
    both kinds. A replica that was partitioned from the group can therefore not
    depose a leader that the others follow, and the leader lease stays valid.

    The replica that grants the vote does not check its own list of voters,
    which may be older than the candidate's. The candidate counts only votes
    from its own list of voters.
    """
    follows_leader = replica.role is ReplicaRole.LEADER or (
        now - replica.last_leader_contact_at < replica.timing.election_min_s
    )
    if follows_leader:
        return [SendMessage(sender, VoteReply(replica.term, False, request.pre_vote))]
    if request.pre_vote:
        granted = request.term > replica.term and _is_log_up_to_date(replica, request)
        term = request.term if granted else replica.term
        return [SendMessage(sender, VoteReply(term, granted, True))]
    actions: list[Action] = []
    if request.term > replica.term:
        actions += become_follower(replica, request.term, None, now)
    granted = (
        request.term == replica.term
        and replica.voted_for in (None, sender)
        and _is_log_up_to_date(replica, request)
    )
    if granted:
        replica.voted_for = sender
        reset_election_deadline(replica, now)
        actions.append(SaveVote(replica.term, sender))
    actions.append(SendMessage(sender, VoteReply(replica.term, granted, False)))
    return actions


def on_vote_reply(
    replica: Replica, sender: ReplicaId, reply: VoteReply, now: float
) -> list[Action]:
    """Count a vote or pre-vote, and act on a majority.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    sender : ReplicaId
        Replica that sent the reply.
    reply : VoteReply
        The reply.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        Requests for votes, with the vote to save, if the majority of pre-votes
        is reached; the vote to save if the reply has a higher term.
    """
    if not reply.granted and reply.term > replica.term:
        return become_follower(replica, reply.term, None, now)
    expected_role = (
        ReplicaRole.PRE_CANDIDATE if reply.pre_vote else ReplicaRole.CANDIDATE
    )
    expected_term = replica.term + 1 if reply.pre_vote else replica.term
    if replica.role is not expected_role or reply.term != expected_term:
        return []
    if not reply.granted or sender not in replica.voters:
        return []
    replica.votes.add(sender)
    if len(replica.votes) < replica.quorum:
        return []
    if reply.pre_vote:
        return _start_election(replica, now)
    _become_leader(replica, now)
    return []
