"""Reports of relay hosts to the leader on load, demand and usage."""

from cranberryfield.core.ids import (
    Incarnation,
    ServiceName,
    UpstreamId,
    WorkspaceId,
)
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = [
    "HostReport",
    "HostsView",
    "LeaseQuota",
    "LoadShare",
    "QuotaGrant",
    "QuotaLeased",
    "QuotaRequest",
    "ServiceDemand",
    "SettleUsage",
    "UpstreamLimit",
    "UsageReported",
    "UsageSettled",
    "UsageShare",
]


class LoadShare(NestedRecord):
    """Requests that one host has in progress at one upstream.

    Attributes
    ----------
    prefill_tokens : int
        Prompt tokens of these requests that are still to be processed.
    """

    upstream: UpstreamId
    in_flight: int
    prefill_tokens: int


class UsageShare(NestedRecord):
    """Number of a workspace's runs that one host started in a usage window."""

    window: int
    workspace: WorkspaceId
    count: int


class ServiceDemand(NestedRecord):
    """Demand of one host's callers for a service, as moving averages.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens to process per second.
    in_flight : float
        Requests in progress.
    streams_per_s, paused_per_s : float
        Streamed answers that ended per second, and those among them with a
        gap between events longer than their route allows.
    """

    service: ServiceName
    prefill_tokens_per_s: float
    in_flight: float
    streams_per_s: float = 0.0
    paused_per_s: float = 0.0


class UpstreamLimit(NestedRecord):
    """Limit that an upstream states in its answers, for all hosts together.

    Attributes
    ----------
    rate_per_s : float or None
        Requests per second; None if it has stopped to state a limit.
    age_ms : float
        Time since the statement, in milliseconds.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    rate_per_s: float | None
    age_ms: float


class HostReport(Message):
    """Periodic report of a relay host to the leader.

    Attributes
    ----------
    incarnation : int
        Number that grows with each start of the host, at which its counts
        restart from 0.
    loads : tuple of LoadShare
        Its requests in progress, by upstream.
    usage : tuple of UsageShare
        Usage counts that the leader may not have yet.
    demand : tuple of ServiceDemand
        Demand of its callers, by service.
    limits : tuple of UpstreamLimit
        Limits of upstreams that the leader may not know yet.
    limits_digest : int
        Digest of all limits in force that the host knows.
    """

    incarnation: int
    loads: tuple[LoadShare, ...]
    usage: tuple[UsageShare, ...] = ()
    demand: tuple[ServiceDemand, ...] = ()
    limits: tuple[UpstreamLimit, ...] = ()
    limits_digest: int = 0


class HostsView(Message):
    """Answers a `HostReport`.

    Attributes
    ----------
    term : int
        The leader's term; 0 if the receiver is not the leader and discarded the
        report.
    hosts : int
        Number of relay hosts that have reported recently.
    loads : tuple of LoadShare
        Requests in progress from all other hosts.
    limits : tuple of UpstreamLimit or None
        All limits of upstreams that the leader knows; None if the host knows them.
    """

    term: int
    hosts: int = 0
    loads: tuple[LoadShare, ...] = ()
    limits: tuple[UpstreamLimit, ...] | None = None


class QuotaRequest(NestedRecord):
    """Request of a host for a part of a workspace's quota.

    Attributes
    ----------
    needed : int
        Amount that a waiting request lacks; a smaller grant is of no use.
    ahead : int
        Amount that upcoming requests are expected to need.
    returned : int
        Unused amount of earlier grants.
    is_favoured : bool
        Whether the waiting request goes before others of its workspace while the
        quota is short.
    """

    workspace: WorkspaceId
    needed: int
    ahead: int
    returned: int = 0
    is_favoured: bool = False


class LeaseQuota(Message):
    """Requests parts of workspace quotas from the leader."""

    requests: tuple[QuotaRequest, ...]


class QuotaGrant(NestedRecord):
    """A part of a workspace's quota.

    Attributes
    ----------
    amount : int
        Amount that the receiver may use.
    next_ms : int
        Time in milliseconds until more may be available, if less was granted
        than requested.
    """

    workspace: WorkspaceId
    amount: int
    next_ms: int


class QuotaLeased(Message):
    """Answers `LeaseQuota`; omits workspaces that have no limit."""

    grants: tuple[QuotaGrant, ...]


class SettleUsage(Message):
    """Fixes the usage counts to report for a window; the first command wins."""

    window: int
    counts: dict[WorkspaceId, int]


class UsageSettled(Message):
    """Result of `SettleUsage`: the counts that every leader must report."""

    window: int
    counts: dict[WorkspaceId, int]
    is_reported: bool


class UsageReported(Message):
    """Records that the usage report of a window was accepted."""

    window: int
