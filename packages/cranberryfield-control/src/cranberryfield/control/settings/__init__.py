"""The replicated settings tree and the history of its changes."""

from cranberryfield.control.settings.history import diff_revisions, latest_changes
from cranberryfield.control.settings.machine import (
    SettingsState,
    adopt_tree,
    apply_change,
)

__all__ = [
    "SettingsState",
    "adopt_tree",
    "apply_change",
    "diff_revisions",
    "latest_changes",
]
