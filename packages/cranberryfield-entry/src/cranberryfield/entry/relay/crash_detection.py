"""Notices crashes of upstreams, and the requests that were in flight in them."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from math import inf

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.http1 import ConnectionPool
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.quarantine import (
    RUN_SETTLED_S,
    Crash,
    QuarantineSection,
    SuspectExchange,
)
from cranberryfield.entry.registry import RegistryTable
from cranberryfield.entry.relay.attempt_results import (
    SERVER_ERRORS,
    SUCCESS_STATUSES,
    RelayAttemptOutcome,
    RelayAttemptResult,
)

__all__ = ["CrashDetector", "ObservedRun"]

#: Time for a connection to a possibly crashed upstream to open, in seconds.
CHECK_TIMEOUT_S = 0.2
#: Time after which an upstream that still accepts connections is checked again, in
#: seconds.
CONFIRM_DELAY_S = 0.1
MAX_UNCONFIRMED = 1_000
#: Time after the end of an attempt by this host in which a crash of its upstream counts
#: for the request, as the upstream may still run it, in seconds.
ABANDONED_RUN_S = 1.0
#: Time for which a lost connection counts as a crash if the upstream is announced
#: again as another process, in seconds.
REPLACEMENT_WAIT_S = 10.0

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class ObservedRun:
    """A run of a request on an upstream, while its attempt is in progress.

    Attributes
    ----------
    fingerprint : bytes
        Fingerprint of the request.
    prompt_parts : tuple of bytes
        Digests of the parts of its prompt that others may share.
    record : UpstreamRecord
        Upstream of the attempt.
    started_at : float
        Monotonic time in seconds at which the attempt began.
    answered_at : float or None
        Monotonic time in seconds at which the first event arrived.
    is_settled : bool
        Whether it has got beyond its beginning.
    """

    fingerprint: bytes
    prompt_parts: tuple[bytes, ...]
    record: UpstreamRecord
    started_at: float
    answered_at: float | None = None
    is_settled: bool = False

    @property
    def suspect_parts(self) -> tuple[bytes, ...]:
        """Prompt parts that may have caused a crash now."""
        return () if self.is_settled else self.prompt_parts


@dataclass(frozen=True, slots=True)
class _UnconfirmedCrash:
    """A possible crash of an upstream that still accepted connections.

    Attributes
    ----------
    is_abandoned : bool
        Whether this host closed the connection, as the caller had left or the
        deadline had passed, rather than the upstream.
    is_checked : bool
        Whether the upstream has been checked again.
    """

    fingerprint: bytes
    record: UpstreamRecord
    crash: Crash
    is_abandoned: bool = False
    is_checked: bool = False


class CrashDetector:
    """Finds out which attempts ended with a crash of their upstream.

    Parameters
    ----------
    section : QuarantineSection
        Crashes known to this host.
    exchange : SuspectExchange
        Records the requests in flight in crashes, and tells other hosts.
    table : RegistryTable
        Announced upstreams.
    pool : ConnectionPool
        Connections to upstreams.
    is_refused : callable
        Returns whether no process listens at an address.
    metrics : Metrics
        Counter of crashes.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        section: QuarantineSection,
        exchange: SuspectExchange,
        table: RegistryTable,
        pool: ConnectionPool,
        is_refused: Callable[[str], Awaitable[bool]],
        metrics: Metrics,
        clock: Clock,
    ):
        self._section = section
        self._exchange = exchange
        self._table = table
        self._pool = pool
        self._is_address_refused = is_refused
        self._metrics = metrics
        self._clock = clock
        self._unconfirmed: list[_UnconfirmedCrash] = []
        self._awaiting_replacement: list[_UnconfirmedCrash] = []
        self._has_unconfirmed = anyio.Event()

    def observe_events(self, run: ObservedRun) -> None:
        """Note that events of a run have arrived.

        Parameters
        ----------
        run : ObservedRun
            Changed in place.
        """
        if run.is_settled:
            return
        now = self._clock()
        if run.answered_at is None:
            run.answered_at = now
        elif now - run.answered_at >= RUN_SETTLED_S:
            self._settle(run, run.answered_at)

    def _settle(self, run: ObservedRun, began_at: float) -> None:
        run.is_settled = True
        if run.prompt_parts:
            self._exchange.report_settled_run(run.prompt_parts, began_at)

    async def examine(self, run: ObservedRun, result: RelayAttemptResult) -> bool:
        """Examine the end of an attempt; return whether the upstream has crashed.

        Parameters
        ----------
        run : ObservedRun
            The run of the attempt.
        result : RelayAttemptResult
            How the attempt ended.
        """
        record = run.record
        if _ran_to_its_end(result):
            self._exchange.report_completion(run.fingerprint)
            if not run.is_settled and _has_succeeded(result):
                began_at = run.answered_at
                self._settle(run, run.started_at if began_at is None else began_at)
        if result.outcome is RelayAttemptOutcome.MISDIRECTED:
            self._confirm_crashes(lambda former: _is_same_process(record, former))
        if not result.connection_lost or self._is_leaving(record):
            return False
        crash = self._crash_of(run, result.had_answered)
        crashed_at = self._section.crashed_at.get(crash.process)
        if crashed_at is not None and run.started_at >= crashed_at:
            # The attempt began after the crash and is not its cause.
            return await self._is_refused(record)
        if crashed_at is not None or await self._is_refused(record):
            self._record_crash(run.fingerprint, crash)
            return True
        self._check_later(_UnconfirmedCrash(run.fingerprint, record, crash))
        return False

    def _crash_of(self, run: ObservedRun, had_answered: bool) -> Crash:
        record = run.record
        return Crash(
            record.upstream,
            record.incarnation,
            self._clock(),
            had_answered,
            run.suspect_parts,
        )

    def abandon(self, run: ObservedRun) -> None:
        """Count a crash that comes soon after this host has ended an attempt.

        Few upstreams end a run at once when its connection is closed.

        Parameters
        ----------
        run : ObservedRun
            The run of the attempt.
        """
        if self._is_leaving(run.record):
            return
        crash = self._crash_of(run, run.answered_at is not None)
        self._check_later(
            _UnconfirmedCrash(run.fingerprint, run.record, crash, is_abandoned=True)
        )

    def _check_later(self, unconfirmed: _UnconfirmedCrash) -> None:
        if len(self._unconfirmed) < MAX_UNCONFIRMED:
            self._unconfirmed.append(unconfirmed)
            self._has_unconfirmed.set()

    async def run(self) -> None:
        """Check upstreams again that accepted connections, until cancelled.

        A process that ends may close its connections before its listener, so that
        a connection to it can still be opened for a moment.
        """
        while True:
            await self._has_unconfirmed.wait()
            self._has_unconfirmed = anyio.Event()
            await anyio.sleep(CONFIRM_DELAY_S)
            unconfirmed, self._unconfirmed = self._unconfirmed, []
            for one in unconfirmed:
                await self._check_again(one)

    async def _check_again(self, unconfirmed: _UnconfirmedCrash) -> None:
        fingerprint, crash = unconfirmed.fingerprint, unconfirmed.crash
        crashed_at = self._section.crashed_at.get(crash.process, -inf)
        is_crash = unconfirmed.is_abandoned and crashed_at >= crash.at
        if not (is_crash or unconfirmed.is_checked):
            is_crash = await self._is_refused(unconfirmed.record)
        if is_crash:
            self._record_crash(fingerprint, crash)
            return
        if unconfirmed.is_abandoned:
            if self._clock() - crash.at < ABANDONED_RUN_S:
                self._check_later(replace(unconfirmed, is_checked=True))
            return
        self._await_replacement(unconfirmed)
        logger.info(
            "connection lost, upstream still accepts",
            fingerprint=fingerprint.hex(),
            upstream=crash.upstream,
            incarnation=crash.incarnation,
            had_answered=crash.had_answered,
        )

    def on_announcement(self, record: UpstreamRecord) -> None:
        """Count lost connections as crashes if another process has replaced theirs.

        The address of an upstream may accept connections while its process is down,
        for example if a supervisor has the listening socket.

        Parameters
        ----------
        record : UpstreamRecord
            Changed record of an upstream.
        """
        if record.leaving:
            self._awaiting_replacement = [
                one
                for one in self._awaiting_replacement
                if one.record.upstream != record.upstream
            ]
            return
        self._confirm_crashes(lambda former: _replaces(record, former))

    def _confirm_crashes(self, is_replaced: Callable[[UpstreamRecord], bool]) -> None:
        waiting, self._awaiting_replacement = self._awaiting_replacement, []
        for one in waiting:
            if is_replaced(one.record):
                self._record_crash(one.fingerprint, one.crash)
            else:
                self._await_replacement(one)

    def _await_replacement(self, unconfirmed: _UnconfirmedCrash) -> None:
        is_recent = self._clock() - unconfirmed.crash.at < REPLACEMENT_WAIT_S
        if is_recent and len(self._awaiting_replacement) < MAX_UNCONFIRMED:
            self._awaiting_replacement.append(unconfirmed)

    def _is_leaving(self, record: UpstreamRecord) -> bool:
        entry = self._table.entries.get(record.upstream)
        return entry is None or entry.record.leaving

    def _record_crash(self, fingerprint: bytes, crash: Crash) -> None:
        if crash.process not in self._section.crashed_at:
            self._metrics.count("upstream_crashes")
            logger.info(
                "upstream crashed",
                upstream=crash.upstream,
                incarnation=crash.incarnation,
            )
        self._exchange.report_crash(fingerprint, crash)

    async def _is_refused(self, record: UpstreamRecord) -> bool:
        # An overloaded upstream refuses connections too, but keeps those it has.
        if self._pool.has_idle(record.address):
            return False
        # Shielded so that the crash counts although the caller leaves now.
        with anyio.move_on_after(CHECK_TIMEOUT_S, shield=True):
            return await self._is_address_refused(record.address)
        return False


def _is_same_process(record: UpstreamRecord, other: UpstreamRecord) -> bool:
    return record.process == other.process


def _replaces(record: UpstreamRecord, former: UpstreamRecord) -> bool:
    """Return whether a record is of a process that took the place of another one."""
    if record.upstream == former.upstream:
        return record.incarnation > former.incarnation
    is_newer = record.incarnation >= former.incarnation
    return record.address == former.address and is_newer


def _has_succeeded(result: RelayAttemptResult) -> bool:
    """Return whether the upstream has answered with success, not only refused."""
    return result.response is None or result.response.status in SUCCESS_STATUSES


def _ran_to_its_end(result: RelayAttemptResult) -> bool:
    if result.outcome is RelayAttemptOutcome.ANSWERED:
        return result.response.status not in SERVER_ERRORS
    return result.outcome is RelayAttemptOutcome.STREAMED
