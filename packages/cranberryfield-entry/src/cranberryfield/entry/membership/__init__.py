"""Gossip-based membership of upstreams and entry hosts."""

from cranberryfield.entry.membership.announcements import (
    Announcement,
    LeaseView,
    Leave,
)
from cranberryfield.entry.membership.peers import PeersSection, live_peers
from cranberryfield.entry.membership.section import (
    KnownUpstream,
    UpstreamsSection,
    fresh_upstreams,
    merge_record,
    usable_upstreams,
)

__all__ = [
    "Announcement",
    "KnownUpstream",
    "LeaseView",
    "Leave",
    "PeersSection",
    "UpstreamsSection",
    "fresh_upstreams",
    "live_peers",
    "merge_record",
    "usable_upstreams",
]
