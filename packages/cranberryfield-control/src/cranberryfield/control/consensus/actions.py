"""What a replica asks its runtime to do.

The runtime performs the writes of a batch of actions first, syncs them, and
only then sends and applies.
"""

from dataclasses import dataclass

from cranberryfield.core.ids import NodeId, Term
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.consensus import LogEntry

__all__ = ["Action", "ApplyEntries", "SaveEntries", "SaveVote", "SendTo"]


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Write the term and the vote cast in it."""

    term: Term
    voted_for: NodeId | None


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Write entries; those from the first one's index on are replaced."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send a message to another replica; it may be lost."""

    node: NodeId
    message: Message


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply committed entries to the state machine, in order."""

    entries: tuple[LogEntry, ...]


Action = SaveVote | SaveEntries | SendTo | ApplyEntries
