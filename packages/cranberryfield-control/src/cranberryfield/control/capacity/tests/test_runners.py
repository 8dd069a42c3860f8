"""Planned upstreams: normal load, waves of reclaims, no reclaimable ones available."""

import pytest

from cranberryfield.control.capacity import runners
from cranberryfield.control.capacity.runners import (
    ON_DEMAND,
    RECLAIMABLE,
    Pool,
    PoolState,
    RunnerCapacity,
    ServiceDemand,
    plan_runners,
    runners_needed,
)
from cranberryfield.core.deployment import EngineCapacity, ScalingSpec

DEMAND = ServiceDemand("drafts", 120_000.0, 20.0)
PRICES = {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9}
SPEC = ScalingSpec(1, 5, 4.0, 0.18, PRICES)
ALL_EXHAUSTED = {
    Pool(centre, RECLAIMABLE): PoolState(is_exhausted=True) for centre in PRICES
}


def total(plan, machine_class):
    return sum(n for pool, n in plan.items() if pool.machine_class == machine_class)


def left_after_two_losses(plan):
    cheap = sorted(n for pool, n in plan.items() if pool.machine_class == RECLAIMABLE)
    return sum(cheap[:-2]) + total(plan, ON_DEMAND)


@pytest.mark.parametrize("need", [1, 3, 4, 6])
def test_need_is_met_after_loss_of_two_data_centres(need):
    plan = plan_runners(SPEC, {}, need)
    assert left_after_two_losses(plan) >= need
    assert total(plan, ON_DEMAND) == 0


@pytest.mark.parametrize("need", [1, 3, 6])
def test_without_reclaimable_upstreams_only_the_need_runs_on_demand(need):
    plan = plan_runners(SPEC, ALL_EXHAUSTED, need)
    assert total(plan, RECLAIMABLE) == 0
    assert total(plan, ON_DEMAND) == max(need, len(PRICES) * SPEC.least)


def test_upstreams_that_the_next_wave_may_reclaim_do_not_meet_the_need():
    pools = {**ALL_EXHAUSTED, Pool("a", RECLAIMABLE): PoolState(2, is_exhausted=True)}
    plan = plan_runners(SPEC, pools, 3)
    assert plan[Pool("a", RECLAIMABLE)] <= 2
    assert total(plan, ON_DEMAND) >= 3


@pytest.mark.parametrize(
    ("ratio", "least_total"), [(0.18, 8), (0.25, 8), (0.5, 4), (1.0, 4)]
)
def test_reserve_for_bursts_is_ordered_where_it_is_cheap(ratio, least_total):
    spec = ScalingSpec(1, 5, 4.0, ratio, PRICES)
    assert total(plan_runners(spec, {}, 1), RECLAIMABLE) >= least_total


@pytest.mark.parametrize("running", [0, 3, 5])
def test_running_on_demand_upstreams_count_towards_the_bound(running):
    pools = {Pool("b", ON_DEMAND): PoolState(running)}
    plan = plan_runners(SPEC, pools, 6)
    assert plan[Pool("b", RECLAIMABLE)] + running <= SPEC.most


@pytest.mark.parametrize(("least", "most"), [(0, 1), (1, 5), (2, 3)])
@pytest.mark.parametrize("need", [1, 5, 40])
def test_every_data_centre_stays_within_its_bounds(least, most, need):
    spec = ScalingSpec(least, most, 4.0, 0.18, PRICES)
    plan = plan_runners(spec, {}, need)
    for centre in PRICES:
        count = plan[Pool(centre, RECLAIMABLE)] + plan[Pool(centre, ON_DEMAND)]
        assert least <= count <= most


@pytest.mark.parametrize(("ratio", "expected"), [(0.18, 16), (0.5, 4)])
def test_headroom_is_ordered_where_it_is_cheap(ratio, expected):
    spec = ScalingSpec(1, 5, 4.0, ratio, PRICES)
    plan = plan_runners(spec, {}, 1, headroom=16)
    assert total(plan, RECLAIMABLE) == expected
    assert total(plan, ON_DEMAND) == 0


def test_headroom_is_not_bought_on_demand():
    plan = plan_runners(SPEC, ALL_EXHAUSTED, 5, headroom=16)
    assert total(plan, ON_DEMAND) == 5


SIX_PRICES = {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9, "e": 1.1, "f": 0.85}


# The prices are those of an exhaustive search over all numbers of on-demand
# upstreams and all limits per data centre.
@pytest.mark.parametrize(
    ("centres", "most", "ratio", "exhausted", "need", "headroom", "price"),
    [
        (4, 3, 0.18, {}, 9, 0, 2.133),
        (4, 3, 0.18, {"a": 1, "b": 0}, 7, 0, 5.741),
        (4, 5, 0.5, {}, 9, 0, 7.875),
        (4, 5, 1.0, {}, 9, 0, 9.85),
        (6, 8, 0.18, {}, 10, 0, 2.961),
        (6, 8, 0.5, {}, 10, 16, 7.6),
        (6, 8, 0.18, dict.fromkeys("abcdef", 0), 10, 0, 9.1),
        (6, 8, 0.18, dict.fromkeys("abcd", 2), 10, 30, 3.177),
        (2, 8, 0.25, {}, 5, 0, 2.25),
        (1, 8, 0.18, {}, 5, 0, 5.36),
        (6, 3, 0.18, {}, 12, 0, 3.186),
        (3, 2, 0.18, {}, 9, 0, 1.098),
    ],
)
def test_plan_has_the_price_of_an_exhaustive_search(
    centres, most, ratio, exhausted, need, headroom, price
):
    prices = dict(list(SIX_PRICES.items())[:centres])
    spec = ScalingSpec(1, most, 4.0, ratio, prices)
    pools = {
        Pool(centre, RECLAIMABLE): PoolState(running, is_exhausted=True)
        for centre, running in exhausted.items()
    }
    plan = plan_runners(spec, pools, need, headroom)
    planned = sum(
        count
        * prices[pool.data_centre]
        * (ratio if pool.machine_class == RECLAIMABLE else 1.0)
        for pool, count in plan.items()
    )
    assert planned == pytest.approx(price)


@pytest.mark.parametrize("available", [0, 5, 133, 200])
@pytest.mark.parametrize("ratio", [0.15, 0.5, 1.0])
def test_few_plans_are_computed_for_hundreds_of_upstreams(
    available, ratio, monkeypatch
):
    computed = []
    complete_plan = runners._complete_plan

    def count_plans(*args):
        computed.append(args)
        return complete_plan(*args)

    monkeypatch.setattr(runners, "_complete_plan", count_plans)
    prices = {**SIX_PRICES, "g": 0.95}
    pools = {
        Pool(centre, RECLAIMABLE): PoolState(available, is_exhausted=True)
        for centre in "abcdefg"
    }
    plan_runners(ScalingSpec(1, 200, 4.0, ratio, prices), pools, 930)
    assert len(computed) <= 150


# Guards against leaders that end one after the other, since a deployment is in force
# whose engines have no slots.
@pytest.mark.parametrize("places", [0, 1, 32])
@pytest.mark.parametrize("kv_tokens", [0, 600_000])
def test_need_is_finite_for_engines_of_any_size(places, kv_tokens):
    engine = EngineCapacity(places, kv_tokens)
    assert 1 <= runners_needed(DEMAND, engine, RunnerCapacity()) < 100


@pytest.mark.parametrize("prices", [{}, {"a": 0.0}, {"a": -1.0, "b": 1e15}, PRICES])
@pytest.mark.parametrize(("least", "most"), [(0, 0), (5, 1), (1, 2**53 - 1)])
@pytest.mark.parametrize("ratio", [-1.0, 0.0, 0.15, 1e15])
def test_a_plan_is_made_for_bounds_and_prices_of_any_size(prices, least, most, ratio):
    spec = ScalingSpec(least, most, 4.0, ratio, prices)
    for need in (1, 300):
        assert set(plan_runners(spec, {}, need, 20)) <= {
            Pool(centre, machine_class)
            for centre in prices
            for machine_class in (ON_DEMAND, RECLAIMABLE)
        }
