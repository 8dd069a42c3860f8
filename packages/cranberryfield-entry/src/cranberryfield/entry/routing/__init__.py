"""Selects the upstream of each attempt."""

from cranberryfield.entry.routing.attempt_observer import (
    AttemptObserver,
    make_attempt_observer,
)
from cranberryfield.entry.routing.prefix_cache import PrefixSection
from cranberryfield.entry.routing.scoring import DispatchSection, choose_upstream
from cranberryfield.entry.routing.selector import (
    UpstreamSelector,
    make_upstream_selector,
)

__all__ = [
    "AttemptObserver",
    "DispatchSection",
    "PrefixSection",
    "UpstreamSelector",
    "choose_upstream",
    "make_attempt_observer",
    "make_upstream_selector",
]
