"""Commands of the replicated log and their results."""

from cranberryfield.core.ids import ChangeId, NodeId, Revision
from cranberryfield.core.messages.base import Message, NestedRecord
from cranberryfield.core.settings.schema import SettingValue
from cranberryfield.core.settings.tree import LevelState

__all__ = [
    "AdoptSettings",
    "ChangeSettings",
    "LevelEdit",
    "Noop",
    "ProposalRedirected",
    "Propose",
    "RecordHosts",
    "Refused",
    "SettingsAccepted",
]


class Noop(Message):
    """First entry of a new leader; commits all before it."""


class LevelEdit(NestedRecord):
    """What a change does to one level.

    Attributes
    ----------
    level : str
        Name of the level.
    expected_revision : int or None
        Revision the level must have; 0 for a level that must not exist; None
        for any.
    set_values : dict
        Values to set.
    unset : tuple of str
        Values to remove.
    """

    level: str
    expected_revision: int | None
    set_values: dict[str, SettingValue]
    unset: tuple[str, ...] = ()


class ChangeSettings(Message):
    """Changes one or more levels together, or nothing.

    Attributes
    ----------
    change_id : ChangeId
        A resend under the same id gets the first result.
    author : str
        Who asked, for the history.
    edits : tuple of LevelEdit
        The changes.
    """

    change_id: ChangeId
    author: str
    edits: tuple[LevelEdit, ...]


class SettingsAccepted(Message):
    """Result of a `ChangeSettings` that took effect."""

    revision: Revision


class AdoptSettings(Message):
    """Takes over a tree that the nodes have and a replaced group lost.

    Attributes
    ----------
    revision : Revision
        Revision of the tree; without effect unless higher than the group's.
    levels : dict
        The whole tree.
    """

    revision: Revision
    levels: dict[str, LevelState]


class RecordHosts(Message):
    """Notes which entry hosts must have every settings change.

    Attributes
    ----------
    added, removed : tuple of NodeId
        Hosts that began to follow, and hosts that are gone for good.
    """

    added: tuple[NodeId, ...]
    removed: tuple[NodeId, ...] = ()


class Refused(Message):
    """Result of a command that changed nothing.

    Attributes
    ----------
    kind : str
        Value of the `ErrorKind`.
    detail : str
        One sentence for a person.
    """

    kind: str
    detail: str


class Propose(Message):
    """Asks a control host to put a command through the log."""

    command: bytes


class ProposalRedirected(Message):
    """The asked control host is not the leader; `leader` is, if known."""

    leader: NodeId | None
