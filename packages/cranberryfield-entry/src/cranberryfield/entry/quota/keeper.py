"""Hands out parts of quotas on the leader of the control group."""

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil

from cranberryfield.core.clock import Clock
from cranberryfield.core.deployment import Deployment, WorkspaceSpec
from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.ids import NodeId, WorkspaceId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.reports import (
    LeaseQuota,
    QuotaGrant,
    QuotaLeased,
    QuotaRequest,
)
from cranberryfield.entry.limits.tokens import KeeperTokens, refill

__all__ = ["QuotaKeeper", "QuotaLeeway", "grant_quota"]

MS_PER_S = 1000
#: Parts of the tolerated overage and of the fixed tolerance that are used.
OVERAGE_PART = 0.5
BURST_PART = 0.4
DEBT_PART = 0.2


@dataclass(frozen=True, slots=True)
class QuotaLeeway:
    """How far beyond its quota a workspace may go.

    Attributes
    ----------
    rate_factor : float
        What the rate is multiplied by.
    more_burst : float
        What is added to the burst.
    debt : float
        How far one request may overdraw what there is, so that large requests
        are admitted as readily as small ones. What is overdrawn is waited for
        before the next grant.
    """

    rate_factor: float = 1.0
    more_burst: float = 0.0
    debt: float = 0.0

    @classmethod
    def from_tolerance(cls, overage: float, tolerance: float) -> "QuotaLeeway":
        """Return what may be used of what is tolerated in any window.

        Parameters
        ----------
        overage : float
            Part of the quota that is tolerated beyond it.
        tolerance : float
            What is tolerated besides, in each window.

        Returns
        -------
        QuotaLeeway
            Less than that in all; the rest is for what hosts hold unused.
        """
        return cls(
            1.0 + OVERAGE_PART * overage,
            BURST_PART * tolerance,
            DEBT_PART * tolerance,
        )


def grant_quota(
    keeper: KeeperTokens,
    spec: WorkspaceSpec,
    wish: QuotaRequest,
    leeway: QuotaLeeway,
    now: float,
) -> tuple[int, int]:
    """Return how much of a quota a host gets, and when to ask for more.

    Parameters
    ----------
    keeper : KeeperTokens
        Changed in place.
    spec : WorkspaceSpec
        The quota in force.
    wish : QuotaRequest
        What the host asks for.
    leeway : QuotaLeeway
        How far beyond the quota the workspace may go.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    granted : int
        What is needed, and of what is expected at most half of what is left;
        or nothing.
    next_ms : int
        Milliseconds after which what is needed should be there.

    Examples
    --------
    >>> keeper = KeeperTokens(1000.0, 0.0)
    >>> spec = WorkspaceSpec("notary", rate_per_s=100.0, burst=1000.0)
    >>> wish = QuotaRequest("notary", needed=600, ahead=300)
    >>> leeway = QuotaLeeway(debt=400.0)
    >>> [grant_quota(keeper, spec, wish, leeway, 0.0) for _ in range(2)]
    [(800, 0), (600, 0)]
    >>> grant_quota(keeper, spec, wish, leeway, 0.0)
    (0, 4010)
    """
    rate_per_s = spec.rate_per_s * leeway.rate_factor
    refill(keeper, rate_per_s, now, max(spec.burst, 1.0) + leeway.more_burst)
    keeper.tokens += wish.returned
    allowed = keeper.tokens >= wish.needed or (
        keeper.tokens > 0 and keeper.tokens - wish.needed >= -leeway.debt
    )
    if not allowed:
        short = min(wish.needed - keeper.tokens, max(1.0, 1.0 - keeper.tokens))
        return 0, ceil(short / rate_per_s * MS_PER_S)
    keeper.tokens -= wish.needed
    ahead = int(max(0.0, min(wish.ahead, keeper.tokens / 2)))
    keeper.tokens -= ahead
    return wish.needed + ahead, 0


class QuotaKeeper:
    """The buckets of all workspaces.

    A new leader does not know what its predecessor granted, so its buckets
    start empty.

    Parameters
    ----------
    mesh : Mesh
        Links to other processes.
    leading_term : callable
        Returns the term in which this host leads; None if it does not.
    deployment : callable
        Returns the deployment that this host has applied.
    leader_since : callable
        Returns the time at which this host began to lead.
    leeway : QuotaLeeway
        How far beyond its quota a workspace may go.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        mesh: Mesh,
        leading_term: Callable[[], int | None],
        deployment: Callable[[], Deployment | None],
        leader_since: Callable[[], float],
        leeway: QuotaLeeway,
        clock: Clock,
    ):
        self._leeway = leeway
        self._leading_term = leading_term
        self._leader_since = leader_since
        self._deployment = deployment
        self._clock = clock
        self._term: int | None = None
        self._buckets: dict[WorkspaceId, KeeperTokens] = {}
        mesh.handle(LeaseQuota, self._on_lease)

    def _on_lease(self, sender: NodeId, message: LeaseQuota) -> QuotaLeased:
        term = self._leading_term()
        deployment = self._deployment()
        if term is None or deployment is None:
            raise ControlError(ErrorKind.NO_QUORUM, "this host does not lead")
        if term != self._term:
            self._term, self._buckets = term, {}
        specs = {one.name: one for one in deployment.workspaces}
        grants = [
            self._grant(specs[w.workspace], w)
            for w in message.requests
            if w.workspace in specs
        ]
        return QuotaLeased(tuple(grants))

    def _grant(self, spec: WorkspaceSpec, wish: QuotaRequest) -> QuotaGrant:
        if not spec.rate_per_s:
            return QuotaGrant(wish.workspace, wish.needed + wish.ahead, 0)
        bucket = self._buckets.get(wish.workspace)
        if bucket is None:
            bucket = KeeperTokens(at=self._leader_since())
            self._buckets[wish.workspace] = bucket
        granted, next_ms = grant_quota(bucket, spec, wish, self._leeway, self._clock())
        return QuotaGrant(wish.workspace, granted, next_ms)
