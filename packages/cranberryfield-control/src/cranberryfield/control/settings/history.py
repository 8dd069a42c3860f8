"""Queries over the accepted changes: history, difference of two revisions."""

import msgspec

from cranberryfield.control.settings.machine import SettingsState
from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.ids import Revision
from cranberryfield.core.messages.commands import LevelEdit
from cranberryfield.core.messages.settings import SettingDifference, SettingsChange

__all__ = ["diff_revisions", "latest_changes"]

DEFAULT_MAX_CHANGES = 50


def latest_changes(
    state: SettingsState, level: str | None = None, limit: int = DEFAULT_MAX_CHANGES
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
    >>> [(one.revision, one.change_id) for one in latest_changes(state, "system")]
    [(2, '32'), (1, '64')]
    >>> latest_changes(state, "service/archives")
    []
    """
    found = []
    for change in reversed(state.changes.values()):
        edits = _edits_of_level(change, level)
        if edits and len(found) < limit:
            found.append(msgspec.structs.replace(change, edits=edits))
    return found


def _edits_of_level(change: SettingsChange, level: str | None) -> tuple[LevelEdit, ...]:
    return tuple(edit for edit in change.edits if level in (None, edit.level))


def diff_revisions(
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
    >>> [(one.name, one.before, one.after) for one in diff_revisions(state, 1, 2)]
    [('queue_limit', 64, 32)]
    """
    changes = [
        entry for entry in state.changes.values() if first < entry.revision <= last
    ]
    if not 0 <= first <= last <= state.tree.revision or len(changes) != last - first:
        raise ControlError(
            ErrorKind.UNKNOWN_PATH,
            f"the changes from revision {first} to {last} are not all retained, "
            "or do not exist",
        )
    differences: dict[tuple[str, str], SettingDifference] = {}
    for change in changes:
        for edit in change.edits:
            for name, value in _values_after(edit).items():
                old = change.before.get(edit.level, {})
                setting = (edit.level, name)
                difference = differences.get(setting) or SettingDifference(
                    edit.level, name, name in old, old.get(name), False, None
                )
                is_set = name not in edit.unset
                differences[setting] = msgspec.structs.replace(
                    difference, set_after=is_set, after=value
                )
    return [entry for _, entry in sorted(differences.items()) if _differs(entry)]


def _values_after(edit: LevelEdit) -> dict:
    return {**edit.set_values, **dict.fromkeys(edit.unset)}


def _differs(entry: SettingDifference) -> bool:
    return (entry.set_before, entry.before) != (entry.set_after, entry.after)
