from dataclasses import replace
from itertools import product
from random import Random

import pytest

from cranberryfield.control.capacity import (
    HostOffer,
    OfferState,
    after_refusal,
    after_start,
    cheapest_mix,
    next_starts,
)

FANN = HostOffer("fann", "spot", 1.0, 2, 4)
PLATEAU = HostOffer("plateau", "spot", 2.0, 2, 4)
RUFISQUE = HostOffer("rufisque", "spot", 4.0, 2, 4)
ON_DEMAND = HostOffer("almadies", "on-demand", 7.0, 2, 9)
OFFERS = (FANN, PLATEAU, RUFISQUE, ON_DEMAND)


def capacity_without_largest_centre(hosts):
    by_centre = {}
    for offer, count in hosts.items():
        size = by_centre.get(offer.data_centre, 0) + count * offer.capacity
        by_centre[offer.data_centre] = size
    return sum(by_centre.values()) - max(by_centre.values(), default=0)


def brute_force(offers, need):
    best = None
    for counts in product(*(range(offer.available + 1) for offer in offers)):
        hosts = dict(zip(offers, counts, strict=True))
        price = sum(offer.price_per_h * count for offer, count in hosts.items())
        if capacity_without_largest_centre(hosts) >= need and (
            best is None or price < best
        ):
            best = price
    return best


def random_offers(rng):
    return tuple(
        HostOffer(
            rng.choice(("a", "b", "c")),
            f"class-{number}",
            rng.randrange(1, 12) / 2,
            rng.randrange(1, 4),
            rng.randrange(1, 4),
        )
        for number in range(5)
    )


@pytest.mark.parametrize("seed", range(25))
def test_mix_is_the_cheapest_that_tolerates_loss_of_a_data_centre(seed):
    rng = Random(seed)
    offers, need = random_offers(rng), rng.randrange(1, 8)
    mix = cheapest_mix(offers, need)
    best = brute_force(offers, need)
    assert (mix is None) == (best is None)
    if mix is not None:
        assert capacity_without_largest_centre(mix.hosts) >= need
        assert mix.price_per_h == pytest.approx(best)


def test_large_needs_are_rounded_up_and_still_met():
    offers = tuple(HostOffer(str(centre), "spot", 1.0, 8, 60) for centre in range(5))
    mix = cheapest_mix(offers, 930)
    assert capacity_without_largest_centre(mix.hosts) >= 930


STARTS = [
    ("nothing runs", {}, 0.0, {FANN: 2, PLATEAU: 2}),
    ("all runs", {FANN: (2, 0), PLATEAU: (2, 0)}, 0.0, {}),
    ("one has a notice", {FANN: (1, 0), PLATEAU: (2, 0)}, 0.0, {FANN: 1}),
    ("its replacement is starting", {FANN: (1, 1), PLATEAU: (2, 0)}, 0.0, {}),
    ("one offer in backoff", {FANN: (0, 0, 1, 9.0)}, 1.0, {PLATEAU: 2, RUFISQUE: 2}),
    ("its backoff has ended", {FANN: (0, 0, 1, 9.0)}, 9.0, {FANN: 2, PLATEAU: 2}),
]


@pytest.mark.parametrize(
    ("states", "now", "starts"), [row[1:] for row in STARTS], ids=[r[0] for r in STARTS]
)
def test_next_starts(states, now, starts):
    known = {offer: OfferState(*values) for offer, values in states.items()}
    assert next_starts(OFFERS, known, 4, now) == starts


def test_on_demand_covers_only_the_shortfall():
    spot = tuple(replace(offer, available=1) for offer in OFFERS[:3])
    starts = next_starts((*spot, ON_DEMAND), {}, 6, 0.0)
    assert starts == {**dict.fromkeys(spot, 1), ON_DEMAND: 1}


def test_all_available_hosts_are_started_if_they_do_not_suffice():
    assert next_starts((FANN, PLATEAU), {}, 50, 0.0) == {FANN: 4, PLATEAU: 4}


def test_backoff_is_capped_and_reset_by_a_start():
    state, waits = OfferState(), []
    for _ in range(10):
        state = after_refusal(state, 0.0)
        waits.append(state.retry_at)
    assert waits[:3] == [5.0, 10.0, 20.0]
    assert waits[-1] == 300.0
    assert after_start(state).refusals == 0
