"""Admission of requests on a host against quota granted by the leader."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil
from random import Random

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.deployment import WorkspaceSpec
from cranberryfield.core.errors import CranberryfieldError, ErrorKind, UnavailableError
from cranberryfield.core.ids import NodeId, WorkspaceId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.reports import LeaseQuota, QuotaGrant, QuotaRequest
from cranberryfield.entry.limits.refusal_backlog import RefusalBacklog, record_refusal

__all__ = [
    "QuotaBalance",
    "QuotaClient",
    "is_favoured",
    "make_quota_request",
    "may_admit",
    "record_demand",
    "refill_locally",
]

MS_PER_S = 1000
#: Expected demand that a host requests in advance, as a time in seconds.
PREFETCH_S = 0.4
#: Averaging window of the demand, in seconds.
DEMAND_WINDOW_S = 2.0
#: Rank of the most urgent routes.
MOST_URGENT_RANK = 0
#: Largest cost of a small request, as a time in seconds at the rate of the quota.
SMALL_COST_S = 0.02
#: Age at which an unused grant is returned to the leader, in seconds.
UNUSED_GRANT_TTL_S = 1.5
#: Timeout of a quota request to the leader, in seconds: a quarter of the shortest
#: latency target of a first event.
ASK_TIMEOUT_S = 0.12
#: Time before a leader that did not reply is asked again, in seconds.
LEADER_RETRY_S = 0.5
#: Maximum time before the leader is asked again after a refusal, in seconds.
MAX_EMPTY_WAIT_S = 0.3
#: Fraction of its even share that a host uses while the leader is unresponsive.
LOCAL_SHARE_FACTOR = 0.6
#: Time since the last refusal after which a quota counts as ample, in seconds.
AMPLE_AFTER_S = 5.0
#: Overdraft of an ample quota at which a host without a leader admits no further
#: request, in seconds of the host's even share. It is covered by the quota that the
#: workspace left unused in the previous window, and the leader deducts it from the
#: next grant.
MAX_OVERDRAFT_S = 3.0
#: Maximum jitter of the retry delay, as a fraction of it.
RETRY_JITTER = 0.5

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class QuotaBalance:
    """Local balance of one workspace's quota on this host.

    Attributes
    ----------
    available : float
        Cost that may be admitted without asking the leader; negative if overdrawn.
    granted_at : float
        Monotonic time in seconds of the last grant.
    empty_until, favoured_empty_until : float
        Monotonic time in seconds before which the leader has no more to grant, in
        general and to favoured requests.
    demand_per_s : float
        Average cost requested on this host per second, as of `demand_at`.
    local_refill_at : float
        Monotonic time in seconds of the last local refill; None unless the leader
        is unresponsive.
    backlog : RefusalBacklog
        Requests refused on this host that may come back.
    pending_request : anyio.Event or None
        Set when the pending request to the leader ends; None if there is none.
    """

    available: float = 0.0
    granted_at: float = float("-inf")
    empty_until: float = float("-inf")
    favoured_empty_until: float = float("-inf")
    demand_per_s: float = 0.0
    demand_at: float = 0.0
    local_refill_at: float | None = None
    backlog: RefusalBacklog = field(default_factory=RefusalBacklog)
    pending_request: anyio.Event | None = field(default=None)


def record_demand(balance: QuotaBalance, cost: float, now: float) -> None:
    """Add the cost of a request to the average demand."""
    elapsed_s = max(0.0, now - balance.demand_at)
    balance.demand_per_s *= max(0.0, 1.0 - elapsed_s / DEMAND_WINDOW_S)
    balance.demand_per_s += cost / DEMAND_WINDOW_S
    balance.demand_at = now


def is_favoured(spec: WorkspaceSpec, cost: float, rank: int) -> bool:
    """Return whether a request goes before others while its quota is short.

    Those of the most urgent routes do, and small ones, as one large request takes
    the place of many of them.

    Examples
    --------
    >>> spec = WorkspaceSpec("notary", rate_per_s=10_000.0)
    >>> cases = [(200.0, 2), (900.0, 0), (900.0, 1)]
    >>> [is_favoured(spec, cost, rank) for cost, rank in cases]
    [True, True, False]
    """
    return rank == MOST_URGENT_RANK or cost <= SMALL_COST_S * spec.rate_per_s


def make_quota_request(
    workspace: WorkspaceId,
    balance: QuotaBalance,
    cost: float,
    now: float,
    favoured: bool = False,
) -> QuotaRequest:
    """Return a quota request to the leader, which also returns expired grants.

    Examples
    --------
    >>> balance = QuotaBalance(100.0, 5.0, demand_per_s=1000.0)
    >>> request = make_quota_request("notary", balance, 300.0, 5.5)
    >>> request.needed, request.ahead, request.returned
    (200, 400, 0)
    >>> request = make_quota_request("notary", QuotaBalance(100.0, 5.0), 300.0, 9.0)
    >>> request.needed, request.ahead, request.returned
    (300, 0, 100)
    """
    returned = 0
    if now - balance.granted_at > UNUSED_GRANT_TTL_S and balance.available > 0.0:
        returned, balance.available = int(balance.available), 0.0
    needed = ceil(max(0.0, cost - balance.available))
    ahead = int(balance.demand_per_s * PREFETCH_S)
    return QuotaRequest(workspace, needed, ahead, returned, favoured)


def may_admit(
    balance: QuotaBalance,
    cost: float,
    share_per_s: float,
    is_unresponsive: bool,
    now: float,
) -> bool:
    """Return whether the local balance allows a request.

    Parameters
    ----------
    balance : QuotaBalance
        Local balance.
    cost : float
        Cost of the request.
    share_per_s : float
        This host's even share of the quota per second.
    is_unresponsive : bool
        Whether the leader is unresponsive. An ample quota may then be overdrawn,
        since with many hosts the even share is less than one request.
    now : float
        Monotonic time in seconds.

    Examples
    --------
    >>> ample, limited = QuotaBalance(50.0), QuotaBalance(50.0, empty_until=9.0)
    >>> [may_admit(one, 90.0, 20.0, True, 10.0) for one in (ample, limited)]
    [True, False]
    >>> may_admit(QuotaBalance(-61.0), 90.0, 20.0, True, 10.0)
    False
    """
    if balance.available >= cost:
        return True
    is_ample = now - balance.empty_until > AMPLE_AFTER_S
    return (
        is_unresponsive
        and is_ample
        and balance.available > -MAX_OVERDRAFT_S * share_per_s
    )


def refill_locally(
    balance: QuotaBalance, spec: WorkspaceSpec, hosts: int, now: float
) -> None:
    """Refill the local balance from this host's share while no leader replies."""
    share_per_s = LOCAL_SHARE_FACTOR * spec.rate_per_s / max(1, hosts)
    if balance.local_refill_at is not None:
        gained = (now - balance.local_refill_at) * share_per_s
        limit = max(balance.available, share_per_s * DEMAND_WINDOW_S)
        balance.available = min(limit, balance.available + gained)
        balance.granted_at = now
    balance.local_refill_at = now


def _empty_until(balance: QuotaBalance, favoured: bool) -> float:
    return balance.favoured_empty_until if favoured else balance.empty_until


class QuotaClient:
    """Admits requests on one host against the quotas of their workspaces.

    Parameters
    ----------
    mesh : Mesh
        Links to other processes.
    leader : callable
        Returns the leader of the control group, or None if unknown.
    hosts : callable
        Returns the number of hosts that share the quotas.
    clock : Clock
        Monotonic time that counts suspensions.
    rng : random.Random
        Generator for the jitter of retry delays.
    """

    def __init__(
        self,
        mesh: Mesh,
        leader: Callable[[], NodeId | None],
        hosts: Callable[[], int],
        clock: Clock,
        rng: Random,
    ):
        self._mesh = mesh
        self._leader = leader
        self._hosts = hosts
        self._clock = clock
        self._rng = rng
        self._balances: dict[WorkspaceId, QuotaBalance] = {}
        self._unresponsive_leader: NodeId | None = None
        self._unresponsive_until = float("-inf")

    async def admit(self, spec: WorkspaceSpec, cost: float, rank: int) -> None:
        """Charge the cost of a request to its workspace's quota.

        Parameters
        ----------
        spec : WorkspaceSpec
            Workspace with the quota in force.
        cost : float
            Cost of the request.
        rank : int
            Rank of its route; 0 is the most urgent.

        Raises
        ------
        UnavailableError
            Of kind ``over_limit`` if the local balance is too low and the leader
            grants no more, or does not reply; has a retry delay.
        """
        if not spec.rate_per_s:
            return
        balance = self._balances.setdefault(spec.name, QuotaBalance())
        now = self._clock()
        record_demand(balance, cost, now)
        is_stale = now - balance.granted_at > UNUSED_GRANT_TTL_S
        favoured = is_favoured(spec, cost, rank)
        empty_until = _empty_until(balance, favoured)
        if (is_stale or balance.available < cost) and now >= empty_until:
            await self._refill(spec, balance, cost, favoured)
        share_per_s = spec.rate_per_s / max(1, self._hosts())
        now = self._clock()
        if not may_admit(balance, cost, share_per_s, self._is_unresponsive(now), now):
            raise self._over_limit_error(spec, balance, cost)
        balance.available -= cost

    def refund(self, spec: WorkspaceSpec | None, cost: float) -> None:
        """Refund the cost of a request that was not run."""
        if spec is not None and spec.name in self._balances:
            self._balances[spec.name].available += cost

    def _is_unresponsive(self, now: float) -> bool:
        """Return whether the current leader recently failed to reply."""
        return (
            now < self._unresponsive_until
            and self._leader() == self._unresponsive_leader
        )

    async def _refill(
        self, spec: WorkspaceSpec, balance: QuotaBalance, cost: float, favoured: bool
    ) -> None:
        while balance.pending_request is not None:
            await balance.pending_request.wait()
            is_empty = self._clock() < _empty_until(balance, favoured)
            if balance.available >= cost or is_empty:
                return
        if self._is_unresponsive(self._clock()):
            refill_locally(balance, spec, self._hosts(), self._clock())
            return
        balance.pending_request = anyio.Event()
        try:
            await self._request_grant(spec, balance, cost, favoured)
        finally:
            balance.pending_request.set()
            balance.pending_request = None

    async def _request_grant(
        self, spec: WorkspaceSpec, balance: QuotaBalance, cost: float, favoured: bool
    ) -> None:
        leader = self._leader()
        quota_request = make_quota_request(
            spec.name, balance, cost, self._clock(), favoured
        )
        try:
            if leader is None:
                raise UnavailableError(
                    ErrorKind.NO_QUORUM, "the leader of the control group is unknown"
                )
            reply = await self._mesh.request(
                leader, LeaseQuota((quota_request,)), ASK_TIMEOUT_S
            )
        except CranberryfieldError as error:
            balance.available += quota_request.returned
            now = self._clock()
            self._unresponsive_leader, self._unresponsive_until = (
                leader,
                now + LEADER_RETRY_S,
            )
            refill_locally(balance, spec, self._hosts(), now)
            logger.debug(
                "quota request to the leader failed",
                workspace=spec.name,
                detail=error.detail,
            )
            return
        balance.local_refill_at = None
        for grant in reply.grants:
            self._apply_grant(balance, grant, favoured)

    def _apply_grant(
        self, balance: QuotaBalance, grant: QuotaGrant, favoured: bool
    ) -> None:
        now = self._clock()
        balance.available += grant.amount
        balance.granted_at = now
        if grant.next_ms:
            until = now + min(grant.next_ms / MS_PER_S, MAX_EMPTY_WAIT_S)
            balance.empty_until = max(until, balance.empty_until)
            if favoured:
                balance.favoured_empty_until = until

    def _over_limit_error(
        self, spec: WorkspaceSpec, balance: QuotaBalance, cost: float
    ) -> CranberryfieldError:
        share_per_s = spec.rate_per_s / max(1, self._hosts())
        wait_s = record_refusal(balance.backlog, cost, share_per_s, self._clock())
        return UnavailableError(
            ErrorKind.OVER_LIMIT,
            f"the quota of {spec.name} is exhausted on this host: the request costs "
            f"{cost:.0f}, {balance.available:.0f} is available, the quota of all hosts "
            f"together is {spec.rate_per_s:.0f} per second",
            retry_after_s=wait_s * self._rng.uniform(1.0, 1.0 + RETRY_JITTER),
        )
