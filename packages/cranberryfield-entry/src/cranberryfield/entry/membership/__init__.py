"""Gossip-based membership of upstreams and entry hosts."""

from cranberryfield.entry.membership.announcements import (
    Announcement,
    LeaseView,
    LeaveRequest,
)
from cranberryfield.entry.membership.peers import PeersSection, live_peers
from cranberryfield.entry.membership.upstreams import (
    KnownUpstream,
    UpstreamsSection,
    leased_upstreams,
    merge_upstream,
    preferred_upstreams,
)

__all__ = [
    "Announcement",
    "KnownUpstream",
    "LeaseView",
    "LeaveRequest",
    "PeersSection",
    "UpstreamsSection",
    "leased_upstreams",
    "live_peers",
    "merge_upstream",
    "preferred_upstreams",
]
