"""Actions that `step` returns for the runtime to perform.

The runtime performs the writes of a batch first, in order, and syncs them. Only
then does it send the messages and apply the entries of the batch.
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
    "SendMessage",
    "SendSnapshot",
]


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Store the current term and the vote cast in it."""

    term: Term
    voted_for: ReplicaId | None


@dataclass(frozen=True, slots=True)
class SaveMembers:
    """Store the initial members of the group."""

    members: Members


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Store log entries, replacing existing ones from the first index on."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Store a snapshot, discard the log and replace the applied state.

    Attributes
    ----------
    last_index, last_term
        Index and term of the last entry covered by the snapshot.
    members : Members
        Group members as of that entry.
    state : bytes
        Encoded state of the state machine.
    """

    last_index: LogIndex
    last_term: Term
    members: Members
    state: bytes


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another replica, without a guarantee of delivery."""

    receiver: ReplicaId
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class SendSnapshot:
    """Send the chunk of the stored snapshot that begins at `offset`.

    If the stored snapshot does not end at `last_index`, the runtime sends its
    first chunk instead.
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
    | SendMessage
    | SendSnapshot
    | ApplyEntries
)
