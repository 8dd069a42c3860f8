"""Collects and aggregates the reports of relay hosts on the leader."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import NodeId, ServiceName, UpstreamId, WorkspaceId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.reports import (
    HostReport,
    HostsView,
    LoadShare,
    ServiceDemand,
    UpstreamLimit,
)
from cranberryfield.entry.limits import StatedLimits
from cranberryfield.entry.limits.limit_exchange import (
    digest_limits,
    make_limit_report,
    merge_limit_report,
)
from cranberryfield.entry.limits.stated_limits import forget_limits
from cranberryfield.entry.registry import RegistryTable

__all__ = [
    "CollectedReports",
    "ReportCollector",
    "forget_silent_hosts",
    "loads_of_other_hosts",
    "record_report",
]

#: Age at which the report of a host is ignored, in seconds.
REPORT_TTL_S = 2.0
RETAINED_WINDOWS = 8


@dataclass(slots=True)
class _ReceivedReport:
    report: HostReport
    received_at: float


@dataclass(slots=True)
class CollectedReports:
    """Section of the blackboard: reports of relay hosts in one term.

    Loads are kept as running totals, so that the cost of a report depends on what
    its host has in progress and not on the number of hosts.

    Attributes
    ----------
    hosts : dict
        Latest report of each host, the one that was received first at the start.
    totals : dict
        By upstream, the requests in progress from all these hosts, and the prompt
        tokens of these that are still to be processed.
    usage : dict
        Started runs in each window by host, incarnation and workspace.
    """

    hosts: dict[NodeId, _ReceivedReport] = field(default_factory=dict)
    totals: dict[UpstreamId, tuple[int, int]] = field(default_factory=dict)
    usage: dict[int, dict[tuple[NodeId, int, WorkspaceId], int]] = field(
        default_factory=dict
    )

    def usage_in_window(self, window: int) -> dict[WorkspaceId, int]:
        """Return the started runs in a window by workspace, summed over all hosts."""
        total: dict[WorkspaceId, int] = {}
        for (_, _, workspace), count in self.usage.get(window, {}).items():
            total[workspace] = total.get(workspace, 0) + count
        return total

    def demand_for(self, service: ServiceName, now: float) -> ServiceDemand:
        """Return the demand for a service, summed over all hosts."""
        forget_silent_hosts(self, now)
        found = [
            one
            for host in self.hosts.values()
            for one in host.report.demand
            if one.service == service
        ]
        return ServiceDemand(
            service,
            sum(one.prefill_tokens_per_s for one in found),
            sum(one.in_flight for one in found),
            sum(one.streams_per_s for one in found),
            sum(one.paused_per_s for one in found),
        )

    def clear(self) -> None:
        """Remove all reports."""
        self.hosts.clear()
        self.totals.clear()
        self.usage.clear()


def record_report(
    reports: CollectedReports, node: NodeId, report: HostReport, now: float
) -> None:
    """Record a report, which replaces the earlier one of its host.

    Parameters
    ----------
    reports : CollectedReports
        Changed in place.
    node : NodeId
        Host that has sent the report.
    report : HostReport
        The report.
    now : float
        Monotonic time in seconds.
    """
    _remove_host(reports, node)
    reports.hosts[node] = _ReceivedReport(report, now)
    _add_loads(reports, report.loads, 1)
    _record_usage(reports, node, report)


def forget_silent_hosts(reports: CollectedReports, now: float) -> None:
    """Remove the hosts that have not reported for `REPORT_TTL_S`."""
    while reports.hosts:
        node, received = next(iter(reports.hosts.items()))
        if now - received.received_at < REPORT_TTL_S:
            return
        _remove_host(reports, node)


def loads_of_other_hosts(
    reports: CollectedReports, excluded: NodeId, now: float
) -> tuple[LoadShare, ...]:
    """Return the load of each upstream, summed over all hosts except one."""
    forget_silent_hosts(reports, now)
    received = reports.hosts.get(excluded)
    own_loads = received.report.loads if received is not None else ()
    own = {share.upstream: share for share in own_loads}
    shares = []
    for upstream, (in_flight, tokens) in reports.totals.items():
        share = own.get(upstream)
        if share is not None:
            in_flight -= share.in_flight
            tokens -= share.prefill_tokens
        if in_flight or tokens:
            shares.append(LoadShare(upstream, in_flight, tokens))
    return tuple(shares)


def _remove_host(reports: CollectedReports, node: NodeId) -> None:
    received = reports.hosts.pop(node, None)
    if received is not None:
        _add_loads(reports, received.report.loads, -1)


def _add_loads(
    reports: CollectedReports, loads: tuple[LoadShare, ...], sign: int
) -> None:
    for share in loads:
        in_flight, tokens = reports.totals.get(share.upstream, (0, 0))
        in_flight += sign * share.in_flight
        tokens += sign * share.prefill_tokens
        if in_flight or tokens:
            reports.totals[share.upstream] = in_flight, tokens
        else:
            reports.totals.pop(share.upstream, None)


def _record_usage(reports: CollectedReports, node: NodeId, report: HostReport) -> None:
    """Record the usage counts of a report, which replace earlier ones of its host."""
    for share in report.usage:
        window = reports.usage.setdefault(share.window, {})
        window[node, report.incarnation, share.workspace] = share.count
    while len(reports.usage) > RETAINED_WINDOWS:
        del reports.usage[min(reports.usage)]


class ReportCollector:
    """Receives the reports of relay hosts while this host is the leader.

    Parameters
    ----------
    mesh : Mesh
        Links to other processes.
    leading_term : callable
        Returns the term in which this host is the leader; None if it is not.
    table : RegistryTable
        Announced upstreams.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        mesh: Mesh,
        leading_term: Callable[[], int | None],
        table: RegistryTable,
        clock: Clock,
    ):
        self._table = table
        self._limits = StatedLimits()
        self._leading_term = leading_term
        self._clock = clock
        self._term: int | None = None
        self._reports = CollectedReports()
        mesh.handle(HostReport, self._on_report)

    @property
    def reports(self) -> CollectedReports:
        """Reports of the current term."""
        return self._reports

    def _on_report(self, sender: NodeId, report: HostReport) -> HostsView:
        term = self._leading_term()
        if term is None:
            return HostsView(0)
        if term != self._term:
            self._term = term
            self._reports.clear()
            self._limits.limits.clear()
        now = self._clock()
        record_report(self._reports, sender, report, now)
        loads = loads_of_other_hosts(self._reports, sender, now)
        hosts = len(self._reports.hosts)
        return HostsView(term, hosts, loads, self._exchange_limits(report, now))

    def _exchange_limits(
        self, report: HostReport, now: float
    ) -> tuple[UpstreamLimit, ...] | None:
        """Merge the limits of a report; return all if its sender lacks some."""
        merge_limit_report(self._limits, report.limits, now)
        forget_limits(self._limits, self._table.is_known, now)
        if digest_limits(self._limits) == report.limits_digest:
            return None
        return make_limit_report(self._limits, self._limits.limits, now)
