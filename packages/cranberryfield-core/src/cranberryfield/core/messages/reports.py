"""What relay hosts tell the leader of themselves, and what it answers."""

from cranberryfield.core.ids import ServiceName, UpstreamId, WorkspaceId
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = [
    "HostReport",
    "HostsView",
    "LeaseQuota",
    "LoadShare",
    "QuotaGrant",
    "QuotaLeased",
    "QuotaWish",
    "ServiceDemand",
    "SettleUsage",
    "UsageReported",
    "UsageSettled",
    "UsageShare",
]


class LoadShare(NestedRecord):
    """Requests of one host in progress at one upstream.

    Attributes
    ----------
    prefill_tokens : int
        Their prompt tokens that are still to be read.
    """

    upstream: UpstreamId
    in_flight: int
    prefill_tokens: int


class UsageShare(NestedRecord):
    """Requests of a workspace whose runs began in a window, at one host."""

    window: int
    workspace: WorkspaceId
    count: int


class ServiceDemand(NestedRecord):
    """What callers of one host ask of a service, as moving averages.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens to be read in a second.
    in_flight : float
        Requests in progress.
    streams_per_s, paused_per_s : float
        Streamed answers that ended in a second, and those of them whose events
        came further apart than their route allows.
    """

    service: ServiceName
    prefill_tokens_per_s: float
    in_flight: float
    streams_per_s: float = 0.0
    paused_per_s: float = 0.0


class HostReport(Message):
    """What a relay host tells the leader of itself.

    Attributes
    ----------
    incarnation : int
        Counts the host's starts: its counts begin anew with each.
    loads : tuple of LoadShare
        Upstreams at which it has requests in progress.
    usage : tuple of UsageShare
        Counts that the leader may not have yet.
    demand : tuple of ServiceDemand
        What its callers ask for.
    """

    incarnation: int
    loads: tuple[LoadShare, ...]
    usage: tuple[UsageShare, ...] = ()
    demand: tuple[ServiceDemand, ...] = ()


class HostsView(Message):
    """Answers a `HostReport`.

    Attributes
    ----------
    term : int
        The leader's; 0 from a host that does not lead and has kept nothing.
    hosts : int
        Relay hosts that have reported lately.
    loads : tuple of LoadShare
        Requests of all other hosts in progress.
    """

    term: int
    hosts: int = 0
    loads: tuple[LoadShare, ...] = ()


class QuotaWish(NestedRecord):
    """What a host wants of a workspace's quota.

    Attributes
    ----------
    needed : int
        What a request that waits lacks; less than that is of no use.
    ahead : int
        What requests are expected to need soon.
    returned : int
        What was granted before and has not been used.
    """

    workspace: WorkspaceId
    needed: int
    ahead: int
    returned: int = 0


class LeaseQuota(Message):
    """Asks the leader for parts of quotas."""

    wishes: tuple[QuotaWish, ...]


class QuotaGrant(NestedRecord):
    """A part of a workspace's quota.

    Attributes
    ----------
    amount : int
        What the asker may use.
    next_ms : int
        Time after which there may be more, if this is less than asked for.
    """

    workspace: WorkspaceId
    amount: int
    next_ms: int


class QuotaLeased(Message):
    """Answers `LeaseQuota`; without the workspaces that have no limit."""

    grants: tuple[QuotaGrant, ...]


class SettleUsage(Message):
    """Settles what is reported of a window; the first one is kept."""

    window: int
    counts: dict[WorkspaceId, int]


class UsageSettled(Message):
    """Result of `SettleUsage`: what is to be reported, by every leader."""

    window: int
    counts: dict[WorkspaceId, int]
    is_reported: bool


class UsageReported(Message):
    """Notes that the report of a window was accepted."""

    window: int
