"""Messages that carry settings from control hosts to all nodes."""

from cranberryfield.core.ids import Revision
from cranberryfield.core.messages.base import Message, NestedRecord
from cranberryfield.core.settings.schema import SettingValue
from cranberryfield.core.settings.tree import LevelState

__all__ = [
    "FollowSettings",
    "SettingDifference",
    "SettingsDelta",
    "SettingsSnapshot",
]


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


class FollowSettings(Message):
    """Asks for all changes after `revision`, now and in the future."""

    revision: Revision


class SettingsSnapshot(Message):
    """The whole committed tree at `revision`."""

    revision: Revision
    levels: dict[str, LevelState]


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
