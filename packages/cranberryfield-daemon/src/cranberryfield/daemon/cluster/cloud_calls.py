"""Calls to the cloud API, which only the leader makes."""

from collections.abc import Awaitable, Callable

import anyio
import structlog

from cranberryfield.control.runtime import ControlRuntime, ControlSection
from cranberryfield.control.usage import next_unreported_window
from cranberryfield.core.clock import Clock, wall_clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import encode_message
from cranberryfield.core.messages.reports import (
    SettleUsage,
    UsageReported,
    UsageSettled,
)
from cranberryfield.daemon.cluster.cloud import CallOutcome, CloudClient, FencingToken
from cranberryfield.entry.reports.collector import CollectedReports

__all__ = ["FencingTokenIssuer", "UsageReporter"]

POLL_S = 0.25
#: Time for the counts of all hosts to arrive after the end of a window, in seconds.
COUNTS_ARRIVAL_S = 2.5
PROPOSE_TIMEOUT_S = 2.0
#: A new leader that has made no cloud call for this multiple of the handover
#: wait may call at once.
IDLE_WAIT_RATIO = 2.0

logger = structlog.get_logger(__name__)


class FencingTokenIssuer:
    """Decides whether this host may call the cloud API, and issues its token.

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
    handover_wait_s : float
        Handover wait: time for which a new leader makes no call, in seconds.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        node: NodeId,
        runtime: ControlRuntime,
        handover_wait_s: float,
        clock: Clock,
    ):
        self._node = node
        self._runtime = runtime
        self._handover_wait_s = handover_wait_s
        self._clock = clock
        self._term: int | None = None
        self._term_changed_at = 0.0
        self._issued_term: int | None = None
        # The process may have made calls before a restart.
        self._issued_at = clock()
        self._rejected_term: int | None = None

    @property
    def time_in_term_s(self) -> float:
        """Time since this host's leading term last changed, in seconds."""
        return self._clock() - self._term_changed_at

    def issue_token(self) -> FencingToken | None:
        """Return the token for a call; None if this host must not call now."""
        now = self._clock()
        term = self._runtime.leading_term()
        if term != self._term:
            self._term, self._term_changed_at = term, now
        if term is None or term == self._rejected_term:
            return None
        if term != self._issued_term:
            was_idle = now - self._issued_at >= IDLE_WAIT_RATIO * self._handover_wait_s
            waited = now - self._term_changed_at >= self._handover_wait_s
            if not (was_idle or waited or self._runtime.is_first_leader()):
                return None
            self._issued_term = term
        self._issued_at = now
        return FencingToken(self._node, term)

    def on_token_rejected(self, token: FencingToken) -> None:
        """Make no more calls under a token that the cloud has rejected."""
        logger.warning(
            "cloud call rejected: a higher fencing number was used", number=token.number
        )
        self._rejected_term = token.number


class UsageReporter:
    """Reports the usage of each window once, with counts committed in the log.

    Parameters
    ----------
    section : ControlSection
        State applied from the replicated log.
    reports : CollectedReports
        Usage counts reported by the hosts.
    token_issuer : FencingTokenIssuer
        Issues the token under which this host may call the cloud API.
    propose : callable
        Commits an encoded command to the log and returns its result.
    cloud : CloudClient
        The cloud API.
    window_s, due_s : float
        Length of a window, and time after its end by which its report is due,
        in seconds.
    """

    def __init__(
        self,
        section: ControlSection,
        reports: CollectedReports,
        token_issuer: FencingTokenIssuer,
        propose: Callable[[bytes], Awaitable[Message]],
        cloud: CloudClient,
        window_s: float,
        due_s: float,
    ):
        self._section = section
        self._reports = reports
        self._token_issuer = token_issuer
        self._propose = propose
        self._cloud = cloud
        self._window_s = window_s
        self._due_s = due_s

    async def run(self) -> None:
        """Report due windows until cancelled."""
        while True:
            await anyio.sleep(POLL_S)
            token = self._token_issuer.issue_token()
            window = self._due_window()
            has_all_counts = self._token_issuer.time_in_term_s >= COUNTS_ARRIVAL_S
            if token is not None and window is not None and has_all_counts:
                await self._report(token, window)

    def _due_window(self) -> int | None:
        now = wall_clock()
        newest = int((now - COUNTS_ARRIVAL_S) // self._window_s) - 1
        oldest = int((now - self._due_s) // self._window_s)
        if not self._reports.usage:
            return None
        oldest = max(oldest, min(self._reports.usage))
        return next_unreported_window(self._section.state.usage, newest, oldest)

    async def _report(self, token: FencingToken, window: int) -> None:
        counts = self._reports.usage_in_window(window)
        settled = await self._commit(SettleUsage(window, counts))
        if settled is None or settled.is_reported:
            return
        outcome = await self._cloud.report_usage(token, window, settled.counts)
        logger.info(
            "usage reported",
            window=window,
            counts=settled.counts,
            end=outcome.value,
            number=token.number,
        )
        if outcome is CallOutcome.FENCED:
            self._token_issuer.on_token_rejected(token)
        elif outcome is CallOutcome.DONE:
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
