"""Cheapest spread of equal upstreams over data centres.

A faster form of `cheapest_mix` for offers of one machine class whose hosts all
have a capacity of 1. Its cost grows with the logarithm of the need.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from cranberryfield.core.ids import DataCentre

__all__ = [
    "PRICE_TOLERANCE",
    "CentreOffer",
    "Spread",
    "cheapest_spread",
    "max_covered_need",
]

#: Price differences up to this value are rounding errors.
PRICE_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class CentreOffer:
    """Upstreams that one data centre offers.

    Attributes
    ----------
    data_centre : DataCentre
        Data centre of the upstreams.
    price : float
        Price of one upstream.
    available : int
        Maximum number of upstreams.
    """

    data_centre: DataCentre
    price: float
    available: int


@dataclass(frozen=True, slots=True)
class Spread:
    """Number of upstreams in each data centre that has any.

    Attributes
    ----------
    counts : dict
        Upstreams by data centre.
    size : int
        Total number of upstreams.
    price : float
        Total price.
    """

    counts: dict[DataCentre, int]
    size: int
    price: float


def max_covered_need(offers: Sequence[CentreOffer]) -> int:
    """Return the largest need that the offers cover after any one loss.

    Examples
    --------
    >>> max_covered_need([CentreOffer("fann", 1.0, 4), CentreOffer("goree", 1.0, 3)])
    3
    >>> max_covered_need([])
    0
    """
    counts = [one.available for one in offers]
    return sum(counts) - max(counts, default=0)


def cheapest_spread(offers: Sequence[CentreOffer], need: int) -> Spread | None:
    """Return the cheapest spread that covers a need after losing any data centre.

    Parameters
    ----------
    offers : sequence of CentreOffer
        At most one offer for each data centre, the cheapest first.
    need : int
        Number of upstreams that must remain.

    Returns
    -------
    Spread or None
        The spread, or None if the offers do not suffice.

    Notes
    -----
    If no data centre has more than `L` upstreams and there are ``need + L`` in
    total, `need` of them remain without any one data centre. The price of the
    cheapest such spread is the value of a linear program in which `L` is a
    variable too, so it is convex in `L`, and its minimum is found by bisection.

    Examples
    --------
    >>> offers = [CentreOffer("fann", 1.0, 9), CentreOffer("goree", 2.0, 9)]
    >>> cheapest_spread(offers, 2)
    Spread(counts={'fann': 2, 'goree': 2}, size=4, price=6.0)
    >>> cheapest_spread([*offers, CentreOffer("pikine", 2.5, 9)], 2).counts
    {'fann': 1, 'goree': 1, 'pikine': 1}
    >>> cheapest_spread(offers, 10) is None
    True
    """
    if need <= 0:
        return Spread({}, 0, 0.0)
    if need > max_covered_need(offers):
        return None
    limit = _cheapest_limit(offers, need)
    counts: dict[DataCentre, int] = {}
    remaining = need + limit
    for offer in offers:
        count = min(offer.available, limit, remaining)
        if count:
            counts[offer.data_centre] = count
            remaining -= count
    return Spread(counts, need + limit, _price_within(offers, need, limit))


def _cheapest_limit(offers: Sequence[CentreOffer], need: int) -> int:
    """Return the limit per data centre of the cheapest spread, the lowest of equal."""
    # A limit above the second largest offer only requires more upstreams.
    high = min(need, sorted(one.available for one in offers)[-2])
    low = _lowest_feasible_limit(offers, need, high)
    while low < high:
        middle = (low + high) // 2
        increase = _price_within(offers, need, middle + 1) - _price_within(
            offers, need, middle
        )
        if increase < -PRICE_TOLERANCE:
            low = middle + 1
        else:
            high = middle
    return low


def _lowest_feasible_limit(offers: Sequence[CentreOffer], need: int, high: int) -> int:
    low = 1
    while low < high:
        middle = (low + high) // 2
        if sum(min(one.available, middle) for one in offers) - middle >= need:
            high = middle
        else:
            low = middle + 1
    return low


def _price_within(offers: Sequence[CentreOffer], need: int, limit: int) -> float:
    """Return the price of the cheapest spread with a limit per data centre."""
    remaining = need + limit
    price = 0.0
    for offer in offers:
        count = min(offer.available, limit, remaining)
        price += count * offer.price
        remaining -= count
    return price
