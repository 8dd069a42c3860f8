"""Replicated usage counts, fixed once for each time window."""

from cranberryfield.control.usage.machine import (
    UsageState,
    apply_usage_command,
    next_unreported_window,
)

__all__ = ["UsageState", "apply_usage_command", "next_unreported_window"]
