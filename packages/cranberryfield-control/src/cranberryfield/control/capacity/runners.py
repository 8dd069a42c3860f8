"""Number of upstreams of a service to order by data centre and machine class."""

from dataclasses import dataclass
from math import ceil

from cranberryfield.control.capacity.mix import Offer, cheapest_mix
from cranberryfield.core.deployment import EngineTraits, PriceOfRunners
from cranberryfield.core.ids import DataCentre
from cranberryfield.core.messages.reports import ServiceDemand

__all__ = [
    "ON_DEMAND",
    "RECLAIMABLE",
    "Pool",
    "PoolState",
    "RunnerModel",
    "pause_free_runners",
    "plan_runners",
    "runners_needed",
]

#: Minimum number of reclaimable upstreams in each data centre. They absorb
#: bursts, since starting an upstream takes longer than the peak of a burst.
RESERVE_PER_CENTRE = 2
#: Largest reclaimable price, as a fraction of the on-demand price, at which the
#: reserve is ordered.
CHEAP_RATIO = 0.25
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
    is_refused : bool
        Whether no further upstreams are currently available.
    """

    running: int = 0
    leaving: int = 0
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class RunnerModel:
    """Load that one model engine sustains within the latency target.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens that the engine processes per second.
    busy_part : float
        Fraction of the prefill rate to use; the rest is reserved for bursts.
    filled_part : float
        Fraction of the batch slots to use.
    calm_part : float
        Fraction of the prefill rate up to which streams do not pause.
    paused_part : float
        Tolerated fraction of streams with pauses longer than their route allows.
    """

    prefill_tokens_per_s: float = 80_000.0
    busy_part: float = 0.75
    filled_part: float = 0.75
    calm_part: float = 0.25
    paused_part: float = 0.03


def runners_needed(
    demand: ServiceDemand, engine: EngineTraits, model: RunnerModel
) -> int:
    """Return the number of engines needed to serve a demand.

    Parameters
    ----------
    demand : ServiceDemand
        Load of the service.
    engine : EngineTraits
        Properties of one engine.
    model : RunnerModel
        Load that one engine sustains.

    Returns
    -------
    int
        Number of engines, at least 1.

    Examples
    --------
    >>> model = RunnerModel(prefill_tokens_per_s=100_000.0, busy_part=0.5)
    >>> engine = EngineTraits(places=32, kv_tokens=600_000)
    >>> runners_needed(ServiceDemand("drafts", 120_000.0, 20.0), engine, model)
    3
    >>> runners_needed(ServiceDemand("drafts", 1_000.0, 70.0), engine, model)
    3
    """
    one_reads = model.prefill_tokens_per_s * model.busy_part
    one_holds = engine.places * model.filled_part
    by_prefill = demand.prefill_tokens_per_s / one_reads
    by_places = demand.in_flight / one_holds
    return max(1, ceil(max(by_prefill, by_places)))


def pause_free_runners(demand: ServiceDemand, model: RunnerModel) -> int:
    """Return the number of engines at which prefill does not pause the streams.

    An engine interleaves the prefill of long prompts with token generation. If
    prefills follow each other for as long as the tokens of one event take, all
    streams of the engine pause. The tolerable prefill load depends on the
    engine, so it is detected from pauses in the streams. The result is 0 while
    the fraction of paused streams is within `model.paused_part`.

    Examples
    --------
    >>> model = RunnerModel(prefill_tokens_per_s=100_000.0, calm_part=0.25)
    >>> pause_free_runners(ServiceDemand("drafts", 120_000.0, 9.0, 50.0, 5.0), model)
    5
    >>> pause_free_runners(ServiceDemand("drafts", 120_000.0, 9.0, 50.0, 0.0), model)
    0
    """
    if demand.paused_per_s <= model.paused_part * demand.streams_per_s:
        return 0
    one_reads = model.prefill_tokens_per_s * model.calm_part
    return ceil(demand.prefill_tokens_per_s / one_reads)


def plan_runners(
    spec: PriceOfRunners, pools: dict[Pool, PoolState], need: int, headroom: int = 0
) -> dict[Pool, int]:
    """Return how many upstreams to order in each pool.

    Parameters
    ----------
    spec : PriceOfRunners
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
    cheap = tuple(_reclaimable_in(spec, one, pools) for one in sorted(spec.price_of))
    reserve = max(RESERVE_PER_CENTRE, ceil(headroom / max(1, len(cheap))))
    if spec.reclaimable_ratio > CHEAP_RATIO:
        reserve = 0
    plans = [
        plan
        for sure in range(need + 1)
        if (plan := _plan_with(spec, pools, cheap, need, sure, reserve)) is not None
    ]
    if plans:
        return min(plans, key=lambda plan: _price(spec, plan))
    wanted = {Pool(one.data_centre, RECLAIMABLE): one.available for one in cheap}
    return _with_on_demand(spec, pools, wanted, need, reserve)


def _plan_with(
    spec: PriceOfRunners,
    pools: dict[Pool, PoolState],
    cheap: tuple[Offer, ...],
    need: int,
    sure: int,
    reserve: int,
) -> dict[Pool, int] | None:
    """Return the cheapest plan with `sure` on-demand upstreams, None if impossible."""
    usable = sum(one.available > 0 for one in cheap)
    if sure < need and usable <= 2 < len(spec.price_of):
        # The only two data centres with reclaimable upstreams may lose them next.
        return None
    left = _need_after_one_loss(need - sure, usable)
    mix = cheapest_mix(cheap, left)
    if mix is None:
        return None
    wanted = {
        Pool(one.data_centre, RECLAIMABLE): mix.hosts.get(one, 0) for one in cheap
    }
    plan = _with_on_demand(spec, pools, wanted, sure, reserve)
    found = sum(plan[one] for one in plan if one.machine_class == ON_DEMAND)
    return plan if found >= sure else None


def _need_after_one_loss(need: int, centres: int) -> int:
    """Return the upstreams that must remain after one data centre is lost.

    The number is such that `need` upstreams remain after a second loss, if the
    upstreams are spread evenly.

    Examples
    --------
    >>> _need_after_one_loss(4, 4), _need_after_one_loss(4, 2)
    (6, 4)
    """
    if centres <= 2:
        return need
    return ceil(need * (centres - 1) / (centres - 2))


def _reclaimable_in(
    spec: PriceOfRunners, centre: DataCentre, pools: dict[Pool, PoolState]
) -> Offer:
    state = pools.get(Pool(centre, RECLAIMABLE), PoolState())
    # On-demand upstreams count towards the bound until they have been replaced.
    sure = pools.get(Pool(centre, ON_DEMAND), PoolState())
    most = max(state.running, spec.most - sure.running)
    if state.is_refused:
        most = min(most, state.running)
    price = spec.price_of[centre] * spec.reclaimable_ratio
    return Offer(centre, RECLAIMABLE, price, 1, most)


def _with_on_demand(
    spec: PriceOfRunners,
    pools: dict[Pool, PoolState],
    wanted: dict[Pool, int],
    sure: int,
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
        cheap, on_demand = Pool(centre, RECLAIMABLE), Pool(centre, ON_DEMAND)
        missing = max(0, spec.least - plan[cheap])
        room = _reclaimable_in(spec, centre, pools).available - plan[cheap]
        missing = max(missing, min(reserve - plan[cheap], room))
        added = max(0, min(missing, room))
        plan[cheap] += added
        plan[on_demand] = missing - added
        sure -= missing - added
    kept = [(centre, _running(pools, centre)) for centre in centres]
    for centre, count in (*kept, *((centre, spec.most) for centre in centres)):
        on_demand = Pool(centre, ON_DEMAND)
        room = spec.most - plan[Pool(centre, RECLAIMABLE)] - plan[on_demand]
        added = max(0, min(sure, room, count - plan[on_demand]))
        plan[on_demand] += added
        sure -= added
    return plan


def _running(pools: dict[Pool, PoolState], centre: DataCentre) -> int:
    return pools.get(Pool(centre, ON_DEMAND), PoolState()).running


def _price(spec: PriceOfRunners, plan: dict[Pool, int]) -> float:
    return sum(
        count
        * spec.price_of[pool.data_centre]
        * (spec.reclaimable_ratio if pool.machine_class == RECLAIMABLE else 1.0)
        for pool, count in plan.items()
    )
