"""State machine that replicates the settings tree and its latest changes."""

import msgspec

from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.ids import ChangeId, Revision
from cranberryfield.core.messages.commands import (
    AdoptSettings,
    ChangeSettings,
    LevelEdit,
    Refused,
    SettingsAccepted,
)
from cranberryfield.core.messages.settings import SettingsChange
from cranberryfield.core.settings import (
    LevelState,
    SettingsTree,
    SettingValue,
    check_tree,
    check_value,
    parse_level,
)

__all__ = ["SettingsState", "adopt_tree", "apply_change"]

RETAINED_CHANGES = 4_000


class SettingsState(msgspec.Struct, array_like=True):
    """Settings tree and the latest changes that were accepted.

    Attributes
    ----------
    tree : SettingsTree
        The committed tree.
    changes : dict
        Accepted changes by id, oldest first; the latest `RETAINED_CHANGES`.
    """

    tree: SettingsTree = msgspec.field(default_factory=SettingsTree)
    changes: dict[ChangeId, SettingsChange] = msgspec.field(default_factory=dict)


def apply_change(
    state: SettingsState, change: ChangeSettings
) -> SettingsAccepted | Refused:
    """Check a committed change, then apply it as a whole or refuse it.

    Parameters
    ----------
    state : SettingsState
        Changed in place if the change is accepted.
    change : ChangeSettings
        The change.

    Returns
    -------
    SettingsAccepted or Refused
        The new revision, or the reason of the refusal. A resend of an accepted
        change gives the same result again.
    """
    known = state.changes.get(change.change_id)
    if known is not None:
        if known.edits != change.edits:
            return Refused(
                ErrorKind.KEY_REUSED.value,
                f"change {change.change_id} was accepted with other edits",
            )
        return SettingsAccepted(known.revision)
    revision = Revision(state.tree.revision + 1)
    try:
        tree = _apply_edits(state.tree, change.edits, revision)
    except ControlError as error:
        return Refused(error.kind.value, _describe_conflict(state, error, change))
    changed = frozenset(edit.level for edit in change.edits)
    faults = check_tree(tree, changed)
    if faults:
        return Refused(ErrorKind.INVALID_SETTING.value, "; ".join(faults))
    state.changes[change.change_id] = SettingsChange(
        revision,
        change.change_id,
        change.author,
        change.edits,
        _replaced_values(state.tree, change.edits),
    )
    state.tree = tree
    if len(state.changes) > RETAINED_CHANGES:
        del state.changes[next(iter(state.changes))]
    return SettingsAccepted(revision)


def adopt_tree(
    state: SettingsState, command: AdoptSettings
) -> SettingsAccepted | Refused:
    """Adopt a newer tree that a replaced group lost and an entry host still has.

    Parameters
    ----------
    state : SettingsState
        Changed in place.
    command : AdoptSettings
        The tree and its revision.

    Returns
    -------
    SettingsAccepted or Refused
        The adopted revision; refused if the present tree is at least as new.
    """
    if command.revision <= state.tree.revision:
        return Refused(
            ErrorKind.STALE_REVISION.value, "the group's tree is at least as new"
        )
    state.tree = SettingsTree(command.revision, command.levels)
    return SettingsAccepted(command.revision)


def _describe_conflict(
    state: SettingsState, error: ControlError, change: ChangeSettings
) -> str:
    if error.kind is not ErrorKind.STALE_REVISION:
        return error.detail
    levels = {edit.level for edit in change.edits}
    for accepted in reversed(state.changes.values()):
        edits = [edit for edit in accepted.edits if edit.level in levels]
        if edits:
            values = {edit.level: edit.set_values for edit in edits}
            return (
                f"{error.detail}; changed by {accepted.author} in "
                f"{accepted.change_id} (revision {accepted.revision}): {values}"
            )
    return error.detail


def _replaced_values(
    tree: SettingsTree, edits: tuple[LevelEdit, ...]
) -> dict[str, dict[str, SettingValue]]:
    replaced: dict[str, dict[str, SettingValue]] = {}
    for edit in edits:
        level = tree.levels.get(edit.level)
        old = level.values if level is not None else {}
        names = (*edit.set_values, *edit.unset)
        values = replaced.setdefault(edit.level, {})
        values.update({name: old[name] for name in names if name in old})
    return replaced


def _apply_edits(
    tree: SettingsTree, edits: tuple[LevelEdit, ...], revision: Revision
) -> SettingsTree:
    levels = dict(tree.levels)
    for edit in edits:
        level = parse_level(edit.level)
        before = levels.get(edit.level, LevelState(0, {}))
        if edit.expected_revision not in (None, before.revision):
            raise ControlError(
                ErrorKind.STALE_REVISION,
                f"{edit.level} is at revision {before.revision}, "
                f"not {edit.expected_revision}",
            )
        for name, value in edit.set_values.items():
            check_value(level.kind, name, value)
        values = {**before.values, **edit.set_values}
        for name in edit.unset:
            values.pop(name, None)
        levels[edit.level] = LevelState(revision, values)
        if not values:
            del levels[edit.level]
    return SettingsTree(revision, levels)
