"""Bounds retries and tells refused callers when to come back."""

from cranberryfield.entry.retries.spread import spread_retry_after_s

__all__ = ["spread_retry_after_s"]
