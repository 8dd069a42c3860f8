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
from cranberryfield.core.messages.reports import LeaseQuota, QuotaGrant, QuotaWish

__all__ = [
    "Holding",
    "QuotaClient",
    "may_use",
    "next_wish",
    "note_refused",
    "note_wish",
    "refill_locally",
]

MS_PER_S = 1000
#: Expected demand that a host requests in advance, as a time in seconds.
AHEAD_S = 0.4
#: Averaging window of the demand, in seconds.
AVERAGE_S = 2.0
#: Age at which an unused grant is returned to the leader, in seconds.
KEEP_S = 1.5
#: Timeout of a quota request to the leader, in seconds: a quarter of the shortest
#: latency target of a first event.
ASK_TIMEOUT_S = 0.12
#: Time before a leader that did not reply is asked again, in seconds.
SILENT_S = 0.5
#: Maximum time before the leader is asked again after a refusal, in seconds.
LONGEST_WAIT_S = 0.3
#: Fraction of its even share that a host uses while the leader is unresponsive.
LOCAL_PART = 0.6
#: Time since the last refusal after which a quota counts as ample, in seconds.
AMPLE_S = 5.0
#: Maximum overdraft of an ample quota on a host without a leader, in seconds of
#: the host's even share. It is covered by the quota that the workspace left unused
#: in the previous window, and the leader deducts it from the next grant.
OVERDRAWN_S = 3.0
MIN_RETRY_AFTER_S = 0.1
#: Maximum jitter of the retry delay, as a fraction of it.
SPREAD_PART = 0.5

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class Holding:
    """Local balance of one workspace's quota on this host.

    Attributes
    ----------
    amount : float
        Cost that may be admitted without asking the leader; negative if overdrawn.
    granted_at : float
        Monotonic time in seconds of the last grant.
    none_until : float
        Monotonic time in seconds before which the leader has no more to grant.
    demand_per_s : float
        Average cost requested on this host per second, as of `demand_at`.
    local_at : float
        Monotonic time in seconds of the last local refill; None unless the leader
        is unresponsive.
    refused : float
        Refused cost that the even share has not yet compensated, as of `refused_at`.
    asking : anyio.Event or None
        Set when the pending request to the leader ends; None if there is none.
    """

    amount: float = 0.0
    granted_at: float = float("-inf")
    none_until: float = float("-inf")
    demand_per_s: float = 0.0
    demand_at: float = 0.0
    local_at: float | None = None
    refused: float = 0.0
    refused_at: float = 0.0
    asking: anyio.Event | None = field(default=None)


def note_wish(holding: Holding, cost: float, now: float) -> None:
    """Add the cost of a request to the average demand."""
    elapsed_s = max(0.0, now - holding.demand_at)
    holding.demand_per_s *= max(0.0, 1.0 - elapsed_s / AVERAGE_S)
    holding.demand_per_s += cost / AVERAGE_S
    holding.demand_at = now


def next_wish(
    workspace: WorkspaceId, holding: Holding, cost: float, now: float
) -> QuotaWish:
    """Return a quota request to the leader, which also returns expired grants.

    Examples
    --------
    >>> next_wish("notary", Holding(100.0, 5.0, demand_per_s=1000.0), 300.0, 5.5)
    QuotaWish(workspace='notary', needed=200, ahead=400, returned=0)
    >>> next_wish("notary", Holding(100.0, 5.0), 300.0, 9.0)
    QuotaWish(workspace='notary', needed=300, ahead=0, returned=100)
    """
    returned = 0
    if now - holding.granted_at > KEEP_S and holding.amount > 0.0:
        returned, holding.amount = int(holding.amount), 0.0
    needed = ceil(max(0.0, cost - holding.amount))
    ahead = int(holding.demand_per_s * AHEAD_S)
    return QuotaWish(workspace, needed, ahead, returned)


def may_use(
    holding: Holding, cost: float, share_per_s: float, is_silent: bool, now: float
) -> bool:
    """Return whether the local balance allows a request.

    Parameters
    ----------
    holding : Holding
        Local balance.
    cost : float
        Cost of the request.
    share_per_s : float
        This host's even share of the quota per second.
    is_silent : bool
        Whether the leader is unresponsive. An ample quota may then be overdrawn,
        since with many hosts the even share is less than one request.
    now : float
        Monotonic time in seconds.

    Examples
    --------
    >>> ample, limited = Holding(50.0), Holding(50.0, none_until=9.0)
    >>> [may_use(one, 90.0, 20.0, True, 10.0) for one in (ample, limited)]
    [True, False]
    >>> may_use(Holding(-61.0), 90.0, 20.0, True, 10.0)
    False
    """
    if holding.amount >= cost:
        return True
    is_ample = now - holding.none_until > AMPLE_S
    return is_silent and is_ample and holding.amount > -OVERDRAWN_S * share_per_s


def note_refused(
    holding: Holding, cost: float, share_per_s: float, now: float
) -> float:
    """Record a refused request and return its retry delay in seconds.

    Parameters
    ----------
    holding : Holding
        Changed in place.
    cost : float
        Cost of the request.
    share_per_s : float
        This host's even share of the quota per second.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Time in which the even share covers all refused cost, so that retries do
        not displace new requests.

    Examples
    --------
    >>> holding = Holding()
    >>> [note_refused(holding, 500.0, 1_000.0, now) for now in (5.0, 5.1, 5.2, 9.0)]
    [0.5, 0.9, 1.3, 0.5]
    """
    elapsed_s = max(0.0, now - holding.refused_at)
    left = max(0.0, holding.refused - elapsed_s * share_per_s)
    holding.refused, holding.refused_at = left + cost, now
    return round(max(MIN_RETRY_AFTER_S, holding.refused / share_per_s), 3)


def refill_locally(
    holding: Holding, spec: WorkspaceSpec, hosts: int, now: float
) -> None:
    """Refill the local balance from this host's share while there is no leader."""
    share_per_s = LOCAL_PART * spec.rate_per_s / max(1, hosts)
    if holding.local_at is not None:
        gained = (now - holding.local_at) * share_per_s
        most = max(holding.amount, share_per_s * AVERAGE_S)
        holding.amount = min(most, holding.amount + gained)
        holding.granted_at = now
    holding.local_at = now


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
        self._holdings: dict[WorkspaceId, Holding] = {}
        self._silent: NodeId | None = None
        self._silent_until = float("-inf")

    async def admit(self, spec: WorkspaceSpec, cost: float) -> None:
        """Charge the cost of a request to its workspace's quota.

        Parameters
        ----------
        spec : WorkspaceSpec
            Workspace with the quota in force.
        cost : float
            Cost of the request.

        Raises
        ------
        UnavailableError
            Of kind ``over_limit`` if the quota is exhausted; has a retry delay.
        """
        if not spec.rate_per_s:
            return
        holding = self._holdings.setdefault(spec.name, Holding())
        now = self._clock()
        note_wish(holding, cost, now)
        is_stale = now - holding.granted_at > KEEP_S
        if (is_stale or holding.amount < cost) and now >= holding.none_until:
            await self._ask(spec, holding, cost)
        share_per_s = spec.rate_per_s / max(1, self._hosts())
        now = self._clock()
        if not may_use(holding, cost, share_per_s, self._is_silent(now), now):
            raise self._over_limit(spec, holding, cost)
        holding.amount -= cost

    def give_back(self, spec: WorkspaceSpec | None, cost: float) -> None:
        """Refund the cost of a request that was not run."""
        if spec is not None and spec.name in self._holdings:
            self._holdings[spec.name].amount += cost

    def _is_silent(self, now: float) -> bool:
        """Return whether the current leader recently failed to reply."""
        return now < self._silent_until and self._leader() == self._silent

    async def _ask(self, spec: WorkspaceSpec, holding: Holding, cost: float) -> None:
        while holding.asking is not None:
            await holding.asking.wait()
            if holding.amount >= cost or self._clock() < holding.none_until:
                return
        if self._is_silent(self._clock()):
            refill_locally(holding, spec, self._hosts(), self._clock())
            return
        holding.asking = anyio.Event()
        try:
            await self._lease(spec, holding, cost)
        finally:
            holding.asking.set()
            holding.asking = None

    async def _lease(self, spec: WorkspaceSpec, holding: Holding, cost: float) -> None:
        leader = self._leader()
        wish = next_wish(spec.name, holding, cost, self._clock())
        try:
            if leader is None:
                raise UnavailableError(
                    ErrorKind.NO_QUORUM, "the leader of the control group is unknown"
                )
            reply = await self._mesh.request(leader, LeaseQuota((wish,)), ASK_TIMEOUT_S)
        except CranberryfieldError as error:
            holding.amount += wish.returned
            now = self._clock()
            self._silent, self._silent_until = leader, now + SILENT_S
            refill_locally(holding, spec, self._hosts(), now)
            logger.debug(
                "quota request to the leader failed",
                workspace=spec.name,
                detail=error.detail,
            )
            return
        holding.local_at = None
        for grant in reply.grants:
            self._take(holding, grant)

    def _take(self, holding: Holding, grant: QuotaGrant) -> None:
        now = self._clock()
        holding.amount += grant.amount
        holding.granted_at = now
        if grant.next_ms:
            holding.none_until = now + min(grant.next_ms / MS_PER_S, LONGEST_WAIT_S)

    def _over_limit(
        self, spec: WorkspaceSpec, holding: Holding, cost: float
    ) -> CranberryfieldError:
        share_per_s = spec.rate_per_s / max(1, self._hosts())
        wait_s = note_refused(holding, cost, share_per_s, self._clock())
        return UnavailableError(
            ErrorKind.OVER_LIMIT,
            f"the quota of {spec.name} is exhausted: the request costs {cost:.0f}, "
            f"{holding.amount:.0f} is available on this host, "
            f"the quota is {spec.rate_per_s:.0f} per second",
            retry_after_s=wait_s * self._rng.uniform(1.0, 1.0 + SPREAD_PART),
        )
