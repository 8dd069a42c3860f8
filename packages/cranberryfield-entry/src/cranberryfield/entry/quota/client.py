"""Admits requests of workspaces within what the leader has granted."""

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
#: A host asks for what it needs and for its demand of this time, in seconds.
AHEAD_S = 0.4
#: Time over which demand is averaged, in seconds.
AVERAGE_S = 2.0
#: Unused grants are given back after this time, in seconds.
KEEP_S = 1.5
#: Time that a request waits for the leader's answer, in seconds: a quarter of
#: the shortest target for a first event.
ASK_TIMEOUT_S = 0.12
#: Time for which a leader that has not answered is not asked again, in seconds.
SILENT_S = 0.5
#: Longest time without asking again after nothing was granted, in seconds.
LONGEST_WAIT_S = 0.3
#: Part of an even share of the quota that a host uses while no leader answers.
LOCAL_PART = 0.6
#: Time without a limit after which a quota counts as ample, in seconds.
AMPLE_S = 5.0
#: How far a host without a leader overdraws its share of an ample quota, as a
#: time whose share that is, in seconds. What a workspace has left unused of the
#: window before covers it, and the leader takes it off what it grants next.
OVERDRAWN_S = 3.0
MIN_RETRY_AFTER_S = 0.1
#: Part of the time to come back by which it is spread.
SPREAD_PART = 0.5

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class Holding:
    """What this host holds of one workspace's quota.

    Attributes
    ----------
    amount : float
        What may be used without asking.
    granted_at : float
        Monotonic time in seconds of the last grant.
    none_until : float
        Monotonic time in seconds before which the leader has no more.
    demand_per_s : float
        What is asked for here in a second, as of `demand_at`.
    local_at : float
        Monotonic time in seconds up to which the local share is counted, while
        no leader answers.
    refused : float
        What was refused here and has not been made up for, as of `refused_at`.
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
    """Count a request that wants to be admitted into the demand."""
    elapsed_s = max(0.0, now - holding.demand_at)
    holding.demand_per_s *= max(0.0, 1.0 - elapsed_s / AVERAGE_S)
    holding.demand_per_s += cost / AVERAGE_S
    holding.demand_at = now


def next_wish(
    workspace: WorkspaceId, holding: Holding, cost: float, now: float
) -> QuotaRequest:
    """Return what to ask for, and give back what was not used for long.

    Examples
    --------
    >>> next_wish("notary", Holding(100.0, 5.0, demand_per_s=1000.0), 300.0, 5.5)
    QuotaRequest(workspace='notary', needed=200, ahead=400, returned=0)
    >>> next_wish("notary", Holding(100.0, 5.0), 300.0, 9.0)
    QuotaRequest(workspace='notary', needed=300, ahead=0, returned=100)
    """
    returned = 0
    if now - holding.granted_at > KEEP_S and holding.amount > 0.0:
        returned, holding.amount = int(holding.amount), 0.0
    needed = ceil(max(0.0, cost - holding.amount))
    ahead = int(holding.demand_per_s * AHEAD_S)
    return QuotaRequest(workspace, needed, ahead, returned)


def may_use(
    holding: Holding, cost: float, share_per_s: float, is_silent: bool, now: float
) -> bool:
    """Say whether a request may be admitted with what this host holds.

    Parameters
    ----------
    holding : Holding
        What there is.
    cost : float
        What the request counts.
    share_per_s : float
        This host's even share of the quota, a second.
    is_silent : bool
        Whether no leader answers. Requests of a quota that was ample then
        overdraw it: an even share is less than one request where there are
        many hosts.
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
    """Count a refused request; return when there may be room for it, in seconds.

    Parameters
    ----------
    holding : Holding
        Changed in place.
    cost : float
        What the request counts.
    share_per_s : float
        This host's even share of the quota, a second.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    float
        The time that the share takes to make up for all that was refused, so
        that those who return do not take the place of requests that have just
        come.

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
    """Add this host's share of the quota for the time without a leader."""
    share_per_s = LOCAL_PART * spec.rate_per_s / max(1, hosts)
    if holding.local_at is not None:
        gained = (now - holding.local_at) * share_per_s
        most = max(holding.amount, share_per_s * AVERAGE_S)
        holding.amount = min(most, holding.amount + gained)
        holding.granted_at = now
    holding.local_at = now


class QuotaClient:
    """Admits requests on one host.

    Parameters
    ----------
    mesh : Mesh
        Links to other processes.
    leader : callable
        Returns the leader of the control group, if known.
    hosts : callable
        Returns the number of hosts that share each quota.
    clock : Clock
        Monotonic time that counts suspensions.
    rng : random.Random
        Spreads the times at which refused callers return.
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
        """Take what a request costs out of its workspace's quota.

        Parameters
        ----------
        spec : WorkspaceSpec
            The workspace, with the quota in force.
        cost : float
            What the request counts.

        Raises
        ------
        UnavailableError
            Of kind ``over_limit`` if the quota does not allow it now, with a
            time at which it may.
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
        """Return what a request cost that was not run after all."""
        if spec is not None and spec.name in self._holdings:
            self._holdings[spec.name].amount += cost

    def _is_silent(self, now: float) -> bool:
        """Say whether the present leader has just failed to answer."""
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
                raise UnavailableError(ErrorKind.NO_QUORUM, "no leader is known")
            reply = await self._mesh.request(leader, LeaseQuota((wish,)), ASK_TIMEOUT_S)
        except CranberryfieldError as error:
            holding.amount += wish.returned
            now = self._clock()
            self._silent, self._silent_until = leader, now + SILENT_S
            refill_locally(holding, spec, self._hosts(), now)
            logger.debug("quota not leased", workspace=spec.name, detail=error.detail)
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
            f"the quota of {spec.name} is used up: {cost:.0f} wanted, "
            f"{holding.amount:.0f} held, {spec.rate_per_s:.0f} a second in all",
            retry_after_s=wait_s * self._rng.uniform(1.0, 1.0 + SPREAD_PART),
        )
