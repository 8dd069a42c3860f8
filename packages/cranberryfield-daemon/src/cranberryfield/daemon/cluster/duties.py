"""Calls to the cloud API, which only the leader makes."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

import anyio
import structlog

from cranberryfield.control.capacity.runners import Pool
from cranberryfield.control.runtime import ControlRuntime, ControlSection
from cranberryfield.control.usage import next_window
from cranberryfield.core.clock import Clock, wall_clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId, ServiceName, WorkspaceId
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import encode_message
from cranberryfield.core.messages.reports import (
    SettleUsage,
    UsageReported,
    UsageSettled,
)
from cranberryfield.entry.reports.collector import CollectedReports

__all__ = ["CloudCalls", "DutyEnd", "Fence", "Leadership", "UsageReporter"]

POLL_S = 0.25
#: Time for the counts of all hosts to arrive after the end of a window, in seconds.
SETTLE_S = 2.5
PROPOSE_TIMEOUT_S = 2.0
#: A new leader that has made no cloud call for this multiple of the handover
#: wait may call at once.
IDLE_RATIO = 2.0

logger = structlog.get_logger(__name__)


class DutyEnd(Enum):
    """Outcome of a call to the cloud API."""

    DONE = "done"
    #: Rejected: a higher fencing number has been used.
    FENCED = "fenced"
    #: The ordered upstreams are currently not available.
    REFUSED = "refused"
    #: The call failed, or its outcome is unknown.
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Fence:
    """Caller of the cloud API and its fencing number; higher numbers supersede."""

    holder: NodeId
    number: int


@dataclass(frozen=True, slots=True)
class CloudCalls:
    """Client of the cloud API.

    Attributes
    ----------
    report_usage : callable
        Reports the usage counts of a window by workspace.
    order : callable
        Sets the desired number of upstreams of a service in a pool.
    """

    report_usage: Callable[[Fence, int, dict[WorkspaceId, int]], Awaitable[DutyEnd]]
    order: Callable[[Fence, ServiceName, Pool, int], Awaitable[DutyEnd]]


class Leadership:
    """Decides whether this host may call the cloud API, and issues its fence.

    The fencing number is the leader's term in the replicated log, which grows
    with each election and belongs to one host. The cloud rejects lower numbers
    once it has seen a higher one, so a new leader need not wait for its
    predecessor. It does wait if it may itself have called recently: otherwise
    two hosts that alternate as leader would alternate as caller too.

    Parameters
    ----------
    node : NodeId
        This process.
    runtime : ControlRuntime
        The replica.
    wait_s : float
        Handover wait: time for which a new leader makes no call, in seconds.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self, node: NodeId, runtime: ControlRuntime, wait_s: float, clock: Clock
    ):
        self._node = node
        self._runtime = runtime
        self._wait_s = wait_s
        self._clock = clock
        self._term: int | None = None
        self._since = 0.0
        self._acting_term: int | None = None
        # The process may have made calls before a restart.
        self._acted_at = clock()
        self._fenced_term: int | None = None

    @property
    def led_for_s(self) -> float:
        """Time since this host's leading term last changed, in seconds."""
        return self._clock() - self._since

    def fence(self) -> Fence | None:
        """Return the fence for a call; None if this host must not call now."""
        now = self._clock()
        term = self._runtime.leading_term()
        if term != self._term:
            self._term, self._since = term, now
        if term is None or term == self._fenced_term:
            return None
        if term != self._acting_term:
            is_long_ago = now - self._acted_at >= IDLE_RATIO * self._wait_s
            waited = now - self._since >= self._wait_s
            if not (is_long_ago or waited or self._runtime.is_first_leader()):
                return None
            self._acting_term = term
        self._acted_at = now
        return Fence(self._node, term)

    def note_fenced(self, fence: Fence) -> None:
        """Make no more calls under a fence that the cloud has rejected."""
        logger.warning(
            "cloud call rejected: a higher fencing number was used", number=fence.number
        )
        self._fenced_term = fence.number


class UsageReporter:
    """Reports the usage of each window once, with counts committed in the log.

    Parameters
    ----------
    section : ControlSection
        State applied from the replicated log.
    reports : CollectedReports
        Usage counts reported by the hosts.
    leadership : Leadership
        Provides the fence under which this host may call the cloud API.
    propose : callable
        Commits an encoded command to the log and returns its result.
    calls : CloudCalls
        The cloud API.
    window_s, due_s : float
        Length of a window, and time after its end by which its report is due,
        in seconds.
    """

    def __init__(
        self,
        section: ControlSection,
        reports: CollectedReports,
        leadership: Leadership,
        propose: Callable[[bytes], Awaitable[Message]],
        calls: CloudCalls,
        window_s: float,
        due_s: float,
    ):
        self._section = section
        self._reports = reports
        self._leadership = leadership
        self._propose = propose
        self._calls = calls
        self._window_s = window_s
        self._due_s = due_s

    async def run(self) -> None:
        """Report due windows until cancelled."""
        while True:
            await anyio.sleep(POLL_S)
            fence = self._leadership.fence()
            window = self._due_window()
            has_heard_all = self._leadership.led_for_s >= SETTLE_S
            if fence is not None and window is not None and has_heard_all:
                await self._report(fence, window)

    def _due_window(self) -> int | None:
        now = wall_clock()
        ended = int((now - SETTLE_S) // self._window_s) - 1
        oldest = int((now - self._due_s) // self._window_s)
        if not self._reports.usage:
            return None
        oldest = max(oldest, min(self._reports.usage))
        return next_window(self._section.state.usage, ended, oldest)

    async def _report(self, fence: Fence, window: int) -> None:
        counts = self._reports.usage_in_window(window)
        settled = await self._commit(SettleUsage(window, counts))
        if settled is None or settled.is_reported:
            return
        end = await self._calls.report_usage(fence, window, settled.counts)
        logger.info(
            "usage reported",
            window=window,
            counts=settled.counts,
            end=end.value,
            number=fence.number,
        )
        if end is DutyEnd.FENCED:
            self._leadership.note_fenced(fence)
        elif end is DutyEnd.DONE:
            await self._commit(UsageReported(window))

    async def _commit(self, command: Message) -> UsageSettled | None:
        with anyio.move_on_after(PROPOSE_TIMEOUT_S):
            try:
                result = await self._propose(encode_message(command))
            except CranberryfieldError as error:
                logger.info(
                    "failed to commit the usage of a window", detail=error.detail
                )
                return None
            return result if isinstance(result, UsageSettled) else None
        return None
