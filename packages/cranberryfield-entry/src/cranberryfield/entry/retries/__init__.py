"""Retry budget of each service, and retry delays for refused callers."""

from cranberryfield.entry.retries.budget import (
    RetrySection,
    note_first_attempt,
    take_retry,
)
from cranberryfield.entry.retries.spread import spread_retry_after_s

__all__ = [
    "RetrySection",
    "note_first_attempt",
    "spread_retry_after_s",
    "take_retry",
]
