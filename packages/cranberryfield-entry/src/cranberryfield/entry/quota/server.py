"""Quota grants by the leader of the control group."""

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
from cranberryfield.entry.limits.token_bucket import TokenBucket, refill

__all__ = ["FavouredDemand", "QuotaLeeway", "QuotaServer", "grant_quota"]

MS_PER_S = 1000
#: Fractions of the tolerated overage and of the fixed tolerance that are used.
OVERAGE_FACTOR = 0.5
BURST_FACTOR = 0.4
DEBT_FACTOR = 0.2
#: Demand of favoured requests for which quota is kept, as a time in seconds.
RESERVE_S = 1.0
#: Fraction of a quota that favoured requests may take before others.
MAX_FAVOURED_FRACTION = 0.8
#: Averaging window of the demand of favoured requests, in seconds.
DEMAND_WINDOW_S = 2.0


@dataclass(frozen=True, slots=True)
class QuotaLeeway:
    """Amount by which a workspace may exceed its quota.

    Attributes
    ----------
    rate_factor : float
        Factor applied to the rate.
    extra_burst : float
        Addition to the burst.
    max_debt : float
        Maximum overdraft of the bucket by one request, so that large requests are
        admitted as readily as small ones. The bucket must refill by the overdraft
        before the next grant.
    """

    rate_factor: float = 1.0
    extra_burst: float = 0.0
    max_debt: float = 0.0

    @classmethod
    def from_tolerance(cls, overage: float, tolerance: float) -> "QuotaLeeway":
        """Return the leeway for a tolerance that holds in each window.

        Parameters
        ----------
        overage : float
            Tolerated excess, as a fraction of the quota.
        tolerance : float
            Fixed tolerated excess in each window.

        Returns
        -------
        QuotaLeeway
            Less than the tolerance; the rest covers unused grants on the hosts.
        """
        return cls(
            1.0 + OVERAGE_FACTOR * overage,
            BURST_FACTOR * tolerance,
            DEBT_FACTOR * tolerance,
        )


@dataclass(slots=True)
class FavouredDemand:
    """Average amount that favoured requests of a workspace ask for per second.

    Attributes
    ----------
    per_s : float
        The average, as of `at`.
    at : float
        Monotonic time in seconds of the last request.
    """

    per_s: float = 0.0
    at: float = 0.0

    def at_time(self, now: float) -> float:
        """Return the average at a monotonic time in seconds.

        Examples
        --------
        >>> FavouredDemand(100.0, at=5.0).at_time(6.0)
        50.0
        """
        elapsed_s = max(0.0, now - self.at)
        return self.per_s * max(0.0, 1.0 - elapsed_s / DEMAND_WINDOW_S)

    def record(self, amount: float, now: float) -> None:
        """Add the amount of a request."""
        self.per_s = self.at_time(now) + amount / DEMAND_WINDOW_S
        self.at = now


def _kept_amount(
    favoured: FavouredDemand | None, is_favoured: bool, rate_per_s: float, now: float
) -> float | None:
    """Return the amount that a request has to leave; None if it may use up all.

    Favoured requests lose their advantage if they alone would use most of the quota,
    so that the others are not starved.
    """
    if favoured is None:
        return 0.0
    demand_per_s = favoured.at_time(now)
    if demand_per_s > MAX_FAVOURED_FRACTION * rate_per_s:
        return 0.0
    return None if is_favoured else RESERVE_S * demand_per_s


def grant_quota(
    bucket: TokenBucket,
    spec: WorkspaceSpec,
    quota_request: QuotaRequest,
    leeway: QuotaLeeway,
    now: float,
    favoured: FavouredDemand | None = None,
) -> tuple[int, int]:
    """Grant a part of a quota to a host.

    Parameters
    ----------
    bucket : TokenBucket
        Changed in place.
    spec : WorkspaceSpec
        Workspace with the quota in force.
    quota_request : QuotaRequest
        Quota requested by the host.
    leeway : QuotaLeeway
        Amount by which the workspace may exceed its quota.
    now : float
        Monotonic time in seconds.
    favoured : FavouredDemand, optional
        Demand of the workspace's favoured requests, for which other requests leave
        a part.

    Returns
    -------
    granted : int
        The needed amount plus the amount requested in advance, the latter limited
        to half of the remaining tokens; 0 if the needed amount is not available.
    next_ms : int
        Milliseconds after which the needed amount should be available; 0 if granted.

    Examples
    --------
    >>> bucket = TokenBucket(1000.0, 0.0)
    >>> spec = WorkspaceSpec("notary", rate_per_s=100.0, burst=1000.0)
    >>> quota_request = QuotaRequest("notary", needed=600, ahead=300)
    >>> leeway = QuotaLeeway(max_debt=400.0)
    >>> [grant_quota(bucket, spec, quota_request, leeway, 0.0) for _ in range(2)]
    [(800, 0), (600, 0)]
    >>> grant_quota(bucket, spec, quota_request, leeway, 0.0)
    (0, 4010)
    """
    rate_per_s = spec.rate_per_s * leeway.rate_factor
    refill(bucket, rate_per_s, now, max(spec.burst, 1.0) + leeway.extra_burst)
    bucket.tokens += quota_request.returned
    kept = _kept_amount(favoured, quota_request.is_favoured, rate_per_s, now)
    left = bucket.tokens - quota_request.needed
    if kept is None:
        allowed = left >= -leeway.max_debt
    else:
        may_overdraw = bucket.tokens > kept and left >= kept - leeway.max_debt
        allowed = left >= kept or may_overdraw
    if not allowed:
        available = bucket.tokens - (kept or 0.0)
        missing = min(quota_request.needed - available, max(1.0, 1.0 - available))
        return 0, ceil(missing / rate_per_s * MS_PER_S)
    bucket.tokens = left
    ahead = int(max(0.0, min(quota_request.ahead, (left - (kept or 0.0)) / 2)))
    bucket.tokens -= ahead
    return quota_request.needed + ahead, 0


class QuotaServer:
    """Token buckets of all workspaces on the leader.

    The buckets of a new leader start empty, since it does not know what its
    predecessor granted.

    Parameters
    ----------
    mesh : Mesh
        Links to other processes.
    leading_term : callable
        Returns the term in which this host is the leader; None if it is not.
    deployment : callable
        Returns the deployment that this host has applied.
    leader_since : callable
        Returns the monotonic time at which this host became the leader.
    leeway : QuotaLeeway
        Amount by which a workspace may exceed its quota.
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
        self._buckets: dict[WorkspaceId, TokenBucket] = {}
        self._favoured: dict[WorkspaceId, FavouredDemand] = {}
        mesh.handle(LeaseQuota, self._on_lease_quota)

    def _on_lease_quota(self, sender: NodeId, message: LeaseQuota) -> QuotaLeased:
        term = self._leading_term()
        deployment = self._deployment()
        if term is None or deployment is None:
            raise ControlError(
                ErrorKind.NO_QUORUM, "this host is not the leader of the control group"
            )
        if term != self._term:
            self._term, self._buckets, self._favoured = term, {}, {}
        specs = {one.name: one for one in deployment.workspaces}
        grants = [
            self._grant(specs[quota_request.workspace], quota_request)
            for quota_request in message.requests
            if quota_request.workspace in specs
        ]
        return QuotaLeased(tuple(grants))

    def _grant(self, spec: WorkspaceSpec, quota_request: QuotaRequest) -> QuotaGrant:
        if not spec.rate_per_s:
            return QuotaGrant(
                quota_request.workspace, quota_request.needed + quota_request.ahead, 0
            )
        bucket = self._buckets.get(quota_request.workspace)
        if bucket is None:
            bucket = TokenBucket(refilled_at=self._leader_since())
            self._buckets[quota_request.workspace] = bucket
        now = self._clock()
        favoured = self._favoured.setdefault(spec.name, FavouredDemand())
        if quota_request.is_favoured:
            favoured.record(quota_request.needed, now)
        granted, next_ms = grant_quota(
            bucket, spec, quota_request, self._leeway, now, favoured
        )
        return QuotaGrant(quota_request.workspace, granted, next_ms)
