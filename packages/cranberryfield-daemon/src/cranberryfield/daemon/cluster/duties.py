"""Calls to the cloud API that the leader alone makes."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

import anyio
import structlog

from cranberryfield.control.capacity.runners import Pool
from cranberryfield.control.runtime import ControlRuntime, ControlSection
from cranberryfield.control.usage import next_unreported_window
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
#: Time after the end of a window in which hosts' counts come in, in seconds.
SETTLE_S = 2.5
PROPOSE_TIMEOUT_S = 2.0
#: A host that has not acted for this multiple of the time within which hosts must
#: not act by turns may act at once.
IDLE_RATIO = 2.0

logger = structlog.get_logger(__name__)


class DutyEnd(Enum):
    """How a call to the cloud API ended."""

    DONE = "done"
    #: A holder with a higher fencing number has acted.
    FENCED = "fenced"
    #: What was ordered cannot be had now.
    REFUSED = "refused"
    #: The call was not carried out, or nobody knows whether it was.
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Fence:
    """Who acts, and the number by which later holders outrank earlier ones."""

    holder: NodeId
    number: int


@dataclass(frozen=True, slots=True)
class CloudCalls:
    """The calls of the cloud API.

    Attributes
    ----------
    report_usage : callable
        Reports the counts of a window.
    order : callable
        Orders a number of upstreams of a service in a pool.
    """

    report_usage: Callable[[Fence, int, dict[WorkspaceId, int]], Awaitable[DutyEnd]]
    order: Callable[[Fence, ServiceName, Pool, int], Awaitable[DutyEnd]]


class Leadership:
    """Says whether this host may act, and under which fencing number.

    The term of the replicated log is the number: it grows with each election
    and belongs to one host. Lower numbers are refused once a higher one has
    acted, so that a new leader need not wait for its predecessor. It waits if
    it may have acted itself not long before, so that two hosts that lead by
    turns do not act by turns.

    Parameters
    ----------
    node : NodeId
        This process.
    runtime : ControlRuntime
        The replica.
    wait_s : float
        Time within which hosts must not act by turns, in seconds.
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
        # A process does not know what it did before its start.
        self._acted_at = clock()
        self._fenced_term: int | None = None

    @property
    def led_for_s(self) -> float:
        """Time since the last election, in seconds."""
        return self._clock() - self._since

    def fence(self) -> Fence | None:
        """Return the fence to act under; None if another host may act."""
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
        """Do not act again under a number that was outranked."""
        logger.warning("outranked by a higher fencing number", number=fence.number)
        self._fenced_term = fence.number


class UsageReporter:
    """Reports each window once, with counts settled in the log.

    Parameters
    ----------
    section : ControlSection
        The applied state.
    reports : CollectedReports
        Counts of the hosts.
    leadership : Leadership
        Whether this host may act.
    propose : callable
        Puts an encoded command through the log.
    calls : CloudCalls
        The cloud API.
    window_s, due_s : float
        Length of a window, and time after it in which its report is due.
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
        """Report until cancelled."""
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
        return next_unreported_window(self._section.state.usage, ended, oldest)

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
                logger.info("usage not settled", detail=error.detail)
                return None
            return result if isinstance(result, UsageSettled) else None
        return None
