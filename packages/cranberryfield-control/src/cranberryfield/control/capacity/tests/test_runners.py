"""Planned upstreams: normal load, waves of reclaims, no reclaimable ones available."""

import pytest

from cranberryfield.control.capacity.runners import (
    ON_DEMAND,
    RECLAIMABLE,
    Pool,
    PoolState,
    plan_runners,
)
from cranberryfield.core.deployment import PriceOfRunners

PRICES = {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9}
SPEC = PriceOfRunners(1, 5, 4.0, 0.18, PRICES)
NONE_LEFT = {Pool(centre, RECLAIMABLE): PoolState(is_refused=True) for centre in PRICES}


def total(plan, machine_class):
    return sum(n for pool, n in plan.items() if pool.machine_class == machine_class)


def left_after_two_waves(plan):
    cheap = sorted(n for pool, n in plan.items() if pool.machine_class == RECLAIMABLE)
    return sum(cheap[:-2]) + total(plan, ON_DEMAND)


@pytest.mark.parametrize("need", [1, 3, 4, 6])
def test_two_reclaims_in_a_row_leave_what_is_needed(need):
    plan = plan_runners(SPEC, {}, need)
    assert left_after_two_waves(plan) >= need
    assert total(plan, ON_DEMAND) == 0


@pytest.mark.parametrize("need", [1, 3, 6])
def test_with_none_to_be_had_the_shortfall_runs_on_demand_without_reserve(need):
    plan = plan_runners(SPEC, NONE_LEFT, need)
    assert total(plan, RECLAIMABLE) == 0
    assert total(plan, ON_DEMAND) == max(need, len(PRICES) * SPEC.least)


def test_what_is_left_of_a_wave_counts_only_as_far_as_it_outlives_the_next():
    pools = {**NONE_LEFT, Pool("a", RECLAIMABLE): PoolState(2, is_refused=True)}
    plan = plan_runners(SPEC, pools, 3)
    assert plan[Pool("a", RECLAIMABLE)] <= 2
    assert total(plan, ON_DEMAND) >= 3


@pytest.mark.parametrize(
    ("ratio", "least_total"), [(0.18, 8), (0.25, 8), (0.5, 4), (1.0, 4)]
)
def test_a_burst_meets_a_reserve_where_it_is_cheap(ratio, least_total):
    spec = PriceOfRunners(1, 5, 4.0, ratio, PRICES)
    assert total(plan_runners(spec, {}, 1), RECLAIMABLE) >= least_total


@pytest.mark.parametrize("running", [0, 3, 5])
def test_places_of_what_still_runs_on_demand_are_not_ordered_twice(running):
    pools = {Pool("b", ON_DEMAND): PoolState(running)}
    plan = plan_runners(SPEC, pools, 6)
    assert plan[Pool("b", RECLAIMABLE)] + running <= SPEC.most


@pytest.mark.parametrize(("least", "most"), [(0, 1), (1, 5), (2, 3)])
@pytest.mark.parametrize("need", [1, 5, 40])
def test_every_data_centre_stays_within_its_bounds(least, most, need):
    spec = PriceOfRunners(least, most, 4.0, 0.18, PRICES)
    plan = plan_runners(spec, {}, need)
    for centre in PRICES:
        count = plan[Pool(centre, RECLAIMABLE)] + plan[Pool(centre, ON_DEMAND)]
        assert least <= count <= most


@pytest.mark.parametrize(("ratio", "expected"), [(0.18, 16), (0.5, 4)])
def test_prompts_in_a_row_are_spread_over_more_engines_where_these_are_cheap(
    ratio, expected
):
    spec = PriceOfRunners(1, 5, 4.0, ratio, PRICES)
    plan = plan_runners(spec, {}, 1, headroom=16)
    assert total(plan, RECLAIMABLE) == expected
    assert total(plan, ON_DEMAND) == 0


def test_headroom_is_not_bought_on_demand():
    plan = plan_runners(SPEC, NONE_LEFT, 5, headroom=16)
    assert total(plan, ON_DEMAND) == 5
