"""Sends reports of the load, demand and usage of this host to the leader."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId, UpstreamProcess, WorkspaceId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.reports import (
    HostReport,
    HostsView,
    LoadShare,
    UpstreamLimit,
    UsageShare,
)
from cranberryfield.entry.limits import StatedLimits
from cranberryfield.entry.limits.limit_exchange import (
    digest_limits,
    make_limit_report,
    merge_limit_report,
    unreported_limits,
)
from cranberryfield.entry.relay.demand import DemandSection, current_demand
from cranberryfield.entry.relay.loads import LoadSection, replace_remote_loads
from cranberryfield.entry.relay.usage import UsageSection, drop_windows_before

__all__ = ["HostReporter", "unreported_usage"]

REPORT_INTERVAL_S = 0.25
#: The same on a host that has had no request for `REST_AFTER_S`.
REST_INTERVAL_S = 1.0
REST_AFTER_S = 3.0
REQUEST_TIMEOUT_S = 0.5
#: Number of past windows whose counts are retained for a new leader.
RETAINED_WINDOWS = 5
#: Time after which a decrease of the number of hosts is accepted, in seconds: a new
#: leader has not received the reports of all hosts yet.
HOSTS_DECREASE_DELAY_S = 20.0
#: Number of hosts assumed until a leader has reported it.
INITIAL_HOSTS = 12

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class _Acknowledged:
    """Usage counts and limits that the leader of one term has acknowledged."""

    leader: NodeId | None = None
    term: int = 0
    counts: dict[tuple[int, WorkspaceId], int] = field(default_factory=dict)
    limits: dict[UpstreamProcess, float | None] = field(default_factory=dict)


def unreported_usage(
    section: UsageSection, acknowledged: dict[tuple[int, WorkspaceId], int]
) -> tuple[UsageShare, ...]:
    """Return the counts that differ from those acknowledged by the leader."""
    return tuple(
        UsageShare(window, workspace, count)
        for window, counts in section.counts.items()
        for workspace, count in counts.items()
        if acknowledged.get((window, workspace)) != count
    )


class HostReporter:
    """Reports to the leader and applies its reply about the other hosts.

    Parameters
    ----------
    mesh : Mesh
        Links to other processes.
    leader : callable
        Returns the leader of the control group, or None if unknown.
    loads : LoadSection
        Loads of upstreams; updated with the loads caused by other hosts.
    demand : DemandSection
        Demand of callers on this host.
    usage : UsageSection
        Counts of started runs on this host.
    limits : StatedLimits
        Limits that upstreams state; updated with what other hosts have heard.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        mesh: Mesh,
        leader: Callable[[], NodeId | None],
        loads: LoadSection,
        demand: DemandSection,
        usage: UsageSection,
        limits: StatedLimits,
        clock: Clock,
    ):
        self._mesh = mesh
        self._leader = leader
        self._loads = loads
        self._demand = demand
        self._usage = usage
        self._limits = limits
        self._clock = clock
        self._acknowledged = _Acknowledged()
        self._hosts = INITIAL_HOSTS
        self._hosts_at = clock()

    @property
    def hosts(self) -> int:
        """Number of relay hosts according to the leader."""
        return self._hosts

    async def run(self) -> None:
        """Send reports periodically until cancelled."""
        while True:
            await anyio.sleep(self._interval_s())
            drop_windows_before(
                self._usage, self._usage.current_window() - RETAINED_WINDOWS
            )
            leader = self._leader()
            if leader is not None:
                await self.report(leader)

    def _interval_s(self) -> float:
        """Return the time until the next report, longer on a host at rest."""
        idle_s = self._clock() - self._demand.arrived_at
        has_attempts = any(load.own_attempts for load in self._loads.loads.values())
        is_at_rest = idle_s > REST_AFTER_S and not has_attempts
        return REST_INTERVAL_S if is_at_rest else REPORT_INTERVAL_S

    async def report(self, leader: NodeId) -> None:
        """Send a report to the leader and apply its reply."""
        if leader != self._acknowledged.leader:
            self._acknowledged = _Acknowledged(leader)
        usage = unreported_usage(self._usage, self._acknowledged.counts)
        now = self._clock()
        unreported = unreported_limits(self._limits, self._acknowledged.limits)
        report = HostReport(
            self._mesh.hello.incarnation,
            self._own_loads(),
            usage,
            current_demand(self._demand, now),
            make_limit_report(self._limits, unreported, now),
            digest_limits(self._limits),
        )
        try:
            view = await self._mesh.request(leader, report, REQUEST_TIMEOUT_S)
        except CranberryfieldError as error:
            logger.debug(
                "report to the leader failed", host=leader, detail=error.detail
            )
            return
        if view.term:
            self._apply_view(view, report)

    def _own_loads(self) -> tuple[LoadShare, ...]:
        return tuple(
            LoadShare(
                upstream,
                len(load.own_attempts),
                load.own_prefill_tokens,
            )
            for upstream, load in self._loads.loads.items()
            if load.own_attempts
        )

    def _apply_view(self, view: HostsView, report: HostReport) -> None:
        if view.term != self._acknowledged.term:
            self._acknowledged = _Acknowledged(self._acknowledged.leader, view.term)
        else:
            counts = {(one.window, one.workspace): one.count for one in report.usage}
            self._acknowledged.counts.update(counts)
            self._acknowledged.limits.update(_rates(report.limits))
        if view.limits is not None:
            self._acknowledged.limits = _rates(view.limits)
            merge_limit_report(self._limits, view.limits, self._clock())
        self._update_hosts(view.hosts)
        totals = {
            one.upstream: (one.in_flight, one.prefill_tokens) for one in view.loads
        }
        replace_remote_loads(self._loads, totals, self._clock() - REPORT_INTERVAL_S / 2)

    def _update_hosts(self, hosts: int) -> None:
        now = self._clock()
        if hosts >= self._hosts or now - self._hosts_at > HOSTS_DECREASE_DELAY_S:
            self._hosts, self._hosts_at = max(1, hosts), now


def _rates(limits: tuple[UpstreamLimit, ...]) -> dict[UpstreamProcess, float | None]:
    return {(one.upstream, one.incarnation): one.rate_per_s for one in limits}
