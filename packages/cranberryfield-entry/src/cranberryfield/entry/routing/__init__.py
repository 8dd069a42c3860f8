"""Chooses the upstream of each attempt."""

from cranberryfield.entry.routing.choose import DispatchSection, choose_upstream
from cranberryfield.entry.routing.chooser import Chooser, make_chooser
from cranberryfield.entry.routing.observe import AttemptObserver, make_observer

__all__ = [
    "AttemptObserver",
    "Chooser",
    "DispatchSection",
    "choose_upstream",
    "make_chooser",
    "make_observer",
]
