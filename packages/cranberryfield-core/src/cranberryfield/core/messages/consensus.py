"""Messages between the replicas of the log."""

from cranberryfield.core.ids import LogIndex, NodeId, ReplicaId, Term
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = [
    "AppendReply",
    "AppendRequest",
    "GroupView",
    "JoinGroup",
    "LeaveGroup",
    "LogEntry",
    "Members",
    "ReplicaEnvelope",
    "ReplicaMessage",
    "SnapshotReply",
    "SnapshotRequest",
    "VoteReply",
    "VoteRequest",
    "node_of",
]

REPLICA_ID_SEPARATOR = "~"


def node_of(replica: ReplicaId) -> NodeId:
    """Return the node that a replica runs on.

    Examples
    --------
    >>> node_of("control-1~09af")
    'control-1'
    """
    return NodeId(replica.partition(REPLICA_ID_SEPARATOR)[0])


class Members(NestedRecord):
    """The replicas of a group.

    Attributes
    ----------
    voters : tuple of ReplicaId
        Replicas that count for elections and commits.
    learners : tuple of ReplicaId
        Replicas that receive the log but do not vote.
    generation : int
        Counts how often an operator has replaced a group that had lost its
        majority; replicas of an older generation stop.
    """

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()
    generation: int = 0


class LogEntry(NestedRecord):
    """One entry of the log.

    Attributes
    ----------
    index, term : int
        Its position in the log and the term in which it was appended.
    command : bytes
        An encoded command.
    members : Members or None
        The group from this entry on, if the entry changes it.
    """

    index: LogIndex
    term: Term
    command: bytes
    members: Members | None = None


class VoteRequest(Message):
    """Requests a vote; with `pre_vote`, asks whether it would be granted."""

    term: Term
    last_index: LogIndex
    last_term: Term
    pre_vote: bool


class VoteReply(Message):
    """Answers a `VoteRequest`."""

    term: Term
    granted: bool
    pre_vote: bool


class AppendRequest(Message):
    """Sends entries after `previous_index`, or none as a heartbeat.

    Attributes
    ----------
    round_number : int
        Number of the leader's heartbeat round, for its lease and for
        linearizable reads.
    """

    term: Term
    previous_index: LogIndex
    previous_term: Term
    entries: tuple[LogEntry, ...]
    commit: LogIndex
    round_number: int


class AppendReply(Message):
    """Answers an `AppendRequest`.

    Attributes
    ----------
    match_index : LogIndex
        Last entry known to match the leader's log if `success`, else the
        index from which the leader should retry.
    """

    term: Term
    success: bool
    match_index: LogIndex
    round_number: int


class SnapshotRequest(Message):
    """Sends one chunk of a snapshot to a replica that lags behind the log.

    Attributes
    ----------
    last_index, last_term
        Last entry that the snapshot covers.
    members : Members
        The group as of that entry.
    offset, size : int
        Offset of the chunk and size of the whole snapshot, in bytes.
    data : bytes
        The chunk.
    """

    term: Term
    last_index: LogIndex
    last_term: Term
    members: Members
    offset: int
    size: int
    data: bytes
    round_number: int


class SnapshotReply(Message):
    """Answers a `SnapshotRequest`.

    Attributes
    ----------
    last_index : LogIndex
        Last entry covered by the snapshot that is being received.
    next_offset : int
        Number of contiguous bytes received from the start; the size of the
        snapshot once it is synced to disk.
    complete : bool
        Whether this snapshot or newer state is synced to disk.
    """

    term: Term
    last_index: LogIndex
    next_offset: int
    complete: bool
    round_number: int


ReplicaMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
)


class ReplicaEnvelope(Message):
    """A message from one replica to another.

    A process drops envelopes that are addressed to a replica other than its
    own, so that a replica with a new data folder neither votes nor acknowledges
    under the id of the lost one.
    """

    sender: ReplicaId
    receiver: ReplicaId
    message: ReplicaMessage


class JoinGroup(Message):
    """Reports that a replica knows no leader; asks whether a group exists."""

    replica: ReplicaId


class LeaveGroup(Message):
    """Reports that the host of a replica is about to stop."""

    replica: ReplicaId


class GroupView(Message):
    """Answers a `JoinGroup`.

    Attributes
    ----------
    replica : ReplicaId
        The replica that answers.
    formed : bool
        Whether it already belongs to a group.
    generation : int
        The generation of its group.
    feature_level : int
        The feature level of its group, as far as it has applied the log.
    """

    replica: ReplicaId
    formed: bool
    generation: int = 0
    feature_level: int = 0
