"""Messages that distribute settings from control hosts to all nodes."""

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
    """Requests all changes after `revision` from a control host.

    Attributes
    ----------
    revision : Revision
        Revision in force at the requesting node.
    slice_of : Revision
        Revision of the snapshot that is being fetched in slices; 0 to start a
        new one.
    after : str
        Last level of the previous slice; empty for the first.
    """

    revision: Revision
    slice_of: Revision = Revision(0)
    after: str = ""


class AskPeerSettings(Message):
    """Requests settings newer than `revision` from another entry host.

    The attributes are those of `FollowSettings`.
    """

    revision: Revision
    slice_of: Revision = Revision(0)
    after: str = ""


class SettingsSnapshot(Message):
    """Settings that changed since a revision, complete or as one slice.

    Attributes
    ----------
    revision : Revision
        The sender's committed revision, or the requested `slice_of`.
    levels : dict
        Levels in this slice that differ from the tree at `base`.
    base : Revision
        Revision to which the levels apply; 0 if they are the whole tree.
    removed : tuple of str
        Levels of the tree at `base` that no longer exist.
    next_after : str or None
        Value of `after` for the next slice; None in the last slice.
    age_ms : int or None
        Time in milliseconds since the leader of the control group was known to
        have no newer revision; None if not known.
    leader : NodeId or None
        The control group's leader, if the sender knows it.
    generation : int
        Number of times the control group was replaced.
    hosts : int
        Number of entry hosts that must have every change; 0 if unknown.
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
        Revision after the delta is applied.
    levels : dict
        New states of the changed levels.
    removed : tuple of str
        Levels that no longer exist.
    """

    base: Revision
    revision: Revision
    levels: dict[str, LevelState]
    removed: tuple[str, ...] = ()


class SettingsAck(Message):
    """Acknowledges to the sender of a delta that `revision` is in force."""

    revision: Revision


class SettingsChange(NestedRecord):
    """One accepted change in the history.

    Attributes
    ----------
    revision : Revision
        Revision of the tree after the change.
    change_id : ChangeId
        Id that the operator gave to the change.
    author : str
        Author of the change.
    edits : tuple of LevelEdit
        Edits that the change made.
    before : dict
        Values that the change replaced or removed, by level.
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
        Whether the level set it in each revision.
    before, after : SettingValue
        Its values; None where the level did not set it.
    """

    level: str
    name: str
    set_before: bool
    before: SettingValue
    set_after: bool
    after: SettingValue
