"""Messages between the replicas of the log."""

from cranberryfield.core.ids import LogIndex, NodeId, ReplicaId, Term
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = [
    "AppendReply",
    "AppendRequest",
    "GroupView",
    "JoinGroup",
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

SEPARATOR = "~"


def node_of(replica: ReplicaId) -> NodeId:
    """Return the node that a replica runs on.

    Examples
    --------
    >>> node_of("control-1~09af")
    'control-1'
    """
    return NodeId(replica.partition(SEPARATOR)[0])


class Members(NestedRecord):
    """The replicas of a group.

    Attributes
    ----------
    voters : tuple of ReplicaId
        Those that count for elections and commits.
    learners : tuple of ReplicaId
        Those that get the log and do not count.
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
        Its place and the term in which it was appended.
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
    """Asks for a vote, or with `pre_vote` whether one would be given."""

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
        Numbers the leader's heartbeats, for its lease and for reads.
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
        Last entry known to be equal on both sides if `success`, else the
        index from which the leader should try again.
    """

    term: Term
    success: bool
    match_index: LogIndex
    round_number: int


class SnapshotRequest(Message):
    """Sends one chunk of a snapshot to a replica that is too far behind.

    Attributes
    ----------
    last_index, last_term
        Last entry that the snapshot covers.
    members : Members
        The group as of that entry.
    offset, size : int
        Place of the chunk and size of the whole state, in bytes.
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
        Which snapshot is being received.
    next_offset : int
        Bytes of it held, from the start; its whole size once it is synced.
    complete : bool
        Whether the snapshot, or something newer, is synced.
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

    A process drops what is addressed to another replica than its own, so a
    data folder that was lost neither votes nor acknowledges under its old id.
    """

    sender: ReplicaId
    receiver: ReplicaId
    message: ReplicaMessage


class JoinGroup(Message):
    """Says that a replica knows no leader; asks whether there is a group."""

    replica: ReplicaId


class GroupView(Message):
    """Answers a `JoinGroup`.

    Attributes
    ----------
    replica : ReplicaId
        The asked replica.
    formed : bool
        Whether it belongs to a group already.
    generation : int
        The generation of its group.
    """

    replica: ReplicaId
    formed: bool
    generation: int = 0
