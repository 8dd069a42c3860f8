"""Limits on requests that hold over all entry hosts together."""

from cranberryfield.entry.limits.shared import SharedLimits

__all__ = ["SharedLimits"]
