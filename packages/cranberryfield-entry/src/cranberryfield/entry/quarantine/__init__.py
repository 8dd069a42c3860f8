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
from cranberryfield.entry.quarantine.prompt_parts import (
    RUN_SETTLED_S,
    crashing_part,
    digest_prompt_parts,
    part_crashes,
    refused_until,
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
    "RUN_SETTLED_S",
    "Crash",
    "QuarantineSection",
    "ReservationSection",
    "SuspectExchange",
    "UpstreamReserver",
    "body_digest",
    "count_crashes",
    "crashing_part",
    "digest_prompt_parts",
    "is_quarantined",
    "make_cluster_reserver",
    "must_be_isolated",
    "part_crashes",
    "quarantine_ends_at",
    "record_crash",
    "refused_until",
    "request_fingerprint",
]
