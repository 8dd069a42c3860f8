"""Capacity planning: host mix, host starts and scheduling of weight loads."""

from cranberryfield.control.capacity.loads import LoadRate, WeightLoad, due_loads
from cranberryfield.control.capacity.mix import Mix, Offer, cheapest_mix
from cranberryfield.control.capacity.starts import (
    OfferState,
    next_starts,
    note_refusal,
    note_start,
)

__all__ = [
    "LoadRate",
    "Mix",
    "Offer",
    "OfferState",
    "WeightLoad",
    "cheapest_mix",
    "due_loads",
    "next_starts",
    "note_refusal",
    "note_start",
]
