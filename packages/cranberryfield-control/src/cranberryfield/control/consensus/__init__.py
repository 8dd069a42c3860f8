"""Raft consensus on a replicated log, as a step function without I/O."""

from cranberryfield.control.consensus.actions import (
    Action,
    ApplyEntries,
    InstallSnapshot,
    SaveEntries,
    SaveMembers,
    SaveVote,
    SendMessage,
    SendSnapshot,
)
from cranberryfield.control.consensus.events import (
    ClockTicked,
    CommandsProposed,
    Event,
    GroupFormed,
    GroupReplaced,
    HeartbeatRequested,
    MembersProposed,
    MessageReceived,
    SnapshotSaved,
)
from cranberryfield.control.consensus.log import ReplicaLog
from cranberryfield.control.consensus.replica import Replica, ReplicaRole
from cranberryfield.control.consensus.step import step

__all__ = [
    "Action",
    "ApplyEntries",
    "ClockTicked",
    "CommandsProposed",
    "Event",
    "GroupFormed",
    "GroupReplaced",
    "HeartbeatRequested",
    "InstallSnapshot",
    "MembersProposed",
    "MessageReceived",
    "Replica",
    "ReplicaLog",
    "ReplicaRole",
    "SaveEntries",
    "SaveMembers",
    "SaveVote",
    "SendMessage",
    "SendSnapshot",
    "SnapshotSaved",
    "step",
]
