"""What a replica asks its runtime to do.

The runtime performs the writes of a batch of actions first, in order, syncs
them, and only then sends and applies.
"""

from dataclasses import dataclass

from cranberryfield.core.ids import LogIndex, ReplicaId, Term
from cranberryfield.core.messages.consensus import (
    LogEntry,
    Members,
    ReplicaMessage,
)

__all__ = [
    "Action",
    "ApplyEntries",
    "InstallSnapshot",
    "SaveEntries",
    "SaveMembers",
    "SaveVote",
    "SendSnapshot",
    "SendTo",
]


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Write the term and the vote cast in it."""

    term: Term
    voted_for: ReplicaId | None


@dataclass(frozen=True, slots=True)
class SaveMembers:
    """Write the members with which the group begins."""

    members: Members


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Write entries; those from the first one's index on are replaced."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Write a snapshot, drop the log, and replace the applied state.

    Attributes
    ----------
    last_index, last_term
        Last entry that the snapshot covers.
    members : Members
        The group as of that entry.
    state : bytes
        The encoded state.
    """

    last_index: LogIndex
    last_term: Term
    members: Members
    state: bytes


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send a message to another replica; it may be lost."""

    receiver: ReplicaId
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class SendSnapshot:
    """Send the chunk of the stored snapshot that begins at `offset`.

    If the stored snapshot is not that of `last_index`, its first chunk is to
    be sent.
    """

    receiver: ReplicaId
    term: Term
    last_index: LogIndex
    offset: int
    round_number: int


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply committed entries to the state machine, in order."""

    entries: tuple[LogEntry, ...]


Action = (
    SaveVote
    | SaveMembers
    | SaveEntries
    | InstallSnapshot
    | SendTo
    | SendSnapshot
    | ApplyEntries
)
