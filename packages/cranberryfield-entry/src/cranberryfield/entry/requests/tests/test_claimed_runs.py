"""Tests of one non-idempotent request sent to two hosts.

A failure is injected at each step on the first host. The upstream must not run
the request twice, and the first host may answer ``no`` only if nothing has run.
"""

from contextlib import asynccontextmanager, nullcontext

import anyio
import pytest

from cranberryfield.control.claims import ClaimTable, apply_claim_command
from cranberryfield.core.errors import ErrorKind, UnavailableError, error_of_kind
from cranberryfield.core.messages.claims import (
    AdvanceClock,
    CloseClaim,
    OpenClaim,
    RecordDispatch,
)
from cranberryfield.core.messages.commands import Refused
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.settings import EffectiveSettings, ServiceKind
from cranberryfield.entry.membership import KnownUpstream, UpstreamsSection
from cranberryfield.entry.requests import Request, RequestRecord
from cranberryfield.entry.requests.attempt_runner import AttemptRunner
from cranberryfield.entry.requests.attempts import AttemptMonitor
from cranberryfield.entry.requests.claims import ClaimManager
from cranberryfield.entry.requests.records import Outcome
from cranberryfield.entry.requests.records_section import RecordsSection
from cranberryfield.entry.requests.request_runner import RequestRunner
from cranberryfield.entry.requests.retry_policy import AttemptEnd, AttemptResult
from cranberryfield.entry.routing import DispatchSection

SETTINGS = EffectiveSettings(kind=ServiceKind.PLAIN, idempotent=False)
UPSTREAM = KnownUpstream(
    UpstreamRecord("app-1", 1, 1, "booking", "fann", "127.0.0.1:1", "m", (), 9, 1000),
    0.0,
)


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Log:
    """Replicated log that injects the failures in `failures`."""

    def __init__(self, clock):
        self.clock = clock
        self.table = ClaimTable()
        self.failures = {}
        self.delayed = []

    async def propose(self, command, timeout_s):
        failure = self.failures.pop(type(command), None)
        if failure == "frozen before":
            self.pass_time(60)
        if failure == "late":
            self.delayed.append(command)
        if failure in ("lost", "late") or self.failures.get("all"):
            self.pass_time(timeout_s)
            raise UnavailableError(ErrorKind.NO_QUORUM, "no leader answered")
        result = self.apply(command)
        if failure == "frozen after":
            self.pass_time(60)
        if failure == "answer lost":
            self.pass_time(timeout_s)
            raise UnavailableError(ErrorKind.NO_QUORUM, "no leader answered")
        if isinstance(result, Refused):
            raise error_of_kind(ErrorKind(result.kind), result.detail)
        return result

    def apply(self, command):
        return apply_claim_command(self.table, command, SETTINGS)

    def pass_time(self, seconds):
        self.clock.now += seconds
        self.apply(AdvanceClock(int(seconds * 1000)))


class Upstream:
    """Upstream that counts its runs and ends them with the results in `ends`."""

    def __init__(self):
        self.runs = 0
        self.ends = []

    async def has_crashed(self, upstream):
        return False

    async def call_service(self, record, upstream):
        result = self.ends.pop(0) if self.ends else AttemptResult.FINISHED
        if result is AttemptResult.NOT_RUN:
            return AttemptEnd(result, "connection refused"), None
        self.runs += 1
        outcome = Outcome(200, "text/plain", b"booked")
        is_whole = result is AttemptResult.FINISHED
        return AttemptEnd(result, "reset"), outcome if is_whole else None


class Gate:
    def __init__(self):
        self.is_full = False

    @asynccontextmanager
    async def acquire_slot(self, request):
        if self.is_full:
            raise UnavailableError(ErrorKind.QUEUE_FULL, "no slot")
        yield


class NoQuarantine:
    async def choose(self, request, tried, ran_before):
        return UPSTREAM

    def release_after(self, request, upstream):
        return nullcontext()

    def report_crash(self, request, upstream):
        pass

    def report_completion(self, request):
        pass


class NoCoordinator:
    async def find(self, workspace, key):
        return None


class Host:
    def __init__(self, name, log, upstream, clock):
        self.clock = clock
        self.gate = Gate()
        self.claims = ClaimManager(name, log, clock)
        attempts = AttemptRunner(
            NoQuarantine(),
            DispatchSection(),
            upstream,
            self.claims,
            AttemptMonitor(UpstreamsSection(), None, None, None, clock),
            Metrics(),
            clock,
            lambda upstream, end: None,
        )
        self.runner = RequestRunner(
            attempts,
            self.gate,
            self.claims,
            NoCoordinator(),
            RecordsSection(),
            Metrics(),
            clock,
        )

    async def book(self):
        deadline = self.clock.now + 30
        request = Request(
            "notary", "booking", "key-1", True, "run", False, "POST", "/", "text/plain",
            b"body", b"digest", "standard", deadline, SETTINGS,
        )  # fmt: skip
        record = RequestRecord(request)
        await self.runner.run(record)
        if record.error is None:
            return "answered", ""
        return record.error.kind.value, record.error.was_run.value


NOT_RUN, BROKEN = AttemptResult.NOT_RUN, AttemptResult.BROKEN

# Name, failures of the log, results of the upstream's runs, answer of the first
# host, answer of the second host at once and 60 s later, and number of runs.
FAILURES = [
    ("nothing", {}, [], "answered", "answered", "answered", 1),
    ("refused once", {}, [NOT_RUN], "answered", "answered", "answered", 1),
    (
        "refused always",
        {},
        [NOT_RUN] * 8,
        "upstream_failed no",
        "answered",
        "answered",
        1,
    ),
    (
        "broken",
        {},
        [BROKEN],
        "outcome_unknown unknown",
        "outcome_unknown unknown",
        "outcome_unknown unknown",
        1,
    ),
    (
        "claim lost",
        {OpenClaim: "lost"},
        [],
        "no_quorum unknown",
        "answered",
        "answered",
        1,
    ),
    (
        "claim made, answer lost",
        {OpenClaim: "answer lost"},
        [],
        "no_quorum unknown",
        "answered",
        "answered",
        1,
    ),
    (
        "dispatch lost",
        {RecordDispatch: "lost"},
        [],
        "no_quorum no",
        "answered",
        "answered",
        1,
    ),
    (
        "dispatch late",
        {RecordDispatch: "late"},
        [],
        "no_quorum no",
        "answered",
        "answered",
        1,
    ),
    (
        "dispatch recorded, answer lost",
        {RecordDispatch: "answer lost"},
        [],
        "no_quorum no",
        "answered",
        "answered",
        1,
    ),
    (
        "frozen between claim and dispatch",
        {RecordDispatch: "frozen before"},
        [],
        "key_busy unknown",
        "answered",
        "answered",
        1,
    ),
    (
        "frozen between dispatch and start",
        {RecordDispatch: "frozen after"},
        [],
        "deadline_exceeded no",
        "outcome_unknown unknown",
        "outcome_unknown unknown",
        0,
    ),
    (
        "frozen after the run",
        {CloseClaim: "frozen before"},
        [],
        "answered",
        "answered",
        "answered",
        1,
    ),
    (
        "answer not recorded at first",
        {CloseClaim: "lost"},
        [],
        "answered",
        "key_busy unknown",
        "answered",
        1,
    ),
    (
        "proof not recorded at first",
        {CloseClaim: "lost"},
        [NOT_RUN] * 8,
        "upstream_failed no",
        "key_busy unknown",
        "answered",
        1,
    ),
]


@pytest.mark.parametrize(
    ("failures", "ends", "first", "second", "third", "runs"),
    [row[1:] for row in FAILURES],
    ids=[row[0] for row in FAILURES],
)
def test_injected_failure(failures, ends, first, second, third, runs):
    async def scenario():
        clock = Clock()
        log, upstream = Log(clock), Upstream()
        one, two = (Host(name, log, upstream, clock) for name in ("e1", "e2"))
        log.failures = dict(failures)
        upstream.ends = list(ends)
        answers = [await one.book()]
        if answers[0][1] == "no":
            assert upstream.runs == 0
        answers.append(await two.book())
        for command in log.delayed:
            log.apply(command)
        await one.claims._retry_closes()
        log.pass_time(60)
        answers.append(await two.book())
        assert [" ".join(pair).strip() for pair in answers] == [first, second, third]
        assert upstream.runs == runs

    anyio.run(scenario)


GATE_REFUSALS = [
    ("new key", None, "no"),
    ("key that has run", "run", "unknown"),
    ("no quorum", "no quorum", "unknown"),
]


@pytest.mark.parametrize(
    ("before", "was_run"),
    [row[1:] for row in GATE_REFUSALS],
    ids=[row[0] for row in GATE_REFUSALS],
)
def test_was_run_of_gate_refusal_covers_all_hosts(before, was_run):
    async def scenario():
        clock = Clock()
        log = Log(clock)
        one, two = (Host(name, log, Upstream(), clock) for name in ("e1", "e2"))
        if before == "run":
            await one.book()
        log.failures["all"] = before == "no quorum"
        two.gate.is_full = True
        assert await two.book() == ("queue_full", was_run)

    anyio.run(scenario)


def test_lease_is_renewed_until_closes_are_recorded():
    async def scenario():
        clock = Clock()
        log = Log(clock)
        host = Host("e1", log, Upstream(), clock)
        log.failures = {CloseClaim: "lost"}
        await host.book()
        before = log.table.holders["e1"].expires_at_ms
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(host.claims.run)
            while host.claims.pending_closes:
                await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert log.table.holders["e1"].expires_at_ms > before

    anyio.run(scenario)
