"""Autoscaling: orders upstreams from the cloud according to demand."""

from dataclasses import dataclass, field

import anyio
import structlog

from cranberryfield.control.capacity.runners import (
    ON_DEMAND,
    RECLAIMABLE,
    Pool,
    PoolState,
    RunnerCapacity,
    pause_free_runners,
    plan_runners,
    runners_needed,
)
from cranberryfield.core.clock import Clock
from cranberryfield.core.deployment import Deployment, ServiceSpec
from cranberryfield.core.ids import ServiceName
from cranberryfield.daemon.cluster.duties import (
    CloudCalls,
    DutyEnd,
    Fence,
    Leadership,
)
from cranberryfield.entry.registry import RegistryTable
from cranberryfield.entry.reports.collector import CollectedReports

__all__ = ["CapacityKeeper", "count_pools", "need_met_by", "steady_need"]

POLL_S = 0.25
#: Maximum number of plans per poll; a refused order requires a new plan.
MAX_ROUNDS = 8
#: Time for which the need must stay lower before upstreams are released, in
#: seconds.
SHRINK_AFTER_S = 10.0
#: Initial and maximum backoff of a pool after a refused order, in seconds; doubled
#: with each consecutive refusal.
FIRST_REFUSED_S = 2.0
LONGEST_REFUSED_S = 8.0
#: An order is repeated if its upstreams have not announced themselves this long
#: after their expected start, in seconds.
REPEAT_S = 4.0
#: An upstream without announcements for this time is not counted, in seconds.
SILENT_S = 4.0

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class _Order:
    """Last order in a pool."""

    desired: int
    at: float
    refused_until: float = float("-inf")
    refusals: int = 0
    was_met: bool = False


@dataclass(slots=True)
class _Need:
    """Number of upstreams needed, stabilised against short decreases."""

    value: int = 0
    found_at: float | None = None
    lower_since: float | None = None
    highest_lower: int = 0


@dataclass(slots=True)
class _Service:
    """Scaling state of one service."""

    need: _Need = field(default_factory=_Need)
    headroom: _Need = field(default_factory=_Need)
    orders: dict[Pool, _Order] = field(default_factory=dict)


def steady_need(need: _Need, wanted: int, now: float) -> int:
    """Update a need: increases apply at once, decreases after a delay.

    After the delay, the need falls to the highest value seen during it.

    Examples
    --------
    >>> need = _Need()
    >>> asked = [(5, 0), (3, 1), (4, 5), (3, 11)]
    >>> [steady_need(need, wanted, at) for wanted, at in asked]
    [5, 5, 5, 4]
    """
    if wanted >= need.value:
        need.value, need.lower_since = wanted, None
        return need.value
    if need.lower_since is None:
        need.lower_since, need.highest_lower = now, wanted
    need.highest_lower = max(need.highest_lower, wanted)
    if now - need.lower_since >= SHRINK_AFTER_S:
        need.value, need.lower_since = need.highest_lower, None
    return need.value


def need_met_by(pools: dict[Pool, PoolState], centres: int) -> int:
    """Return the need that the running upstreams cover.

    A new leader starts from this need, as the first demand reported to it may be
    low: after a loss of all hosts, callers return gradually.

    Examples
    --------
    >>> pools = {Pool("a", ON_DEMAND): PoolState(5), Pool("b", "x"): PoolState(4)}
    >>> need_met_by(pools, 4)
    6
    >>> need_met_by({}, 4)
    1
    """
    running = sum(state.running for state in pools.values())
    return max(1, running - -(-running // max(1, centres)))


def count_pools(
    table: RegistryTable, service: ServiceName, now: float
) -> dict[Pool, PoolState]:
    """Count the upstreams of a service by pool."""
    running: dict[Pool, int] = {}
    leaving: dict[Pool, int] = {}
    for entry in table.entries.values():
        record = entry.record
        if record.service != service or now - entry.heard_at > SILENT_S:
            continue
        pool = Pool(record.data_centre, record.machine_class)
        counts = leaving if record.leaving else running
        counts[pool] = counts.get(pool, 0) + 1
    return {
        pool: PoolState(running.get(pool, 0), leaving.get(pool, 0))
        for pool in running.keys() | leaving.keys()
    }


class CapacityKeeper:
    """Orders the cheapest set of upstreams that covers the demand.

    Parameters
    ----------
    table : RegistryTable
        Announced upstreams.
    reports : CollectedReports
        Demand reported by the relay hosts.
    leadership : Leadership
        Provides the fence under which this host may call the cloud API.
    calls : CloudCalls
        The cloud API.
    deployment : callable
        Returns the deployment that this host has applied.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        table: RegistryTable,
        reports: CollectedReports,
        leadership: Leadership,
        calls: CloudCalls,
        deployment,
        clock: Clock,
    ):
        self._table = table
        self._reports = reports
        self._leadership = leadership
        self._calls = calls
        self._deployment = deployment
        self._clock = clock
        self._model = RunnerCapacity()
        self._services: dict[ServiceName, _Service] = {}
        self._fence: Fence | None = None

    async def run(self) -> None:
        """Scale all services periodically until cancelled."""
        while True:
            await anyio.sleep(POLL_S)
            fence = self._leadership.fence()
            deployment: Deployment | None = self._deployment()
            if fence is None or deployment is None:
                continue
            if fence != self._fence:
                self._fence, self._services = fence, {}
            for spec in deployment.services:
                if spec.scaling is not None and spec.engine is not None:
                    await self._keep(fence, spec)

    async def _keep(self, fence: Fence, spec: ServiceSpec) -> None:
        service = self._services.setdefault(spec.name, _Service())
        for _ in range(MAX_ROUNDS):
            if not await self._keep_once(fence, spec, service):
                return

    async def _keep_once(
        self, fence: Fence, spec: ServiceSpec, service: _Service
    ) -> bool:
        """Order the planned upstreams; return True if a refusal requires a new plan."""
        now = self._clock()
        pools = count_pools(self._table, spec.name, now)
        for pool, order in service.orders.items():
            state = pools.get(pool, PoolState())
            refused = now < order.refused_until
            pools[pool] = PoolState(state.running, state.leaving, refused)
        need = self._need(service, spec, pools, now)
        wanted = plan_runners(spec.scaling, pools, need, service.headroom.value)
        have = {pool: state.running for pool, state in pools.items()}
        for pool in _in_order(wanted, have):
            if _holds_back(pool, wanted, pools, service.orders):
                continue
            end = await self._order(fence, spec, service, pool, wanted[pool], have)
            if end is DutyEnd.REFUSED:
                return True
        return False

    def _need(
        self,
        service: _Service,
        spec: ServiceSpec,
        pools: dict[Pool, PoolState],
        now: float,
    ) -> int:
        need = service.need
        if need.found_at is None:
            need.found_at = now
        # Before start_s has passed, no upstream ordered by this leader can run.
        if now - need.found_at < spec.scaling.start_s:
            found = {
                pool: state
                for pool, state in pools.items()
                if pool not in service.orders
            }
            met = need_met_by(found, len(spec.scaling.price_of))
            need.value = max(need.value, met)
        demand = self._reports.demand_for(spec.name, now)
        if not demand.in_flight and not demand.prefill_tokens_per_s:
            return need.value
        wanted = runners_needed(demand, spec.engine, self._model)
        steady_need(service.headroom, pause_free_runners(demand, self._model), now)
        return steady_need(need, wanted, now)

    async def _order(
        self,
        fence: Fence,
        spec: ServiceSpec,
        service: _Service,
        pool: Pool,
        desired: int,
        have: dict[Pool, int],
    ) -> DutyEnd | None:
        now = self._clock()
        order = service.orders.get(pool)
        if not _is_due(order, desired, have.get(pool, 0), spec.scaling.start_s, now):
            return None
        end = await self._calls.order(fence, spec.name, pool, desired)
        logger.info(
            "upstreams ordered",
            service=spec.name,
            data_centre=pool.data_centre,
            machine_class=pool.machine_class,
            desired=desired,
            running=have.get(pool, 0),
            need=service.need.value,
            headroom=service.headroom.value,
            end=end.value,
            number=fence.number,
        )
        service.orders[pool] = _Order(desired, now)
        if end is DutyEnd.REFUSED:
            refusals = order.refusals + 1 if order is not None else 1
            pause_s = min(LONGEST_REFUSED_S, FIRST_REFUSED_S * 2 ** (refusals - 1))
            service.orders[pool] = _Order(
                have.get(pool, 0), now, now + pause_s, refusals
            )
        elif end is DutyEnd.FENCED:
            self._leadership.note_fenced(fence)
        return end


def _is_due(
    order: _Order | None, desired: int, running: int, start_s: float, now: float
) -> bool:
    """Return whether to place an order for the desired number, or to repeat it.

    An order that was met and no longer is gets repeated at once, since
    upstreams that it had started are lost.
    """
    if order is None:
        return desired != running
    if running == order.desired:
        order.was_met = True
    if now < order.refused_until and desired != running:
        return False
    if desired != order.desired:
        return True
    if running == desired:
        return False
    return order.was_met or now - order.at >= start_s + REPEAT_S


def _holds_back(
    pool: Pool,
    wanted: dict[Pool, int],
    pools: dict[Pool, PoolState],
    orders: dict[Pool, _Order],
) -> bool:
    """Return whether a pool must not shrink until other upstreams have started.

    Running and starting upstreams both count as capacity of the pool. Reclaimable
    upstreams are also retained while any pool is exhausted, since they could not
    be replaced.
    """
    have = {one: state.running for one, state in pools.items()}
    coming = orders[pool].desired if pool in orders else 0
    if wanted[pool] >= max(have.get(pool, 0), coming):
        return False
    if pool.machine_class == RECLAIMABLE and any(
        state.is_exhausted for state in pools.values()
    ):
        return True
    return any(have.get(one, 0) < count for one, count in wanted.items())


def _in_order(wanted: dict[Pool, int], have: dict[Pool, int]) -> list[Pool]:
    """Return the pools to grow before the pools to shrink."""
    return sorted(
        wanted,
        key=lambda pool: (
            wanted[pool] < have.get(pool, 0),
            pool.machine_class == ON_DEMAND,
            pool.data_centre,
        ),
    )
