"""Chooses the upstream of each attempt."""

from cranberryfield.entry.routing.choose import DispatchSection, choose_upstream
from cranberryfield.entry.routing.chooser import Chooser, make_chooser

__all__ = ["Chooser", "DispatchSection", "choose_upstream", "make_chooser"]
