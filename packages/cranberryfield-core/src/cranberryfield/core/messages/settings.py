"""Messages that carry settings from control hosts to all nodes."""

from cranberryfield.core.ids import ChangeId, NodeId, Revision
from cranberryfield.core.messages.base import Message, NestedRecord
from cranberryfield.core.messages.commands import LevelEdit
from cranberryfield.core.settings.schema import SettingValue
from cranberryfield.core.settings.tree import LevelState

__all__ = [
    "AskPeerSettings",
    "FollowSettings",
    "SettingDifference",
    "SettingsAck",
    "SettingsChange",
    "SettingsDelta",
    "SettingsSnapshot",
]


class FollowSettings(Message):
    """Asks a control host for all changes after `revision`.

    Attributes
    ----------
    revision : Revision
        What the asking node has in force.
    slice_of : Revision
        Revision of the answer that is being fetched in slices; 0 for a new one.
    after : str
        Last level of the slice before; empty for the first.
    """

    revision: Revision
    slice_of: Revision = Revision(0)
    after: str = ""


class AskPeerSettings(Message):
    """Asks another entry host for settings newer than `revision`.

    The attributes are those of `FollowSettings`.
    """

    revision: Revision
    slice_of: Revision = Revision(0)
    after: str = ""


class SettingsSnapshot(Message):
    """What changed since a revision, whole or in slices.

    Attributes
    ----------
    revision : Revision
        The sender's committed revision, or that of `slice_of`.
    levels : dict
        Levels that differ from the tree at `base`, as far as this slice goes.
    base : Revision
        Revision to which the levels apply; 0 if they are the whole tree.
    removed : tuple of str
        Levels of the tree at `base` that are gone.
    next_after : str or None
        Where the next slice begins; None for the last.
    age_ms : int or None
        How long ago, in milliseconds, the leader of the control group was
        known to have no newer revision; None if that is not known.
    leader : NodeId or None
        The control group's leader, if the sender knows it.
    generation : int
        Counts how often the control group was replaced.
    hosts : int
        Number of entry hosts that must have every change; 0 if not known.
    """

    revision: Revision
    levels: dict[str, LevelState]
    base: Revision = Revision(0)
    removed: tuple[str, ...] = ()
    next_after: str | None = None
    age_ms: int | None = None
    leader: NodeId | None = None
    generation: int = 0
    hosts: int = 0


class SettingsDelta(Message):
    """The levels that changed between two revisions.

    Attributes
    ----------
    base : Revision
        Revision to which the delta applies.
    revision : Revision
        Revision after it.
    levels : dict
        New states of the changed levels.
    removed : tuple of str
        Levels that are gone.
    """

    base: Revision
    revision: Revision
    levels: dict[str, LevelState]
    removed: tuple[str, ...] = ()


class SettingsAck(Message):
    """Tells the sender of a delta that `revision` is in force."""

    revision: Revision


class SettingsChange(NestedRecord):
    """One accepted change, for the history.

    Attributes
    ----------
    revision : Revision
        Revision of the tree after it.
    change_id : ChangeId
        The operator's name for it.
    author : str
        Who asked.
    edits : tuple of LevelEdit
        What it did.
    before : dict
        By level, the values that it replaced or removed.
    """

    revision: Revision
    change_id: ChangeId
    author: str
    edits: tuple[LevelEdit, ...]
    before: dict[str, dict[str, SettingValue]] = {}


class SettingDifference(NestedRecord):
    """One setting that differs between two revisions.

    Attributes
    ----------
    level, name : str
        The setting.
    set_before, set_after : bool
        Whether it stood at the level.
    before, after : SettingValue
        Its values; None where it did not stand.
    """

    level: str
    name: str
    set_before: bool
    before: SettingValue
    set_after: bool
    after: SettingValue
