"""State of one replica."""

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from cranberryfield.control.consensus.log import ReplicaLog
from cranberryfield.core.ids import LogIndex, NodeId, ReplicaId, Term
from cranberryfield.core.messages.consensus import Members, node_of

__all__ = ["IncomingSnapshot", "Progress", "Replica", "ReplicaRole", "Timing"]


class ReplicaRole(Enum):
    """What a replica is in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of the protocol, in seconds.

    Attributes
    ----------
    heartbeat_s : float
        Between the leader's heartbeats.
    election_min_s, election_max_s : float
        Bounds of the random time without a leader after which a follower
        stands for election. A leader that no majority has acknowledged for
        the longer of the two steps down.
    lease_ratio : float
        Part of `election_min_s` for which a leader's lease holds; the rest
        covers clocks that run at different rates.
    """

    heartbeat_s: float = 0.2
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    lease_ratio: float = 0.9


@dataclass(slots=True)
class Progress:
    """What a leader knows of one other replica.

    Attributes
    ----------
    next_index : LogIndex
        First entry to send next.
    match_index : LogIndex
        Last entry known to be stored there.
    acknowledged_round : int
        Last heartbeat that it answered; -1 for none.
    snapshot_index, snapshot_offset
        Which snapshot it is receiving, and the bytes that it has.
    """

    next_index: LogIndex
    match_index: LogIndex = LogIndex(0)
    acknowledged_round: int = -1
    snapshot_index: LogIndex = LogIndex(0)
    snapshot_offset: int = 0


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received."""

    last_index: LogIndex
    data: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class Replica:
    """All that a replica knows; changed only by `step`.

    Attributes
    ----------
    id : ReplicaId
        This replica.
    rng : random.Random
        Seeded generator of election times.
    timing : Timing
        Intervals of the protocol.
    term, voted_for
        What must be synced before any answer that depends on it.
    log : ReplicaLog
        The entries, and with them the members of the group.
    commit_index : LogIndex
        Last entry known to be on a majority.
    role : ReplicaRole
        What this replica is in its term.
    leader : ReplicaId or None
        The term's leader, if known.
    deadline : float
        Monotonic time in seconds of the next election or heartbeat.
    heard_leader_at : float
        When the leader was last heard.
    leader_since : float
        For a leader, when it became one.
    votes : set of ReplicaId
        Replicas that granted the vote asked for.
    progress : dict
        For a leader, what it knows of each other member.
    round_number, round_started
        The last heartbeat and the times at which recent ones began.
    incoming : IncomingSnapshot or None
        A snapshot that is being received.
    """

    id: ReplicaId
    rng: Random
    timing: Timing = field(default_factory=Timing)
    term: Term = Term(0)
    voted_for: ReplicaId | None = None
    log: ReplicaLog = field(default_factory=ReplicaLog)
    commit_index: LogIndex = LogIndex(0)
    role: ReplicaRole = ReplicaRole.FOLLOWER
    leader: ReplicaId | None = None
    deadline: float = 0.0
    heard_leader_at: float = float("-inf")
    leader_since: float = float("-inf")
    votes: set[ReplicaId] = field(default_factory=set)
    progress: dict[ReplicaId, Progress] = field(default_factory=dict)
    round_number: int = 0
    round_started: dict[int, float] = field(default_factory=dict)
    incoming: IncomingSnapshot | None = None

    @property
    def members(self) -> Members:
        """The group as of the last entry of the log."""
        return self.log.members

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """All replicas that vote."""
        return self.log.members.voters

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes."""
        return self.id in self.voters

    @property
    def others(self) -> tuple[ReplicaId, ...]:
        """All voters but this one."""
        return tuple(one for one in self.voters if one != self.id)

    @property
    def peers(self) -> tuple[ReplicaId, ...]:
        """All members but this one, voting or not."""
        members = self.voters + self.members.learners
        return tuple(one for one in members if one != self.id)

    @property
    def quorum(self) -> int:
        """Smallest number of voters that is a majority."""
        return len(self.voters) // 2 + 1

    @property
    def voter_nodes(self) -> tuple[NodeId, ...]:
        """Nodes of all voters."""
        return tuple(node_of(one) for one in self.voters)

    @property
    def leader_node(self) -> NodeId | None:
        """Node of the term's leader, if known."""
        return node_of(self.leader) if self.leader is not None else None
