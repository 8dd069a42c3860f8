"""Spread of equal upstreams over data centres, compared with the general search."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberryfield.control.capacity.mix import HostOffer, cheapest_mix
from cranberryfield.control.capacity.spread import CentreOffer, cheapest_spread

OFFERS = st.lists(
    st.tuples(st.sampled_from([0.8, 0.9, 1.0, 1.25]), st.integers(0, 6)),
    min_size=1,
    max_size=6,
)


@given(OFFERS, st.integers(0, 12))
@settings(derandomize=True, max_examples=300)
def test_spread_has_the_price_of_the_general_search(offers, need):
    general = cheapest_mix(
        tuple(
            HostOffer(str(number), "spot", price, 1, available)
            for number, (price, available) in enumerate(offers)
        ),
        need,
    )
    spread = cheapest_spread(
        sorted(
            (
                CentreOffer(str(number), price, available)
                for number, (price, available) in enumerate(offers)
            ),
            key=lambda one: one.price,
        ),
        need,
    )
    assert (spread is None) == (general is None)
    if spread is None:
        return
    counts = list(spread.counts.values())
    assert spread.price == pytest.approx(general.price_per_h)
    assert sum(counts) == spread.size
    assert sum(counts) - max(counts, default=0) >= need
