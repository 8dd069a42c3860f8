"""Attempts in progress, and their migration on silence or upstream reclaim."""

from collections.abc import Callable
from enum import Enum

import anyio
import structlog
from anyio.abc import TaskGroup

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import UpstreamId
from cranberryfield.core.settings import ServiceKind
from cranberryfield.entry.membership import KnownUpstream, UpstreamsSection
from cranberryfield.entry.requests.move_policy import (
    MoveCause,
    TokenGapEstimator,
    requested_tokens,
    should_move,
    silence_limit_s,
)
from cranberryfield.entry.requests.records import RequestRecord

__all__ = ["Attempt", "AttemptMonitor", "KvMoveResult"]

WATCH_INTERVAL_S = 0.1
#: Wait in seconds for events still in the stream after the run was exported.
DRAIN_TIMEOUT_S = 1.0
#: Silence limit in seconds before the first event.
FIRST_EVENT_TIMEOUT_S = 10.0
MS_PER_S = 1000

logger = structlog.get_logger(__name__)


class KvMoveResult(Enum):
    """Result of moving a run's KV cache; see `Dispatcher.move_kv`."""

    MOVED = "moved"
    NOT_MOVED = "not moved"
    UNREACHABLE = "unreachable"


class Attempt:
    """One attempt to run a request on one upstream.

    Parameters
    ----------
    record : RequestRecord
        Record of the request.
    upstream : KnownUpstream
        Upstream that runs the attempt.
    now : float
        Monotonic time in seconds.
    previous : Attempt, optional
        Previous attempt, which this one continues.
    """

    def __init__(
        self,
        record: RequestRecord,
        upstream: KnownUpstream,
        now: float,
        previous: "Attempt | None" = None,
    ):
        self.record = record
        self.upstream = upstream
        self.cancel_scope = anyio.CancelScope()
        self.started_at = now
        self.token_gap = TokenGapEstimator(now)
        self.events_before = len(record.events)
        #: Whether the upstream has this run's KV cache.
        self.has_kv_cache = previous is not None and previous.kv_cache_moved
        #: Whether to open a new connection.
        self.needs_new_connection = (
            previous is not None and previous.move_cause is MoveCause.SILENT
        )
        #: Whether the upstream has started to answer.
        self.has_answer_started = False
        self.move_cause: MoveCause | None = None
        self.move_target: KnownUpstream | None = None
        self.kv_cache_moved = False
        self.ended = anyio.Event()
        #: Set once a move has chosen where the run continues.
        self.move_decided = anyio.Event()

    @property
    def events_received(self) -> int:
        """Number of events received in this attempt."""
        return len(self.record.events) - self.events_before


class AttemptMonitor:
    """Moves attempts off leaving upstreams and silent connections.

    Parameters
    ----------
    upstreams : UpstreamsSection
        Table of upstreams.
    choose : callable
        Chooses another upstream; see `UpstreamSelector`.
    move_kv : callable
        Moves a run's KV cache; see `Dispatcher.move_kv`.
    tasks : anyio.abc.TaskGroup
        Task group for the moves.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        upstreams: UpstreamsSection,
        choose: Callable,
        move_kv: Callable,
        tasks: TaskGroup,
        clock: Clock,
    ):
        self._upstreams = upstreams
        self._choose = choose
        self._move_kv = move_kv
        self._tasks = tasks
        self._clock = clock
        self._running: dict[UpstreamId, set[Attempt]] = {}
        self._leave_at: dict[UpstreamId, float] = {}

    def add(self, attempt: Attempt) -> None:
        """Start watching an attempt."""
        name = attempt.upstream.record.upstream
        self._running.setdefault(name, set()).add(attempt)

    def remove(self, attempt: Attempt) -> None:
        """Stop watching an attempt."""
        name = attempt.upstream.record.upstream
        self._running[name].discard(attempt)
        if not self._running[name]:
            del self._running[name]
            self._leave_at.pop(name, None)
        attempt.ended.set()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await anyio.sleep(WATCH_INTERVAL_S)
            now = self._clock()
            for name, attempts in list(self._running.items()):
                left_s = self._time_left_s(name, now)
                for attempt in list(attempts):
                    self._check(attempt, left_s, now)

    def _time_left_s(self, name: UpstreamId, now: float) -> float | None:
        """Return the time until an upstream leaves; None if it is not leaving."""
        known = self._upstreams.upstreams.get(name)
        if known is None or not known.record.leaving:
            self._leave_at.pop(name, None)
            return None
        leave_s = known.record.leave_ms / MS_PER_S
        return self._leave_at.setdefault(name, now + leave_s) - now

    def _check(self, attempt: Attempt, left_s: float | None, now: float) -> None:
        request = attempt.record.request
        if attempt.move_cause is not None or request.settings.kind is ServiceKind.PLAIN:
            return
        settings = request.settings
        limit_s = silence_limit_s(
            attempt.token_gap,
            settings.silence_factor,
            settings.silence_floor_ms / MS_PER_S,
            FIRST_EVENT_TIMEOUT_S,
        )
        if now - attempt.token_gap.heard_at > limit_s:
            self._start_move(attempt, MoveCause.SILENT)
        elif left_s is not None and request.idempotent:
            total = requested_tokens(request.body)
            tokens_left = None if total is None else total - len(attempt.record.events)
            margin_s = settings.reclaim_margin_ms / MS_PER_S
            if should_move(tokens_left, attempt.token_gap.mean_s, left_s, margin_s):
                self._start_move(attempt, MoveCause.LEAVING)

    def _start_move(self, attempt: Attempt, cause: MoveCause) -> None:
        attempt.move_cause = cause
        if attempt.record.request.idempotent:
            self._tasks.start_soon(self._move, attempt)
        else:
            attempt.move_decided.set()
            attempt.cancel_scope.cancel()

    async def _move(self, attempt: Attempt) -> None:
        try:
            await self._move_run(attempt)
        finally:
            attempt.move_decided.set()

    async def _move_run(self, attempt: Attempt) -> None:
        record, source = attempt.record, attempt.upstream
        target = source
        if attempt.move_cause is MoveCause.LEAVING:
            tried = frozenset({source.record.upstream})
            try:
                target = self._choose(record.request, tried, True)
            except CranberryfieldError:
                attempt.move_cause = None
                return
        result = await self._move_kv(record.run, source, target)
        logger.info(
            "run moved",
            run=record.run,
            cause=attempt.move_cause.value,
            source=source.record.upstream,
            target=target.record.upstream,
            kv=result.value,
        )
        attempt.kv_cache_moved = result is KvMoveResult.MOVED
        is_silent = attempt.move_cause is MoveCause.SILENT
        if not (is_silent and result is KvMoveResult.UNREACHABLE):
            attempt.move_target = target
        if attempt.kv_cache_moved and not is_silent:
            with anyio.move_on_after(DRAIN_TIMEOUT_S):
                await attempt.ended.wait()
        attempt.cancel_scope.cancel()
