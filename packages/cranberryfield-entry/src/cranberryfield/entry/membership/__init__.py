"""Which upstreams there are, as announced here or heard from other hosts."""

from cranberryfield.entry.membership.announcements import (
    Announcement,
    Leave,
    accept_announcement,
    accept_leave,
)
from cranberryfield.entry.membership.section import (
    KnownUpstream,
    UpstreamsSection,
    fresh_upstreams,
    merge_record,
)

__all__ = [
    "Announcement",
    "KnownUpstream",
    "Leave",
    "UpstreamsSection",
    "accept_announcement",
    "accept_leave",
    "fresh_upstreams",
    "merge_record",
]
