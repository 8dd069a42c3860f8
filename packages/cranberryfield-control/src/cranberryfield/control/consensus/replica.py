"""State of one consensus replica."""

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from cranberryfield.control.consensus.log import ReplicaLog
from cranberryfield.core.ids import LogIndex, NodeId, ReplicaId, Term
from cranberryfield.core.messages.consensus import Members, node_of

__all__ = [
    "ConsensusTiming",
    "IncomingSnapshot",
    "Replica",
    "ReplicaRole",
    "ReplicationProgress",
]


class ReplicaRole(Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class ConsensusTiming:
    """Intervals of the protocol, in seconds.

    Attributes
    ----------
    heartbeat_s : float
        Interval between the leader's heartbeats.
    election_min_s, election_max_s : float
        Bounds of the random election timeout. A leader that has had no
        acknowledgement from a majority for `election_max_s` steps down.
    lease_ratio : float
        Fraction of `election_min_s` for which a leader lease is valid. The
        remainder allows for clocks that run at different rates.
    """

    heartbeat_s: float = 0.2
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    lease_ratio: float = 0.9


@dataclass(slots=True)
class ReplicationProgress:
    """Replication state of one other member, as known to the leader.

    Attributes
    ----------
    next_index : LogIndex
        Index of the next entry to send.
    match_index : LogIndex
        Index of the last entry known to be stored by the member.
    acknowledged_round : int
        Latest heartbeat round that the member acknowledged; -1 for none.
    snapshot_index, snapshot_offset
        Last index of the snapshot being sent, and the number of bytes that the
        member has received.
    large_sent_at : float
        Time at which entries of many bytes were last sent, in seconds.
    """

    next_index: LogIndex
    match_index: LogIndex = LogIndex(0)
    acknowledged_round: int = -1
    snapshot_index: LogIndex = LogIndex(0)
    snapshot_offset: int = 0
    large_sent_at: float = float("-inf")


@dataclass(slots=True)
class IncomingSnapshot:
    """Partially received snapshot, up to the entry at `last_index`."""

    last_index: LogIndex
    data: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class Replica:
    """Complete state of a replica; modified only by `step`.

    Attributes
    ----------
    id : ReplicaId
        Identifier of this replica.
    rng : random.Random
        Random generator for election timeouts.
    timing : ConsensusTiming
        Intervals of the protocol.
    term, voted_for
        Current term and the vote cast in it. Both must be synced to disk before
        any reply that depends on them.
    log : ReplicaLog
        The log entries, which also define the members of the group.
    commit_index : LogIndex
        Index of the last entry known to be stored by a majority.
    role : ReplicaRole
        Role of this replica in the current term.
    leader : ReplicaId or None
        The term's leader, if known.
    deadline : float
        Monotonic time of the next election or heartbeat, in seconds.
    last_leader_contact_at : float
        Monotonic time of the last request from the leader, in seconds.
    leader_since : float
        Monotonic time at which this replica last became leader, in seconds.
    votes : set of ReplicaId
        Replicas that granted the requested vote or pre-vote.
    progress : dict
        On a leader, the replication state of each other member.
    round_number, round_start_times
        Number of the latest heartbeat round, and the monotonic start times of
        recent rounds by number.
    incoming_snapshot : IncomingSnapshot or None
        The snapshot being received, if any.
    """

    id: ReplicaId
    rng: Random
    timing: ConsensusTiming = field(default_factory=ConsensusTiming)
    term: Term = Term(0)
    voted_for: ReplicaId | None = None
    log: ReplicaLog = field(default_factory=ReplicaLog)
    commit_index: LogIndex = LogIndex(0)
    role: ReplicaRole = ReplicaRole.FOLLOWER
    leader: ReplicaId | None = None
    deadline: float = 0.0
    last_leader_contact_at: float = float("-inf")
    leader_since: float = float("-inf")
    votes: set[ReplicaId] = field(default_factory=set)
    progress: dict[ReplicaId, ReplicationProgress] = field(default_factory=dict)
    round_number: int = 0
    round_start_times: dict[int, float] = field(default_factory=dict)
    incoming_snapshot: IncomingSnapshot | None = None

    @property
    def members(self) -> Members:
        """Group members as of the last entry of the log."""
        return self.log.members

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """All voting members."""
        return self.log.members.voters

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes."""
        return self.id in self.voters

    @property
    def other_voters(self) -> tuple[ReplicaId, ...]:
        """All voters except this replica."""
        return tuple(one for one in self.voters if one != self.id)

    @property
    def peers(self) -> tuple[ReplicaId, ...]:
        """All members except this replica, voters and learners."""
        members = self.voters + self.members.learners
        return tuple(one for one in members if one != self.id)

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def voter_nodes(self) -> tuple[NodeId, ...]:
        """Nodes of all voters."""
        return tuple(node_of(one) for one in self.voters)

    @property
    def leader_node(self) -> NodeId | None:
        """Node of the term's leader, if known."""
        return node_of(self.leader) if self.leader is not None else None
