"""Messages between the replicas of the log."""

from cranberryfield.core.ids import LogIndex, Term
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = [
    "AppendReply",
    "AppendRequest",
    "LogEntry",
    "SnapshotReply",
    "SnapshotRequest",
    "VoteReply",
    "VoteRequest",
]


class LogEntry(NestedRecord):
    """One entry of the log: its place, its term and an encoded command."""

    index: LogIndex
    term: Term
    command: bytes


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
    """Sends the whole applied state to a replica that is too far behind."""

    term: Term
    last_index: LogIndex
    last_term: Term
    voters: tuple[str, ...]
    state: bytes


class SnapshotReply(Message):
    """Tells that a snapshot up to `last_index` is stored and synced."""

    term: Term
    last_index: LogIndex
