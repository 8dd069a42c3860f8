"""Queries over the accepted changes: history, difference of two revisions."""

import msgspec

from cranberryfield.control.settings.machine import SettingsState
from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.ids import Revision
from cranberryfield.core.messages.commands import LevelEdit
from cranberryfield.core.messages.settings import SettingDifference, SettingsChange

__all__ = ["difference", "history"]

DEFAULT_LIMIT = 50


def history(
    state: SettingsState, level: str | None = None, limit: int = DEFAULT_LIMIT
) -> list[SettingsChange]:
    """Return the latest accepted changes, newest first.

    Parameters
    ----------
    state : SettingsState
        The replicated settings.
    level : str, optional
        Level to which changes, and the edits in them, are restricted.
    limit : int
        Highest number of changes to return.

    Returns
    -------
    list of SettingsChange
        The changes, with the matching edits.

    Examples
    --------
    >>> from cranberryfield.control.settings import apply_change
    >>> from cranberryfield.core.messages.commands import ChangeSettings
    >>> state = SettingsState()
    >>> for number in (64, 32):
    ...     edit = LevelEdit("system", None, {"queue_limit": number})
    ...     accepted = apply_change(state, ChangeSettings(str(number), "ana", (edit,)))
    >>> [(change.revision, change.change_id) for change in history(state, "system")]
    [(2, '32'), (1, '64')]
    >>> history(state, "service/archives")
    []
    """
    found = []
    for change in reversed(state.changes.values()):
        edits = _edits_of(change, level)
        if edits and len(found) < limit:
            found.append(msgspec.structs.replace(change, edits=edits))
    return found


def _edits_of(change: SettingsChange, level: str | None) -> tuple[LevelEdit, ...]:
    return tuple(edit for edit in change.edits if level in (None, edit.level))


def difference(
    state: SettingsState, first: Revision, last: Revision
) -> list[SettingDifference]:
    """Return the settings that differ between two revisions of the tree.

    Parameters
    ----------
    state : SettingsState
        The replicated settings.
    first, last : Revision
        The older and the newer revision.

    Returns
    -------
    list of SettingDifference
        One for each setting whose value differs, by level and name.

    Raises
    ------
    ControlError
        Of kind ``unknown_path`` if some of the changes between the two
        revisions are no longer retained, or a revision does not exist.

    Examples
    --------
    >>> from cranberryfield.control.settings import apply_change
    >>> from cranberryfield.core.messages.commands import ChangeSettings
    >>> state = SettingsState()
    >>> for number in (64, 32):
    ...     edit = LevelEdit("system", None, {"queue_limit": number})
    ...     accepted = apply_change(state, ChangeSettings(str(number), "ana", (edit,)))
    >>> [(one.name, one.before, one.after) for one in difference(state, 1, 2)]
    [('queue_limit', 64, 32)]
    """
    between = [one for one in state.changes.values() if first < one.revision <= last]
    if not 0 <= first <= last <= state.tree.revision or len(between) != last - first:
        raise ControlError(
            ErrorKind.UNKNOWN_PATH,
            f"the changes from revision {first} to {last} are not all retained",
        )
    before: dict[tuple[str, str], SettingDifference] = {}
    for change in between:
        for edit in change.edits:
            for name, value in _values_after(edit).items():
                old = change.before.get(edit.level, {})
                place = (edit.level, name)
                known = before.get(place) or SettingDifference(
                    edit.level, name, name in old, old.get(name), False, None
                )
                is_set = name not in edit.unset
                before[place] = msgspec.structs.replace(
                    known, set_after=is_set, after=value
                )
    return [one for _, one in sorted(before.items()) if _differs(one)]


def _values_after(edit: LevelEdit) -> dict:
    return {**edit.set_values, **dict.fromkeys(edit.unset)}


def _differs(one: SettingDifference) -> bool:
    return (one.set_before, one.before) != (one.set_after, one.after)
