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
    "RaiseFeatureLevel",
    "RecordHosts",
    "Refused",
    "SettingsAccepted",
]


class Noop(Message):
    """First entry of a new leader; committing it commits all earlier entries."""


class LevelEdit(NestedRecord):
    """Edit of one settings level within a change.

    Attributes
    ----------
    level : str
        Name of the level.
    expected_revision : int or None
        Revision that the level must have; 0 if the level must not exist; None
        to skip the check.
    set_values : dict
        Values to set, by setting name.
    unset : tuple of str
        Names of the settings to remove.
    """

    level: str
    expected_revision: int | None
    set_values: dict[str, SettingValue]
    unset: tuple[str, ...] = ()


class ChangeSettings(Message):
    """Changes one or more settings levels atomically.

    Attributes
    ----------
    change_id : ChangeId
        A command resent with the same id returns the first result.
    author : str
        Author of the change, for the history.
    edits : tuple of LevelEdit
        The edits, one for each level.
    """

    change_id: ChangeId
    author: str
    edits: tuple[LevelEdit, ...]


class SettingsAccepted(Message):
    """Result of a `ChangeSettings` that took effect."""

    revision: Revision


class AdoptSettings(Message):
    """Restores a tree that nodes still have but a replaced control group lost.

    Attributes
    ----------
    revision : Revision
        Revision of the tree; no effect unless higher than the group's.
    levels : dict
        The whole tree.
    """

    revision: Revision
    levels: dict[str, LevelState]


class RecordHosts(Message):
    """Records which entry hosts must have every settings change.

    Attributes
    ----------
    added, removed : tuple of NodeId
        Hosts that started to follow the settings, and hosts that are
        permanently gone.
    """

    added: tuple[NodeId, ...]
    removed: tuple[NodeId, ...] = ()


class RaiseFeatureLevel(Message):
    """Raises the feature level of the group; a level that is not higher has no effect.

    Attributes
    ----------
    level : int
        `FeatureLevel` that all control hosts have said they understand.
    """

    level: int


class Refused(Message):
    """Result of a command that was refused and changed nothing.

    Attributes
    ----------
    kind : str
        Value of the `ErrorKind`.
    detail : str
        Human-readable explanation in one sentence.
    """

    kind: str
    detail: str


class Propose(Message):
    """Asks a control host to append a command to the replicated log."""

    command: bytes


class ProposalRedirected(Message):
    """Redirects a request from a control host that is not the leader.

    Attributes
    ----------
    leader : NodeId or None
        The leader, if known.
    """

    leader: NodeId | None
