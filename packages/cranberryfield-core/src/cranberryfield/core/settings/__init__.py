"""The settings tree: levels, schema, inheritance and validation."""

from cranberryfield.core.settings.levels import Level, LevelKind, parse_level
from cranberryfield.core.settings.schema import (
    EffectiveSettings,
    ServiceKind,
    SettingValue,
    check_value,
)
from cranberryfield.core.settings.tree import (
    LevelState,
    SettingsTree,
    check_tree,
    effective_settings,
    explain_settings,
)

__all__ = [
    "EffectiveSettings",
    "Level",
    "LevelKind",
    "LevelState",
    "ServiceKind",
    "SettingValue",
    "SettingsTree",
    "check_tree",
    "check_value",
    "effective_settings",
    "explain_settings",
    "parse_level",
]
