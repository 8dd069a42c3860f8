"""Consensus on a replicated log, as a step function without I/O."""

from cranberryfield.control.consensus.actions import (
    Action,
    ApplyEntries,
    SaveEntries,
    SaveVote,
    SendTo,
)
from cranberryfield.control.consensus.events import (
    Event,
    Proposed,
    Received,
    Ticked,
)
from cranberryfield.control.consensus.replica import Replica, ReplicaRole
from cranberryfield.control.consensus.step import step

__all__ = [
    "Action",
    "ApplyEntries",
    "Event",
    "Proposed",
    "Received",
    "Replica",
    "ReplicaRole",
    "SaveEntries",
    "SaveVote",
    "SendTo",
    "Ticked",
    "step",
]
