"""Number of upstreams of a service to order by data centre and machine class."""

from dataclasses import dataclass
from functools import cache
from heapq import heappop, heappush
from math import ceil, inf

from cranberryfield.control.capacity.spread import (
    PRICE_TOLERANCE,
    CentreOffer,
    Spread,
    cheapest_spread,
)
from cranberryfield.core.deployment import EngineCapacity, ScalingSpec
from cranberryfield.core.ids import DataCentre
from cranberryfield.core.messages.reports import ServiceDemand

__all__ = [
    "ON_DEMAND",
    "RECLAIMABLE",
    "Pool",
    "PoolState",
    "RunnerCapacity",
    "pause_free_runners",
    "plan_runners",
    "runners_needed",
]

#: Minimum number of reclaimable upstreams in each data centre. They absorb
#: bursts, since starting an upstream takes longer than the peak of a burst.
MIN_RESERVE_PER_CENTRE = 2
#: Largest reclaimable price, as a fraction of the on-demand price, at which the
#: reserve is ordered.
MAX_RESERVE_PRICE_RATIO = 0.25
ON_DEMAND = "on-demand"
RECLAIMABLE = "reclaimable"


@dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams of one machine class in one data centre."""

    data_centre: DataCentre
    machine_class: str


@dataclass(frozen=True, slots=True)
class PoolState:
    """Current state of a pool.

    Attributes
    ----------
    running : int
        Upstreams that serve and have received no reclaim notice.
    leaving : int
        Upstreams that have received a notice to leave and still run.
    is_exhausted : bool
        Whether no further upstreams are currently available.
    """

    running: int = 0
    leaving: int = 0
    is_exhausted: bool = False


@dataclass(frozen=True, slots=True)
class RunnerCapacity:
    """Prefill rate of one model engine, and the utilisation to plan for.

    Within these limits an engine meets the latency target.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens that the engine processes per second.
    max_prefill_utilisation : float
        Fraction of the prefill rate to use; the rest is reserved for bursts.
    max_slot_utilisation : float
        Fraction of the batch slots to use.
    pause_free_utilisation : float
        Fraction of the prefill rate up to which streams do not pause.
    max_paused_ratio : float
        Tolerated fraction of streams with pauses longer than their route allows.
    """

    prefill_tokens_per_s: float = 80_000.0
    max_prefill_utilisation: float = 0.75
    max_slot_utilisation: float = 0.75
    pause_free_utilisation: float = 0.25
    max_paused_ratio: float = 0.03


def runners_needed(
    demand: ServiceDemand, engine: EngineCapacity, capacity: RunnerCapacity
) -> int:
    """Return the number of engines needed to serve a demand.

    Parameters
    ----------
    demand : ServiceDemand
        Load of the service.
    engine : EngineCapacity
        Batch slots and KV cache of one engine.
    capacity : RunnerCapacity
        Prefill rate of one engine, and the utilisation to plan for.

    Returns
    -------
    int
        Number of engines, at least 1.

    Examples
    --------
    >>> capacity = RunnerCapacity(
    ...     prefill_tokens_per_s=100_000.0, max_prefill_utilisation=0.5
    ... )
    >>> engine = EngineCapacity(places=32, kv_tokens=600_000)
    >>> runners_needed(ServiceDemand("drafts", 120_000.0, 20.0), engine, capacity)
    3
    >>> runners_needed(ServiceDemand("drafts", 1_000.0, 70.0), engine, capacity)
    3
    """
    engine_tokens_per_s = (
        capacity.prefill_tokens_per_s * capacity.max_prefill_utilisation
    )
    engine_requests = engine.places * capacity.max_slot_utilisation
    engines_for_prefill = demand.prefill_tokens_per_s / engine_tokens_per_s
    # Without slots an engine runs nothing, and no number of them serves the requests.
    engines_for_requests = demand.in_flight / engine_requests if engine_requests else 0
    return max(1, ceil(max(engines_for_prefill, engines_for_requests)))


def pause_free_runners(demand: ServiceDemand, capacity: RunnerCapacity) -> int:
    """Return the number of engines at which prefill does not pause the streams.

    An engine interleaves the prefill of long prompts with token generation. If
    prefills follow each other for as long as the tokens of one event take, all
    streams of the engine pause. The tolerable prefill load depends on the
    engine, so it is detected from pauses in the streams. The result is 0 while
    the fraction of paused streams is within `capacity.max_paused_ratio`.

    Examples
    --------
    >>> capacity = RunnerCapacity(
    ...     prefill_tokens_per_s=100_000.0, pause_free_utilisation=0.25
    ... )
    >>> pause_free_runners(ServiceDemand("drafts", 120_000.0, 9.0, 50.0, 5.0), capacity)
    5
    >>> pause_free_runners(ServiceDemand("drafts", 120_000.0, 9.0, 50.0, 0.0), capacity)
    0
    """
    if demand.paused_per_s <= capacity.max_paused_ratio * demand.streams_per_s:
        return 0
    engine_tokens_per_s = (
        capacity.prefill_tokens_per_s * capacity.pause_free_utilisation
    )
    return ceil(demand.prefill_tokens_per_s / engine_tokens_per_s)


def plan_runners(
    spec: ScalingSpec, pools: dict[Pool, PoolState], need: int, headroom: int = 0
) -> dict[Pool, int]:
    """Return how many upstreams to order in each pool.

    Parameters
    ----------
    spec : ScalingSpec
        Prices and bounds.
    pools : dict
        State of each pool; missing pools are empty.
    need : int
        Upstreams that must remain after the reclaimable upstreams of two data
        centres are lost, the second before those of the first are replaced.
    headroom : int, optional
        Total number of reclaimable upstreams to have, as far as they are cheap.

    Returns
    -------
    dict
        Number of upstreams for each pool in the service's data centres: the
        cheapest plan that meets the need or, if there is none, as many upstreams
        as are available. The number in each data centre is within the bounds.
    """
    offers = sorted(
        (_reclaimable_offer(spec, one, pools) for one in spec.price_of),
        key=lambda one: (one.price, one.data_centre),
    )
    reserve = max(MIN_RESERVE_PER_CENTRE, ceil(headroom / max(1, len(offers))))
    if spec.reclaimable_ratio > MAX_RESERVE_PRICE_RATIO:
        reserve = 0
    plan = _cheapest_plan(spec, pools, offers, need, reserve)
    if plan is not None:
        return plan
    wanted = {Pool(one.data_centre, RECLAIMABLE): one.available for one in offers}
    return _complete_plan(spec, pools, wanted, need, reserve)


def _cheapest_plan(
    spec: ScalingSpec,
    pools: dict[Pool, PoolState],
    offers: list[CentreOffer],
    need: int,
    reserve: int,
) -> dict[Pool, int] | None:
    """Return the cheapest plan that meets the need, the least on-demand of equal.

    Notes
    -----
    Branch and bound over the number of on-demand upstreams. The reclaimable
    upstreams for ``high`` on-demand ones and the price of ``low`` on-demand ones
    are a lower bound of all plans in between.
    """
    on_demand_prices = sorted(spec.price_of.values())

    @cache
    def reclaimable_spread(on_demand: int) -> Spread | None:
        return cheapest_spread(offers, _reclaimable_need(offers, need - on_demand))

    def lower_bound(low: int, high: int) -> float:
        spread = reclaimable_spread(high)
        if spread is None or low + spread.size > spec.most * len(offers):
            return inf
        return _on_demand_price(on_demand_prices, spec.most, low) + spread.price

    best: dict[Pool, int] | None = None
    best_price, best_count = inf, need + 1
    first = 0 if _may_rely_on_reclaimable(spec, offers) else need
    ranges = [(lower_bound(first, need), first, need)]
    while ranges and ranges[0][0] <= best_price + PRICE_TOLERANCE:
        _, low, high = heappop(ranges)
        for count in {low, high}:
            spread = reclaimable_spread(count)
            if spread is None or lower_bound(count, count) > best_price:
                continue
            plan = _plan_with_on_demand(spec, pools, spread, count, reserve)
            if plan is None:
                continue
            price = _plan_price(spec, plan)
            is_tie = abs(price - best_price) <= PRICE_TOLERANCE
            if count < best_count if is_tie else price < best_price:
                best, best_price, best_count = plan, price, count
        middle = (low + high) // 2
        for part in ((low + 1, middle), (middle + 1, high - 1)):
            bound = lower_bound(*part) if part[0] <= part[1] else inf
            if bound <= best_price + PRICE_TOLERANCE and bound < inf:
                heappush(ranges, (bound, *part))
    return best


def _on_demand_price(prices: list[float], most: int, count: int) -> float:
    """Return the least price of on-demand upstreams, `most` in a data centre.

    Examples
    --------
    >>> _on_demand_price([0.5, 1.0], 4, 6)
    4.0
    """
    total = 0.0
    for price in prices:
        total += min(most, count) * price
        count -= min(most, count)
    return total


def _may_rely_on_reclaimable(spec: ScalingSpec, offers: list[CentreOffer]) -> bool:
    """Return whether reclaimable upstreams may count towards the need.

    If only two of the data centres have any, they may lose them next.
    """
    return not _available_centres(offers) <= 2 < len(spec.price_of)


def _available_centres(offers: list[CentreOffer]) -> int:
    return sum(one.available > 0 for one in offers)


def _reclaimable_need(offers: list[CentreOffer], need: int) -> int:
    return _need_after_first_loss(need, _available_centres(offers))


def _plan_with_on_demand(
    spec: ScalingSpec,
    pools: dict[Pool, PoolState],
    spread: Spread,
    on_demand: int,
    reserve: int,
) -> dict[Pool, int] | None:
    """Return the plan with `on_demand` on-demand upstreams, None without room."""
    wanted = {
        Pool(centre, RECLAIMABLE): spread.counts.get(centre, 0)
        for centre in spec.price_of
    }
    plan = _complete_plan(spec, pools, wanted, on_demand, reserve)
    planned = sum(plan[one] for one in plan if one.machine_class == ON_DEMAND)
    return plan if planned >= on_demand else None


def _need_after_first_loss(need: int, centres: int) -> int:
    """Return the upstreams that must remain after one data centre is lost.

    The number is such that `need` upstreams remain after a second loss, if the
    upstreams are spread evenly.

    Examples
    --------
    >>> _need_after_first_loss(4, 4), _need_after_first_loss(4, 2)
    (6, 4)
    """
    if centres <= 2:
        return need
    return ceil(need * (centres - 1) / (centres - 2))


def _reclaimable_offer(
    spec: ScalingSpec, centre: DataCentre, pools: dict[Pool, PoolState]
) -> CentreOffer:
    state = pools.get(Pool(centre, RECLAIMABLE), PoolState())
    # On-demand upstreams count towards the bound until they have been replaced.
    on_demand = pools.get(Pool(centre, ON_DEMAND), PoolState())
    available = max(state.running, spec.most - on_demand.running)
    if state.is_exhausted:
        available = min(available, state.running)
    price = spec.price_of[centre] * spec.reclaimable_ratio
    return CentreOffer(centre, price, available)


def _complete_plan(
    spec: ScalingSpec,
    pools: dict[Pool, PoolState],
    wanted: dict[Pool, int],
    on_demand_needed: int,
    reserve: int,
) -> dict[Pool, int]:
    """Add on-demand upstreams, a reserve and upstreams for the lower bounds.

    The reserve is the minimum number of reclaimable upstreams in each data
    centre, as far as the bounds allow. Running on-demand upstreams are retained
    before new ones are ordered.
    """
    plan = dict(wanted)
    centres = sorted(spec.price_of, key=lambda one: spec.price_of[one])
    for centre in centres:
        reclaimable, on_demand = Pool(centre, RECLAIMABLE), Pool(centre, ON_DEMAND)
        missing = max(0, spec.least - plan[reclaimable])
        room = _reclaimable_offer(spec, centre, pools).available - plan[reclaimable]
        missing = max(missing, min(reserve - plan[reclaimable], room))
        added = max(0, min(missing, room))
        plan[reclaimable] += added
        plan[on_demand] = missing - added
        on_demand_needed -= missing - added
    running_counts = [(centre, _running_on_demand(pools, centre)) for centre in centres]
    for centre, count in (
        *running_counts,
        *((centre, spec.most) for centre in centres),
    ):
        on_demand = Pool(centre, ON_DEMAND)
        room = spec.most - plan[Pool(centre, RECLAIMABLE)] - plan[on_demand]
        added = max(0, min(on_demand_needed, room, count - plan[on_demand]))
        plan[on_demand] += added
        on_demand_needed -= added
    return plan


def _running_on_demand(pools: dict[Pool, PoolState], centre: DataCentre) -> int:
    return pools.get(Pool(centre, ON_DEMAND), PoolState()).running


def _plan_price(spec: ScalingSpec, plan: dict[Pool, int]) -> float:
    return sum(
        count
        * spec.price_of[pool.data_centre]
        * (spec.reclaimable_ratio if pool.machine_class == RECLAIMABLE else 1.0)
        for pool, count in plan.items()
    )
