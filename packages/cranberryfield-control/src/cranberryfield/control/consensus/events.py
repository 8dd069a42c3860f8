"""Events that `step` applies to a replica."""

from dataclasses import dataclass

from cranberryfield.core.ids import LogIndex, ReplicaId
from cranberryfield.core.messages.consensus import Members, ReplicaMessage

__all__ = [
    "ClockTicked",
    "CommandsProposed",
    "Event",
    "GroupFormed",
    "GroupReplaced",
    "HeartbeatRequested",
    "MembersProposed",
    "MessageReceived",
    "SnapshotSaved",
]


@dataclass(frozen=True, slots=True)
class ClockTicked:
    """The election or heartbeat deadline may have passed."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another replica has arrived."""

    sender: ReplicaId
    message: ReplicaMessage


@dataclass(frozen=True, slots=True)
class CommandsProposed:
    """Encoded commands are proposed, to be appended in this order."""

    commands: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class MembersProposed:
    """A change of the group is proposed; ignored if it would be unsafe."""

    members: Members


@dataclass(frozen=True, slots=True)
class GroupFormed:
    """All replicas in the configuration have agreed to form the group."""

    members: Members


@dataclass(frozen=True, slots=True)
class GroupReplaced:
    """An operator has declared the majority of the group permanently lost."""


@dataclass(frozen=True, slots=True)
class HeartbeatRequested:
    """A pending read needs a heartbeat round that starts now."""


@dataclass(frozen=True, slots=True)
class SnapshotSaved:
    """A snapshot is synced to disk; entries up to `index` can be removed."""

    index: LogIndex


Event = (
    ClockTicked
    | MessageReceived
    | CommandsProposed
    | MembersProposed
    | GroupFormed
    | GroupReplaced
    | HeartbeatRequested
    | SnapshotSaved
)
