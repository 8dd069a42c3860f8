"""Capacity planning: host mix, host starts and scheduling of weight loads."""

from cranberryfield.control.capacity.mix import HostMix, HostOffer, cheapest_mix
from cranberryfield.control.capacity.starts import (
    OfferState,
    after_refusal,
    after_start,
    next_starts,
)
from cranberryfield.control.capacity.weight_loads import (
    WeightLoad,
    WeightStoreState,
    due_weight_loads,
)

__all__ = [
    "HostMix",
    "HostOffer",
    "OfferState",
    "WeightLoad",
    "WeightStoreState",
    "after_refusal",
    "after_start",
    "cheapest_mix",
    "due_weight_loads",
    "next_starts",
]
