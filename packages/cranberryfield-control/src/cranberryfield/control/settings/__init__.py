"""The replicated settings tree."""

from cranberryfield.control.settings.history import difference, history
from cranberryfield.control.settings.machine import (
    SettingsChange,
    SettingsState,
    apply_change,
)

__all__ = ["SettingsChange", "SettingsState", "apply_change", "difference", "history"]
