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
from cranberryfield.core.deployment import Deployment, ScalingSpec, ServiceSpec
from cranberryfield.core.ids import ServiceName
from cranberryfield.core.loop_monitor import timed_step
from cranberryfield.daemon.cluster.cloud import CallOutcome, CloudClient, FencingToken
from cranberryfield.daemon.cluster.cloud_calls import FencingTokenIssuer
from cranberryfield.entry.registry import RegistryTable
from cranberryfield.entry.reports.collector import CollectedReports

__all__ = ["UpstreamAutoscaler", "count_upstreams", "covered_need", "stabilise_need"]

POLL_S = 0.25
#: Maximum number of plans per poll; a refused order requires a new plan.
MAX_PLANS_PER_POLL = 8
#: Time for which the need must stay lower before upstreams are released, in
#: seconds.
SCALE_DOWN_DELAY_S = 10.0
#: Initial and maximum backoff of a pool after a refused order, in seconds; doubled
#: with each consecutive refusal.
MIN_REFUSAL_BACKOFF_S = 2.0
MAX_REFUSAL_BACKOFF_S = 8.0
#: An order is repeated if its upstreams have not announced themselves this long
#: after their expected start, in seconds.
ORDER_REPEAT_MARGIN_S = 4.0
#: An upstream without announcements for this time is not counted, in seconds.
ANNOUNCEMENT_TIMEOUT_S = 4.0

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class _Order:
    """Last order in a pool."""

    desired: int
    placed_at: float
    backoff_until: float = float("-inf")
    refusals: int = 0
    was_fulfilled: bool = False


@dataclass(slots=True)
class _StabilisedNeed:
    """Number of upstreams needed, stabilised against short decreases."""

    value: int = 0
    first_updated_at: float | None = None
    lower_since: float | None = None
    max_lower_value: int = 0


@dataclass(frozen=True, slots=True)
class _PlanInputs:
    """Everything that a plan depends on."""

    scaling: ScalingSpec
    pools: dict[Pool, PoolState]
    need: int
    headroom: int


@dataclass(slots=True)
class _ServiceState:
    """Scaling state of one service."""

    need: _StabilisedNeed = field(default_factory=_StabilisedNeed)
    headroom: _StabilisedNeed = field(default_factory=_StabilisedNeed)
    orders: dict[Pool, _Order] = field(default_factory=dict)
    plan_inputs: _PlanInputs | None = None
    plan: dict[Pool, int] = field(default_factory=dict)


def stabilise_need(need: _StabilisedNeed, current_need: int, now: float) -> int:
    """Update a need: increases apply at once, decreases after a delay.

    After the delay, the need falls to the highest value seen during it.

    Examples
    --------
    >>> need = _StabilisedNeed()
    >>> asked = [(5, 0), (3, 1), (4, 5), (3, 11)]
    >>> [stabilise_need(need, current_need, at) for current_need, at in asked]
    [5, 5, 5, 4]
    """
    if current_need >= need.value:
        need.value, need.lower_since = current_need, None
        return need.value
    if need.lower_since is None:
        need.lower_since, need.max_lower_value = now, current_need
    need.max_lower_value = max(need.max_lower_value, current_need)
    if now - need.lower_since >= SCALE_DOWN_DELAY_S:
        need.value, need.lower_since = need.max_lower_value, None
    return need.value


def covered_need(pools: dict[Pool, PoolState], centres: int) -> int:
    """Return the need that the running upstreams cover if a data centre is lost.

    An even spread over `centres` data centres is assumed. A new leader starts from
    this need, as the first demand reported to it may be low: after a loss of all
    hosts, callers return gradually.

    Examples
    --------
    >>> pools = {Pool("a", ON_DEMAND): PoolState(5), Pool("b", "x"): PoolState(4)}
    >>> covered_need(pools, 4)
    6
    >>> covered_need({}, 4)
    1
    """
    running = sum(state.running for state in pools.values())
    return max(1, running - -(-running // max(1, centres)))


def count_upstreams(
    table: RegistryTable, service: ServiceName, now: float
) -> dict[Pool, PoolState]:
    """Count the upstreams of a service by pool."""
    running: dict[Pool, int] = {}
    leaving: dict[Pool, int] = {}
    for entry in table.entries.values():
        record = entry.record
        if record.service != service or now - entry.heard_at > ANNOUNCEMENT_TIMEOUT_S:
            continue
        pool = Pool(record.data_centre, record.machine_class)
        counts = leaving if record.leaving else running
        counts[pool] = counts.get(pool, 0) + 1
    return {
        pool: PoolState(running.get(pool, 0), leaving.get(pool, 0))
        for pool in running.keys() | leaving.keys()
    }


class UpstreamAutoscaler:
    """Orders the cheapest set of upstreams that covers the demand.

    Parameters
    ----------
    table : RegistryTable
        Announced upstreams.
    reports : CollectedReports
        Demand reported by the relay hosts.
    token_issuer : FencingTokenIssuer
        Issues the token under which this host may call the cloud API.
    cloud : CloudClient
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
        token_issuer: FencingTokenIssuer,
        cloud: CloudClient,
        deployment,
        clock: Clock,
    ):
        self._table = table
        self._reports = reports
        self._token_issuer = token_issuer
        self._cloud = cloud
        self._deployment = deployment
        self._clock = clock
        self._runner_capacity = RunnerCapacity()
        self._services: dict[ServiceName, _ServiceState] = {}
        self._token: FencingToken | None = None

    async def run(self) -> None:
        """Scale all services periodically until cancelled."""
        while True:
            await anyio.sleep(POLL_S)
            token = self._token_issuer.issue_token()
            deployment: Deployment | None = self._deployment()
            if token is None or deployment is None:
                continue
            if token != self._token:
                self._token, self._services = token, {}
            for spec in deployment.services:
                if spec.scaling is not None and spec.engine is not None:
                    await self._scale_service(token, spec)

    async def _scale_service(self, token: FencingToken, spec: ServiceSpec) -> None:
        service = self._services.setdefault(spec.name, _ServiceState())
        for _ in range(MAX_PLANS_PER_POLL):
            if not await self._apply_plan(token, spec, service):
                return

    async def _apply_plan(
        self, token: FencingToken, spec: ServiceSpec, service: _ServiceState
    ) -> bool:
        """Order the planned upstreams; return True if a refusal requires a new plan."""
        now = self._clock()
        pools = count_upstreams(self._table, spec.name, now)
        for pool, order in service.orders.items():
            state = pools.get(pool, PoolState())
            is_backing_off = now < order.backoff_until
            pools[pool] = PoolState(state.running, state.leaving, is_backing_off)
        need = self._update_need(service, spec, pools, now)
        inputs = _PlanInputs(spec.scaling, pools, need, service.headroom.value)
        planned_counts = _plan_for(service, inputs)
        running_counts = {pool: state.running for pool, state in pools.items()}
        for pool in _growing_pools_first(planned_counts, running_counts):
            if _must_delay_shrinking(pool, planned_counts, pools, service.orders):
                continue
            outcome = await self._order_if_due(
                token, spec, service, pool, planned_counts[pool], running_counts
            )
            if outcome is CallOutcome.REFUSED:
                return True
        return False

    def _update_need(
        self,
        service: _ServiceState,
        spec: ServiceSpec,
        pools: dict[Pool, PoolState],
        now: float,
    ) -> int:
        need = service.need
        if need.first_updated_at is None:
            need.first_updated_at = now
        # Before start_s has passed, no upstream ordered by this leader can run.
        if now - need.first_updated_at < spec.scaling.start_s:
            unordered_pools = {
                pool: state
                for pool, state in pools.items()
                if pool not in service.orders
            }
            covered = covered_need(unordered_pools, len(spec.scaling.price_of))
            need.value = max(need.value, covered)
        demand = self._reports.demand_for(spec.name, now)
        if not demand.in_flight and not demand.prefill_tokens_per_s:
            return need.value
        needed = runners_needed(demand, spec.engine, self._runner_capacity)
        stabilise_need(
            service.headroom, pause_free_runners(demand, self._runner_capacity), now
        )
        return stabilise_need(need, needed, now)

    async def _order_if_due(
        self,
        token: FencingToken,
        spec: ServiceSpec,
        service: _ServiceState,
        pool: Pool,
        desired: int,
        running_counts: dict[Pool, int],
    ) -> CallOutcome | None:
        now = self._clock()
        order = service.orders.get(pool)
        if not _is_due(
            order, desired, running_counts.get(pool, 0), spec.scaling.start_s, now
        ):
            return None
        outcome = await self._cloud.order_upstreams(token, spec.name, pool, desired)
        logger.info(
            "upstreams ordered",
            service=spec.name,
            data_centre=pool.data_centre,
            machine_class=pool.machine_class,
            desired=desired,
            running=running_counts.get(pool, 0),
            need=service.need.value,
            headroom=service.headroom.value,
            end=outcome.value,
            number=token.number,
        )
        service.orders[pool] = _Order(desired, now)
        if outcome is CallOutcome.REFUSED:
            refusals = order.refusals + 1 if order is not None else 1
            pause_s = min(
                MAX_REFUSAL_BACKOFF_S, MIN_REFUSAL_BACKOFF_S * 2 ** (refusals - 1)
            )
            service.orders[pool] = _Order(
                running_counts.get(pool, 0), now, now + pause_s, refusals
            )
        elif outcome is CallOutcome.FENCED:
            self._token_issuer.on_token_rejected(token)
        return outcome


def _plan_for(service: _ServiceState, inputs: _PlanInputs) -> dict[Pool, int]:
    """Return the plan for `inputs`, computed only if they have changed."""
    if inputs != service.plan_inputs:
        with timed_step("plan of upstreams"):
            service.plan = plan_runners(
                inputs.scaling, inputs.pools, inputs.need, inputs.headroom
            )
        service.plan_inputs = inputs
    return service.plan


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
        order.was_fulfilled = True
    if now < order.backoff_until and desired != running:
        return False
    if desired != order.desired:
        return True
    if running == desired:
        return False
    return (
        order.was_fulfilled or now - order.placed_at >= start_s + ORDER_REPEAT_MARGIN_S
    )


def _must_delay_shrinking(
    pool: Pool,
    planned_counts: dict[Pool, int],
    pools: dict[Pool, PoolState],
    orders: dict[Pool, _Order],
) -> bool:
    """Return whether a pool must not shrink until other upstreams have started.

    Running and starting upstreams both count as capacity of the pool. Reclaimable
    upstreams are also retained while any pool is exhausted, since they could not
    be replaced.
    """
    running_counts = {one: state.running for one, state in pools.items()}
    ordered = orders[pool].desired if pool in orders else 0
    if planned_counts[pool] >= max(running_counts.get(pool, 0), ordered):
        return False
    if pool.machine_class == RECLAIMABLE and any(
        state.is_exhausted for state in pools.values()
    ):
        return True
    return any(
        running_counts.get(one, 0) < count for one, count in planned_counts.items()
    )


def _growing_pools_first(
    planned_counts: dict[Pool, int], running_counts: dict[Pool, int]
) -> list[Pool]:
    """Return the pools to grow before the pools to shrink."""
    return sorted(
        planned_counts,
        key=lambda pool: (
            planned_counts[pool] < running_counts.get(pool, 0),
            pool.machine_class == ON_DEMAND,
            pool.data_centre,
        ),
    )
