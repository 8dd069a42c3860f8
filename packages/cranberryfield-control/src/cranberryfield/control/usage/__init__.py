"""Usage of windows, settled once in the replicated log."""

from cranberryfield.control.usage.machine import (
    UsageState,
    apply_usage_command,
    next_window,
)

__all__ = ["UsageState", "apply_usage_command", "next_window"]
