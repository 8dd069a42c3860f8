"""Raft consensus on a replicated log, as a step function without I/O."""

from cranberryfield.control.consensus.actions import (
    Action,
    ApplyEntries,
    InstallSnapshot,
    SaveEntries,
    SaveMembers,
    SaveVote,
    SendSnapshot,
    SendTo,
)
from cranberryfield.control.consensus.events import (
    Compacted,
    Event,
    Formed,
    GroupReplaced,
    MembersProposed,
    Proposed,
    Received,
    RoundWanted,
    Ticked,
)
from cranberryfield.control.consensus.log import ReplicaLog
from cranberryfield.control.consensus.replica import Replica, ReplicaRole
from cranberryfield.control.consensus.step import step

__all__ = [
    "Action",
    "ApplyEntries",
    "Compacted",
    "Event",
    "Formed",
    "GroupReplaced",
    "InstallSnapshot",
    "MembersProposed",
    "Proposed",
    "Received",
    "Replica",
    "ReplicaLog",
    "ReplicaRole",
    "RoundWanted",
    "SaveEntries",
    "SaveMembers",
    "SaveVote",
    "SendSnapshot",
    "SendTo",
    "Ticked",
    "step",
]
