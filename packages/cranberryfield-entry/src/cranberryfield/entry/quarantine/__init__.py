"""Quarantine of requests that crash the upstreams that run them.

Both interfaces decide with this package which requests are refused.
"""

from cranberryfield.entry.quarantine.fingerprint import (
    body_digest,
    request_fingerprint,
)
from cranberryfield.entry.quarantine.reservations import ReservationSection
from cranberryfield.entry.quarantine.section import (
    Crash,
    QuarantineSection,
    count_crashes,
    is_quarantined,
    record_crash,
)

__all__ = [
    "Crash",
    "QuarantineSection",
    "ReservationSection",
    "body_digest",
    "count_crashes",
    "is_quarantined",
    "record_crash",
    "request_fingerprint",
]
