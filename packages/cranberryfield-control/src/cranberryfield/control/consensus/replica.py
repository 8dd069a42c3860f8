"""State of one replica and of its log."""

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from cranberryfield.core.ids import LogIndex, NodeId, Term
from cranberryfield.core.messages.consensus import LogEntry

__all__ = ["Progress", "Replica", "ReplicaLog", "ReplicaRole", "Timing"]


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
        stands for election.
    """

    heartbeat_s: float = 0.15
    election_min_s: float = 0.6
    election_max_s: float = 1.2


class ReplicaLog:
    """Entries in memory, from just after the last snapshot.

    Parameters
    ----------
    base_index, base_term : int
        Last entry that the snapshot covers; 0 without one.
    entries : list of LogEntry
        What follows, without gaps.
    """

    def __init__(
        self,
        base_index: LogIndex = LogIndex(0),
        base_term: Term = Term(0),
        entries: list[LogEntry] | None = None,
    ):
        self._base_index = base_index
        self._base_term = base_term
        self._entries = entries if entries is not None else []

    @property
    def base_index(self) -> LogIndex:
        """Last index that the snapshot covers."""
        return self._base_index

    @property
    def base_term(self) -> Term:
        """Term of the last entry that the snapshot covers."""
        return self._base_term

    @property
    def last_index(self) -> LogIndex:
        """Index of the last entry."""
        return LogIndex(self._base_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term of the entry at `index`, or None if it is not held."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def slice(
        self, first: LogIndex, last: LogIndex, limit: int | None = None
    ) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, at most `limit`."""
        start = first - self._base_index - 1
        stop = last - self._base_index
        if limit is not None:
            stop = min(stop, start + limit)
        return tuple(self._entries[start:stop])

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Add entries, replacing those from the first one's index on."""
        if not entries:
            return
        del self._entries[entries[0].index - self._base_index - 1 :]
        self._entries.extend(entries)


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
        Last heartbeat that it answered.
    """

    next_index: LogIndex
    match_index: LogIndex = LogIndex(0)
    acknowledged_round: int = 0


@dataclass(slots=True)
class Replica:
    """All that a replica knows; changed only by `step`.

    Attributes
    ----------
    node : NodeId
        This replica.
    voters : tuple of NodeId
        All replicas that vote.
    rng : random.Random
        Seeded generator of election times.
    timing : Timing
        Intervals of the protocol.
    term, voted_for
        What must be synced before any answer that depends on it.
    log : ReplicaLog
        The entries.
    commit_index : LogIndex
        Last entry known to be on a majority.
    role : ReplicaRole
        What this replica is in its term.
    leader : NodeId or None
        The term's leader, if known.
    deadline : float
        Monotonic time in seconds of the next election or heartbeat.
    heard_leader_at : float
        When the leader was last heard.
    votes : set of NodeId
        Replicas that granted the vote asked for.
    progress : dict
        For a leader, what it knows of each other voter.
    round_number, round_started
        The last heartbeat and the times at which recent ones began.
    """

    node: NodeId
    voters: tuple[NodeId, ...]
    rng: Random
    timing: Timing = field(default_factory=Timing)
    term: Term = Term(0)
    voted_for: NodeId | None = None
    log: ReplicaLog = field(default_factory=ReplicaLog)
    commit_index: LogIndex = LogIndex(0)
    role: ReplicaRole = ReplicaRole.FOLLOWER
    leader: NodeId | None = None
    deadline: float = 0.0
    heard_leader_at: float = float("-inf")
    votes: set[NodeId] = field(default_factory=set)
    progress: dict[NodeId, Progress] = field(default_factory=dict)
    round_number: int = 0
    round_started: dict[int, float] = field(default_factory=dict)

    @property
    def others(self) -> tuple[NodeId, ...]:
        """All voters but this one."""
        return tuple(node for node in self.voters if node != self.node)

    @property
    def quorum(self) -> int:
        """Smallest number of voters that is a majority."""
        return len(self.voters) // 2 + 1
