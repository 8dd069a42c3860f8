"""Messages that carry settings from control hosts to all nodes."""

from cranberryfield.core.ids import Revision
from cranberryfield.core.messages.base import Message
from cranberryfield.core.settings.tree import LevelState

__all__ = ["FollowSettings", "SettingsDelta", "SettingsSnapshot"]


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
