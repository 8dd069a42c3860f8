"""Selects the upstream of each attempt."""

from cranberryfield.entry.routing.choose import DispatchSection, choose_upstream
from cranberryfield.entry.routing.chooser import Chooser, make_chooser
from cranberryfield.entry.routing.observe import (
    AttemptObserver,
    make_observer,
)
from cranberryfield.entry.routing.prefix import PrefixSection

__all__ = [
    "AttemptObserver",
    "Chooser",
    "DispatchSection",
    "PrefixSection",
    "choose_upstream",
    "make_chooser",
    "make_observer",
]
