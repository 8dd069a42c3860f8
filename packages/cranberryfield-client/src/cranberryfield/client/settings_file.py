"""Settings files: parsing, validation and comparison with the settings tree."""

from hashlib import sha256
from pathlib import Path

import msgspec

from cranberryfield.core.config import load_yaml
from cranberryfield.core.config.yaml_lines import Document, Problem, raise_problems
from cranberryfield.core.errors import ConfigError, ControlError, ErrorKind
from cranberryfield.core.operators.views import ChangeBody, EditBody, SettingsView
from cranberryfield.core.settings import (
    LevelState,
    SettingsTree,
    SettingValue,
    check_tree,
    check_value,
    parse_level,
)

__all__ = [
    "SettingsFileDifference",
    "build_change",
    "compare_levels",
    "read_settings_file",
]

CHANGE_ID_LENGTH = 32

#: Values of settings by level name and setting name.
LevelValues = dict[str, dict[str, SettingValue]]


class SettingsFileDifference(msgspec.Struct):
    """A setting whose value differs between a file and the settings tree.

    Attributes
    ----------
    level, setting : str
        Names of the level and the setting.
    now, wanted : object
        Value in the tree and value in the file; None if not set.
    """

    level: str
    setting: str
    now: SettingValue
    wanted: SettingValue


def read_settings_file(path: Path) -> LevelValues:
    """Read a settings file, which maps levels to values of settings.

    Parameters
    ----------
    path : pathlib.Path
        A YAML file.

    Returns
    -------
    dict
        Values by level name and setting name.

    Raises
    ------
    ConfigError
        With one line per problem: file, line, key and reason.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise ConfigError(ErrorKind.INVALID_CONFIG, f"{path}: {reason}") from error
    document = load_yaml(text, str(path))
    raise_problems(_find_problems(document))
    return document.data


def _find_problems(document: Document) -> list[Problem]:
    if not isinstance(document.data, dict) or not document.data:
        return [
            document.problem_at((), "must map levels, as service/NAME, to settings")
        ]
    problems = []
    for level, values in document.data.items():
        try:
            kind = parse_level(level).kind
        except ControlError as error:
            problems.append(document.problem_at((level,), error.detail))
            continue
        if not isinstance(values, dict) or not values:
            problems.append(
                document.problem_at((level,), "must map settings to values")
            )
            continue
        for name, value in values.items():
            try:
                check_value(kind, name, value)
            except ControlError as error:
                problems.append(document.problem_at((level, name), error.detail))
    return problems


def compare_levels(
    view: SettingsView, wanted: LevelValues, exact: bool
) -> list[SettingsFileDifference]:
    """List the differences between a settings file and the settings tree.

    Parameters
    ----------
    view : SettingsView
        Current settings tree.
    wanted : dict
        Values in the file by level name and setting name.
    exact : bool
        Whether to include settings that a level of the file has in the tree
        but not in the file.

    Returns
    -------
    list of SettingsFileDifference
        Differences in the order of the file.
    """
    current = {level.level: level.values for level in view.levels}
    differences = []
    for level, values in wanted.items():
        now = current.get(level, {})
        for name, value in values.items():
            if name not in now or now[name] != value:
                differences.append(
                    SettingsFileDifference(level, name, now.get(name), value)
                )
        if exact:
            differences += [
                SettingsFileDifference(level, name, value, None)
                for name, value in now.items()
                if name not in values
            ]
    return differences


def build_change(
    view: SettingsView,
    wanted: LevelValues,
    differences: list[SettingsFileDifference],
    author: str,
) -> ChangeBody:
    """Build a change that applies differences to the settings tree.

    Parameters
    ----------
    view : SettingsView
        Current settings tree.
    wanted : dict
        Values in the file by level name and setting name.
    differences : list of SettingsFileDifference
        Differences to apply; at least one.
    author : str
        Author of the change, recorded in the history.

    Returns
    -------
    ChangeBody
        Change that is accepted only if each level still has its revision in
        `view`. The change id is derived from the edits and these revisions:
        sending the change again has no second effect, and once a level has
        changed the same edits get another id.

    Raises
    ------
    ControlError
        Of kind ``invalid_setting`` if the resulting tree would be invalid.
    """
    revisions = {level.level: level.revision for level in view.levels}
    edits = []
    for level in dict.fromkeys(one.level for one in differences):
        changed = [one for one in differences if one.level == level]
        assigned = {one.setting for one in changed} & wanted[level].keys()
        edits.append(
            EditBody(
                level,
                revisions.get(level, 0),
                {name: wanted[level][name] for name in sorted(assigned)},
                tuple(sorted({one.setting for one in changed} - assigned)),
            )
        )
    _validate_resulting_tree(view, edits)
    digest = sha256(msgspec.json.encode(edits)).hexdigest()
    return ChangeBody(digest[:CHANGE_ID_LENGTH], tuple(edits), author)


def _validate_resulting_tree(view: SettingsView, edits: list[EditBody]) -> None:
    levels = {one.level: dict(one.values) for one in view.levels}
    for edit in edits:
        values = levels.setdefault(edit.level, {})
        values |= edit.set
        for name in edit.unset:
            values.pop(name, None)
        if not values:
            del levels[edit.level]
    tree = SettingsTree(
        view.revision,
        {level: LevelState(view.revision, values) for level, values in levels.items()},
    )
    problems = check_tree(tree)
    if problems:
        raise ControlError(ErrorKind.INVALID_SETTING, "; ".join(problems))
