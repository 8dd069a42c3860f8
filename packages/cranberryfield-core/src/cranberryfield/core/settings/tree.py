"""The settings tree, the resulting effective settings and their validation."""

from dataclasses import dataclass

import msgspec

from cranberryfield.core.ids import Revision, ServiceName, UpstreamId, WorkspaceId
from cranberryfield.core.settings.levels import Level, LevelKind, parse_level
from cranberryfield.core.settings.schema import EffectiveSettings, SettingValue

__all__ = [
    "EffectiveValue",
    "LevelState",
    "SettingsTree",
    "check_tree",
    "effective_settings",
    "explain_settings",
    "upstream_is_drained",
]


class LevelState(msgspec.Struct, array_like=True):
    """Settings that are set at one level.

    Attributes
    ----------
    revision : int
        Revision of the tree at which the level last changed.
    values : dict
        Values by setting name.
    """

    revision: int
    values: dict[str, SettingValue]


class SettingsTree(msgspec.Struct, array_like=True):
    """All levels by name and the revision of the tree.

    Examples
    --------
    >>> tree = SettingsTree(3, {"system": LevelState(3, {"queue_limit": 9})})
    >>> effective_settings(tree, None, None).queue_limit
    9
    """

    revision: Revision = Revision(0)
    levels: dict[str, LevelState] = msgspec.field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """An effective value and the level that sets it, or ``default``."""

    name: str
    value: SettingValue
    level: str


def _inheritance_chain(
    workspace: WorkspaceId | None, service: ServiceName | None
) -> list[str]:
    chain = ["system"]
    if service is not None:
        chain.append(str(Level(LevelKind.SERVICE, service=service)))
    if workspace is not None:
        chain.append(str(Level(LevelKind.WORKSPACE, workspace=workspace)))
    if workspace is not None and service is not None:
        level = Level(LevelKind.WORKSPACE_SERVICE, workspace, service)
        chain.append(str(level))
    return chain


def _merge_levels(
    tree: SettingsTree, workspace: WorkspaceId | None, service: ServiceName | None
) -> dict[str, SettingValue]:
    merged: dict[str, SettingValue] = {}
    for name in _inheritance_chain(workspace, service):
        level = tree.levels.get(name)
        if level is not None:
            merged.update(level.values)
    return merged


def effective_settings(
    tree: SettingsTree, workspace: WorkspaceId | None, service: ServiceName | None
) -> EffectiveSettings:
    """Return the settings in force for a workspace at a service.

    Parameters
    ----------
    tree : SettingsTree
        A valid tree.
    workspace : WorkspaceId or None
        None omits the workspace's levels.
    service : ServiceName or None
        None omits the service's levels.

    Returns
    -------
    EffectiveSettings
        Each value from the most specific level that sets it.
    """
    return msgspec.convert(_merge_levels(tree, workspace, service), EffectiveSettings)


def explain_settings(
    tree: SettingsTree, workspace: WorkspaceId | None, service: ServiceName | None
) -> list[EffectiveValue]:
    """Return every effective value together with the level that sets it.

    Parameters
    ----------
    tree : SettingsTree
        A valid tree.
    workspace, service : str or None
        As for `effective_settings`.

    Returns
    -------
    list of EffectiveValue
        In the order of the schema.
    """
    effective = msgspec.to_builtins(effective_settings(tree, workspace, service))
    chain = _inheritance_chain(workspace, service)
    rows = []
    for name, value in effective.items():
        setting_levels = [
            level
            for level in chain
            if level in tree.levels and name in tree.levels[level].values
        ]
        rows.append(
            EffectiveValue(
                name, value, setting_levels[-1] if setting_levels else "default"
            )
        )
    return rows


def upstream_is_drained(tree: SettingsTree, upstream: UpstreamId) -> bool:
    """Return whether an upstream is drained.

    Parameters
    ----------
    tree : SettingsTree
        The tree in force.
    upstream : UpstreamId
        The upstream.

    Returns
    -------
    bool
        The upstream's ``drained`` setting.
    """
    level = tree.levels.get(str(Level(LevelKind.UPSTREAM, upstream=upstream)))
    return bool(level is not None and level.values.get("drained", False))


def check_tree(tree: SettingsTree, changed: frozenset[str] | None = None) -> list[str]:
    """Find missing or inconsistent settings in a whole tree.

    Parameters
    ----------
    tree : SettingsTree
        A tree in which each individual value conforms to the schema.
    changed : frozenset of str, optional
        Levels in which it differs from a valid tree; only these and the levels
        that inherit from them are checked.

    Returns
    -------
    list of str
        One message per problem; empty for a valid tree.

    Examples
    --------
    >>> check_tree(
    ...     SettingsTree(1, {"workspace/w/service/s": LevelState(1, {"share": 2.0})})
    ... )
    ['workspace/w/service/s: the service s has no level', \
'workspace/w/service/s: the workspace w has no level']
    """
    problems = []
    for name in tree.levels:
        if changed is not None and not _inherits(name, changed):
            continue
        level = parse_level(name)
        if level.kind is LevelKind.WORKSPACE_SERVICE:
            if f"service/{level.service}" not in tree.levels:
                problems.append(f"{name}: the service {level.service} has no level")
            if f"workspace/{level.workspace}" not in tree.levels:
                problems.append(f"{name}: the workspace {level.workspace} has no level")
        if level.kind is LevelKind.SERVICE and "kind" not in tree.levels[name].values:
            problems.append(f"{name}: a service needs the setting kind")
        if level.kind is LevelKind.UPSTREAM:
            continue
        effective = effective_settings(tree, level.workspace, level.service)
        if effective.default_priority not in effective.priority_classes:
            problems.append(
                f"{name}: default_priority {effective.default_priority!r} "
                "is not among priority_classes"
            )
    return problems


def _inherits(name: str, changed: frozenset[str]) -> bool:
    """Return whether a level was changed or inherits from a changed one."""
    if name in changed or "system" in changed:
        return True
    workspace, separator, service = name.partition("/service/")
    return bool(separator) and (workspace in changed or f"service/{service}" in changed)
