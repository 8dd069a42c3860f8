"""What happens to a replica."""

from dataclasses import dataclass

from cranberryfield.core.ids import LogIndex, ReplicaId
from cranberryfield.core.messages.consensus import Members, ReplicaMessage

__all__ = [
    "Compacted",
    "Event",
    "Formed",
    "GroupReplaced",
    "MembersProposed",
    "Proposed",
    "Received",
    "RoundWanted",
    "Ticked",
]


@dataclass(frozen=True, slots=True)
class Ticked:
    """A deadline of the replica may have passed."""


@dataclass(frozen=True, slots=True)
class Received:
    """A message came from another replica."""

    sender: ReplicaId
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class Proposed:
    """Encoded commands are to be appended, in this order."""

    commands: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class MembersProposed:
    """The group is to change; without effect if that would be unsafe."""

    members: Members


@dataclass(frozen=True, slots=True)
class Formed:
    """Every replica that the configuration lists has agreed to begin."""

    members: Members


@dataclass(frozen=True, slots=True)
class GroupReplaced:
    """An operator has declared the majority of the group lost for good."""


@dataclass(frozen=True, slots=True)
class RoundWanted:
    """A read waits for a heartbeat round that begins now."""


@dataclass(frozen=True, slots=True)
class Compacted:
    """A snapshot is synced; entries up to `index` are not needed any more."""

    index: LogIndex


Event = (
    Ticked
    | Received
    | Proposed
    | MembersProposed
    | Formed
    | GroupReplaced
    | RoundWanted
    | Compacted
)
