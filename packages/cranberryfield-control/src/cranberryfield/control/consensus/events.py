"""What happens to a replica."""

from dataclasses import dataclass

from cranberryfield.core.ids import NodeId
from cranberryfield.core.messages.base import Message

__all__ = ["Event", "Proposed", "Received", "Ticked"]


@dataclass(frozen=True, slots=True)
class Ticked:
    """A deadline of the replica may have passed."""


@dataclass(frozen=True, slots=True)
class Received:
    """A message came from another replica."""

    sender: NodeId
    message: Message


@dataclass(frozen=True, slots=True)
class Proposed:
    """Encoded commands are to be appended, in this order."""

    commands: tuple[bytes, ...]


Event = Ticked | Received | Proposed
