"""Cells with crashing requests, load during a leave, or long answers."""

import time
from collections.abc import Callable

from standins.group import Group
from standins.processes import wait_until
from tests.matrix.callers import Caller, RequestKind
from tests.matrix.cells import CellResult, Scenario, join_callers
from tests.matrix.checks import (
    check_leaving,
    check_not_run,
    check_once,
    check_planned_stop,
    check_prefix,
    check_whole,
)
from tests.matrix.context import FRONTS, ScenarioContext, upstreams_of
from tests.matrix.faults import FAULTS
from tests.matrix.steps import STEPS

__all__ = ["special_scenarios"]

NORMAL_CALLERS = 3
NORMAL_EVENTS_BEFORE_CRASH = 10
MAX_CRASHES = 2
CRASH_REFUSAL = "request_crashes_upstreams"
OUTCOME_UNKNOWN = "outcome_unknown"
CELL_TIMEOUT_S = 20.0
#: Time for which requests are sent, from just before the upstream begins to leave.
LOAD_DURATION_S = 4.5
LOAD_PAUSE_S = 0.05
LONG_RECLAIM_MS = 6000
#: Takes over 4 s at ``ENGINE_STEP_MS`` per token.
LONG_TOKENS = 360
LONG_READ_TIMEOUT_S = 12.0


def special_scenarios() -> list[Scenario]:
    """Return the scenarios of this module in the order in which they are run."""
    kinds = (RequestKind.STREAMED, RequestKind.PLAIN, RequestKind.STREAMED_ONCE)
    scenarios = [
        _scenario("mid-answer/crash-request", kind, _run_crashing_requests)
        for kind in kinds
    ]
    load_kinds = (RequestKind.PLAIN, RequestKind.BOOKING)
    scenarios += [
        _scenario("any/leave-under-load", kind, _run_load_during_leave)
        for kind in load_kinds
    ]
    idempotent_completions = (RequestKind.STREAMED, RequestKind.PLAIN)
    all_completions = (
        *idempotent_completions,
        RequestKind.STREAMED_ONCE,
        RequestKind.PLAIN_ONCE,
    )
    scenarios.append(_long_scenario("reclaim-upstream", idempotent_completions))
    scenarios.append(_long_scenario("reclaim-front", all_completions))
    scenarios.append(_long_scenario("stop-front", all_completions))
    return scenarios


def _long_scenario(fault: str, kinds: tuple[RequestKind, ...]) -> Scenario:
    """Return a scenario whose answers take longer than the notice of a reclaim."""
    name = f"mid-answer/{fault}-long"

    def run(group: Group, index: int) -> list[CellResult]:
        context = ScenarioContext(group, FRONTS[index % len(FRONTS)])
        key = f"long.{fault}.{context.since_ns}"
        context.callers = [
            Caller(
                kind,
                f"{key}.{kind.value}",
                _addresses_from_front(context),
                tokens=LONG_TOKENS,
                read_timeout_s=LONG_READ_TIMEOUT_S,
            )
            for kind in kinds
        ]
        results = [CellResult(f"{name}/{kind.value}") for kind in kinds]
        try:
            STEPS["mid-answer"].reach(context)
            FAULTS[fault].inject(context)
        except TimeoutError as error:
            results[0].failures.append(str(error))
        join_callers(context, CELL_TIMEOUT_S)
        context.wait_stops()
        journal = context.journal()
        for caller, result in zip(context.callers, results, strict=True):
            transcripts = [caller.transcript]
            result.failures += check_whole(transcripts)
            result.failures += check_prefix(transcripts)
            result.failures += check_not_run(transcripts, journal)
            result.failures += check_once(transcripts, journal)
            result.failures += check_leaving(journal)
            result.failures += check_planned_stop(transcripts, context.stops)
        context.repair()
        return results

    return Scenario(name, tuple(f"{name}/{kind.value}" for kind in kinds), run)


def _scenario(name: str, kind: RequestKind, run_cell: Callable) -> Scenario:
    cell = f"{name}/{kind.value}"

    def run(group: Group, index: int) -> list[CellResult]:
        context = ScenarioContext(group, FRONTS[index % len(FRONTS)])
        try:
            failures = run_cell(context, kind)
        except TimeoutError as error:
            failures = [str(error)]
        context.repair()
        return [CellResult(cell, failures)]

    return Scenario(cell, (cell,), run)


def _addresses_from_front(context: ScenarioContext) -> dict[str, str]:
    hosts = context.group.caller_addresses
    return {node: hosts[node] for node in context.entry_hosts}


def _run_crashing_requests(context: ScenarioContext, kind: RequestKind) -> list[str]:
    """Send a request that crashes its upstream, while other requests run there.

    If it is idempotent, its prompt is sent again under a new key: the limit on crashes
    covers both keys, and the other requests must still complete.
    """
    hosts = _addresses_from_front(context)
    name = f"crash.{context.since_ns}.{kind.value}"
    normal_callers = [
        Caller(RequestKind.STREAMED if kind.is_idempotent else kind, f"{name}.i{n}",
               hosts)
        for n in range(NORMAL_CALLERS if kind.is_idempotent else 0)
    ]  # fmt: skip
    for one in normal_callers:
        one.start()
    for one in normal_callers:
        wait_until(
            lambda one=one: one.transcript.events >= NORMAL_EVENTS_BEFORE_CRASH, one.key
        )
    first = Caller(kind, f"{name}.first", hosts, crash=True)
    again = Caller(kind, f"{name}.again", hosts, crash=True, prompt_key=first.key)
    for caller in (first, again):
        caller.start()
        _restart_until_done(context, [caller])
        if not kind.is_idempotent:
            break
    _restart_until_done(context, normal_callers)
    crashes = [one for one in context.journal() if one.event == "crashed"]
    crashing = [one.transcript for one in (first, again) if one.transcript.attempts]
    refusal = CRASH_REFUSAL if kind.is_idempotent else OUTCOME_UNKNOWN
    failures = check_whole(crashing, refusal=refusal)
    failures += check_not_run(crashing, context.journal())
    failures += check_once(crashing, context.journal())
    failures += check_whole([one.transcript for one in normal_callers])
    failures += check_prefix([one.transcript for one in normal_callers])
    if len(crashes) > MAX_CRASHES:
        failures.append(f"{len(crashes)} crashes by one request")
    return failures


def _restart_until_done(context: ScenarioContext, callers: list[Caller]) -> None:
    deadline = time.monotonic() + CELL_TIMEOUT_S
    while not all(one.is_done for one in callers) and time.monotonic() < deadline:
        context.restart_crashed_upstreams()
        time.sleep(LOAD_PAUSE_S)
    for one in callers:
        one.finish(0.0)


def _run_load_during_leave(context: ScenarioContext, kind: RequestKind) -> list[str]:
    """Send requests to all entry hosts while an upstream leaves with a long notice."""
    hosts = _addresses_from_front(context)
    leaving_upstream = upstreams_of(kind)[0]
    context.group.restart_upstream(leaving_upstream, reclaim_ms=LONG_RECLAIM_MS)
    context.wait_healthy()
    context.since_ns = time.time_ns()
    callers: list[Caller] = []
    end = time.monotonic() + LOAD_DURATION_S
    leave_started = False
    while time.monotonic() < end:
        nodes = context.entry_hosts[len(callers) % len(hosts) :]
        addresses = {node: hosts[node] for node in nodes}
        caller = Caller(kind, f"leave.{context.since_ns}.{len(callers)}", addresses)
        caller.start()
        callers.append(caller)
        if not leave_started and context.journal_entries_of(callers[0], "started"):
            context.reclaim_upstream(leaving_upstream)
            leave_started = True
        time.sleep(LOAD_PAUSE_S)
    for caller in callers:
        caller.finish(CELL_TIMEOUT_S / len(callers))
    transcripts = [caller.transcript for caller in callers]
    journal = context.journal()
    return [
        *check_whole(transcripts),
        *check_not_run(transcripts, journal),
        *check_once(transcripts, journal),
        *check_leaving(journal),
    ]
