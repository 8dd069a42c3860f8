"""Requests of operators to the leader of the control group, and answers."""

from cranberryfield.core.ids import NodeId, Revision
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.settings import SettingDifference, SettingsChange

__all__ = [
    "ChangeControl",
    "ControlMembers",
    "DifferenceView",
    "ForgetHost",
    "HistoryView",
    "HoldersView",
    "ReadDifference",
    "ReadHistory",
    "ReadHolders",
    "ReadMembers",
    "ReadTraffic",
    "ReplaceControl",
    "TrafficView",
]


class ReadHistory(Message):
    """Asks for the latest accepted changes; see `HistoryView`."""

    level: str | None = None
    limit: int = 50


class HistoryView(Message):
    """Accepted changes, newest first."""

    changes: tuple[SettingsChange, ...]


class ReadDifference(Message):
    """Asks what differs between two revisions; see `DifferenceView`."""

    first: Revision
    last: Revision


class DifferenceView(Message):
    """Settings that differ, by level and name."""

    settings: tuple[SettingDifference, ...]


class ReadHolders(Message):
    """Asks how many entry hosts have a revision in force."""

    revision: Revision


class HoldersView(Message):
    """Which entry hosts have a revision in force.

    Attributes
    ----------
    revision : Revision
        The revision asked about.
    holders : tuple of NodeId
        Hosts that have it, or a newer one.
    lagging : tuple of NodeId
        Hosts that were heard lately and do not have it yet.
    silent : tuple of NodeId
        Hosts not heard lately; these stop serving by themselves.
    """

    revision: Revision
    holders: tuple[NodeId, ...]
    lagging: tuple[NodeId, ...]
    silent: tuple[NodeId, ...]


class ForgetHost(Message):
    """Says that an entry host is gone for good; answered by `HoldersView`."""

    node: NodeId


class ReadMembers(Message):
    """Asks any control host for the group as it knows it."""


class ChangeControl(Message):
    """Adds or removes one control host; answered by `ControlMembers`.

    Attributes
    ----------
    add : NodeId or None
        A control host that runs with an empty data folder.
    remove : NodeId or None
        A control host that is to leave the group.
    """

    add: NodeId | None = None
    remove: NodeId | None = None


class ReplaceControl(Message):
    """Makes the asked control host the only one of a group without a majority.

    Whatever only the lost hosts had is lost.

    Attributes
    ----------
    node : NodeId
        The asked host, named once more so that no other obeys.
    """

    node: NodeId


class ControlMembers(Message):
    """The control group as the asked host knows it.

    Attributes
    ----------
    voters, learners : tuple of NodeId
        Its members.
    leader : NodeId or None
        The leader, if known.
    generation : int
        Counts how often the group was replaced.
    term : int
        The election term.
    """

    voters: tuple[NodeId, ...]
    learners: tuple[NodeId, ...]
    leader: NodeId | None
    generation: int
    term: int


class ReadTraffic(Message):
    """Asks any process what went over its links; answered by `TrafficView`."""


class TrafficView(Message):
    """Payload bytes on all links of a process since its start."""

    sent: int
    received: int
