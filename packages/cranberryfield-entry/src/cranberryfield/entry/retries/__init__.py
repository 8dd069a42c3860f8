"""Retry budget of each service, and retry delays for refused callers."""

from cranberryfield.entry.retries.ratio_budget import (
    RetryBudgetSection,
    credit_first_attempt,
    spend_retry,
)
from cranberryfield.entry.retries.retry_after import jittered_retry_after_s

__all__ = [
    "RetryBudgetSection",
    "credit_first_attempt",
    "jittered_retry_after_s",
    "spend_retry",
]
