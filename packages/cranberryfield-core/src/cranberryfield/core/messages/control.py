"""Operators' requests to the leader of the control group, and the answers."""

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
    """Asks for the settings that differ between two revisions."""

    first: Revision
    last: Revision


class DifferenceView(Message):
    """Answers `ReadDifference`; one item per level and setting."""

    settings: tuple[SettingDifference, ...]


class ReadHolders(Message):
    """Asks which entry hosts have a revision in force."""

    revision: Revision


class HoldersView(Message):
    """Distribution of a settings revision among the entry hosts.

    Attributes
    ----------
    revision : Revision
        The requested revision.
    holders : tuple of NodeId
        Hosts that have this revision or a newer one.
    lagging : tuple of NodeId
        Hosts heard from recently that do not have it yet.
    silent : tuple of NodeId
        Hosts not heard from recently; these stop serving on their own.
    """

    revision: Revision
    holders: tuple[NodeId, ...]
    lagging: tuple[NodeId, ...]
    silent: tuple[NodeId, ...]


class ForgetHost(Message):
    """Removes a permanently lost entry host; answered by `HoldersView`."""

    node: NodeId


class ReadMembers(Message):
    """Asks any control host for its view of the control group."""


class ChangeControl(Message):
    """Adds or removes one control host; answered by `ControlMembers`.

    Attributes
    ----------
    add : NodeId or None
        Control host to add; it runs with an empty data folder.
    remove : NodeId or None
        Control host to remove from the group.
    """

    add: NodeId | None = None
    remove: NodeId | None = None


class ReplaceControl(Message):
    """Makes the receiver the only member of a group that lost its majority.

    Data that only the lost hosts had is lost.

    Attributes
    ----------
    node : NodeId
        The receiver; any other host that gets the message refuses it.
    """

    node: NodeId


class ControlMembers(Message):
    """The control group as known to the host that answers.

    Attributes
    ----------
    voters, learners : tuple of NodeId
        Its voting and non-voting members.
    leader : NodeId or None
        The leader, if known.
    generation : int
        Number of times the group was replaced.
    term : int
        The election term.
    """

    voters: tuple[NodeId, ...]
    learners: tuple[NodeId, ...]
    leader: NodeId | None
    generation: int
    term: int


class ReadTraffic(Message):
    """Asks any process for the traffic on its links; see `TrafficView`."""


class TrafficView(Message):
    """Payload bytes on all links of a process since its start."""

    sent: int
    received: int
