"""Quarantine of requests that crash the upstreams that run them.

Both interfaces decide with this package which requests are refused. Hosts of a
cluster keep their suspects the same with `SuspectExchange`; entry hosts of the
trial interface send crashes to each other and reserve upstreams for suspects.
"""

from cranberryfield.entry.quarantine.exchange import SuspectExchange
from cranberryfield.entry.quarantine.fingerprint import (
    body_digest,
    request_fingerprint,
)
from cranberryfield.entry.quarantine.reservations import ReservationSection
from cranberryfield.entry.quarantine.reserver import (
    UpstreamReserver,
    make_cluster_reserver,
)
from cranberryfield.entry.quarantine.section import (
    Crash,
    QuarantineSection,
    count_crashes,
    is_quarantined,
    must_be_isolated,
    quarantine_ends_at,
    record_crash,
)

__all__ = [
    "Crash",
    "QuarantineSection",
    "ReservationSection",
    "SuspectExchange",
    "UpstreamReserver",
    "body_digest",
    "count_crashes",
    "is_quarantined",
    "make_cluster_reserver",
    "must_be_isolated",
    "quarantine_ends_at",
    "record_crash",
    "request_fingerprint",
]
