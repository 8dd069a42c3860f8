"""Cells with crashing requests, load during a leave, or long answers."""

import time
from collections.abc import Callable

from standins.group import Group
from standins.processes import wait_until
from tests.matrix.callers import Caller, RequestKind
from tests.matrix.cells import CellResult, Scenario, join_all
from tests.matrix.checks import (
    check_leaving,
    check_not_run,
    check_once,
    check_planned_stop,
    check_prefix,
    check_whole,
)
from tests.matrix.faults import FAULTS
from tests.matrix.scene import FRONTS, Scene, upstreams_of
from tests.matrix.steps import STEPS

__all__ = ["special_scenarios"]

INNOCENTS = 3
INNOCENT_EVENTS = 10
MAX_CRASHES = 2
CRASH_REFUSAL = "request_crashes_upstreams"
UNKNOWN = "outcome_unknown"
CELL_TIMEOUT_S = 20.0
#: How long requests are sent, before and after the upstream begins to leave.
LOAD_AFTER_LEAVE_S = 4.5
LOAD_PAUSE_S = 0.05
LATE_RECLAIM_MS = 6000
#: Takes over 4 s at ``STEP_MS`` per token.
LONG_TOKENS = 360
LONG_READ_TIMEOUT_S = 12.0


def special_scenarios() -> list[Scenario]:
    """Return the scenarios of this module in the order in which they are run."""
    kinds = (RequestKind.STREAMED, RequestKind.PLAIN, RequestKind.STREAMED_ONCE)
    rows = [_scenario("mid-answer/crash-request", kind, _crash) for kind in kinds]
    leaving = (RequestKind.PLAIN, RequestKind.BOOKING)
    rows += [_scenario("any/leave-under-load", kind, _leave) for kind in leaving]
    long = (RequestKind.STREAMED, RequestKind.PLAIN)
    every = (*long, RequestKind.STREAMED_ONCE, RequestKind.PLAIN_ONCE)
    rows.append(_long_scenario("reclaim-upstream", long))
    rows.append(_long_scenario("reclaim-front", every))
    rows.append(_long_scenario("stop-front", every))
    return rows


def _long_scenario(fault: str, kinds: tuple[RequestKind, ...]) -> Scenario:
    """Return a scenario whose answers take longer than the notice of a reclaim."""
    name = f"mid-answer/{fault}-long"

    def run(group: Group, turn: int) -> list[CellResult]:
        scene = Scene(group, FRONTS[turn % len(FRONTS)])
        key = f"long.{fault}.{scene.since_ns}"
        scene.callers = [
            Caller(
                kind,
                f"{key}.{kind.value}",
                _in_turn(scene),
                tokens=LONG_TOKENS,
                read_timeout_s=LONG_READ_TIMEOUT_S,
            )
            for kind in kinds
        ]
        results = [CellResult(f"{name}/{kind.value}") for kind in kinds]
        try:
            STEPS["mid-answer"].reach(scene)
            FAULTS[fault].inject(scene)
        except TimeoutError as error:
            results[0].wrong.append(str(error))
        join_all(scene, CELL_TIMEOUT_S)
        scene.settle()
        journal = scene.journal()
        for caller, result in zip(scene.callers, results, strict=True):
            mine = [caller.transcript]
            result.wrong += check_whole(mine)
            result.wrong += check_prefix(mine)
            result.wrong += check_not_run(mine, journal)
            result.wrong += check_once(mine, journal)
            result.wrong += check_leaving(journal)
            result.wrong += check_planned_stop(mine, scene.stops)
        scene.repair()
        return results

    return Scenario(name, tuple(f"{name}/{kind.value}" for kind in kinds), run)


def _scenario(name: str, kind: RequestKind, judge: Callable) -> Scenario:
    cell = f"{name}/{kind.value}"

    def run(group: Group, turn: int) -> list[CellResult]:
        scene = Scene(group, FRONTS[turn % len(FRONTS)])
        try:
            wrong = judge(scene, kind)
        except TimeoutError as error:
            wrong = [str(error)]
        scene.repair()
        return [CellResult(cell, wrong)]

    return Scenario(cell, (cell,), run)


def _in_turn(scene: Scene) -> dict[str, str]:
    hosts = scene.group.caller_addresses
    return {node: hosts[node] for node in scene.entries}


def _crash(scene: Scene, kind: RequestKind) -> list[str]:
    """Send a request that crashes its upstream, then the same prompt under a new key.

    The limit on crashes covers both keys, and other requests must still complete.
    """
    hosts = _in_turn(scene)
    name = f"crash.{scene.since_ns}.{kind.value}"
    innocents = [
        Caller(RequestKind.STREAMED if kind.is_idempotent else kind, f"{name}.i{n}",
               hosts)
        for n in range(INNOCENTS if kind.is_idempotent else 0)
    ]  # fmt: skip
    for one in innocents:
        one.start()
    for one in innocents:
        wait_until(lambda one=one: one.transcript.events >= INNOCENT_EVENTS, one.key)
    first = Caller(kind, f"{name}.first", hosts, crash=True)
    again = Caller(kind, f"{name}.again", hosts, crash=True, prompt_key=first.key)
    for caller in (first, again):
        caller.start()
        _revive_until_done(scene, [caller])
        if not kind.is_idempotent:
            break
    _revive_until_done(scene, innocents)
    crashes = [one for one in scene.journal() if one.event == "crashed"]
    guilty = [one.transcript for one in (first, again) if one.transcript.attempts]
    refusal = CRASH_REFUSAL if kind.is_idempotent else UNKNOWN
    wrong = check_whole(guilty, refusal=refusal)
    wrong += check_not_run(guilty, scene.journal())
    wrong += check_once(guilty, scene.journal())
    wrong += check_whole([one.transcript for one in innocents])
    wrong += check_prefix([one.transcript for one in innocents])
    if len(crashes) > MAX_CRASHES:
        wrong.append(f"{len(crashes)} crashes by one request")
    return wrong


def _revive_until_done(scene: Scene, callers: list[Caller]) -> None:
    deadline = time.monotonic() + CELL_TIMEOUT_S
    while not all(one.is_done for one in callers) and time.monotonic() < deadline:
        scene.revive_crashed()
        time.sleep(LOAD_PAUSE_S)
    for one in callers:
        one.finish(0.0)


def _leave(scene: Scene, kind: RequestKind) -> list[str]:
    """Send requests to all entry hosts while an upstream leaves with a long notice."""
    hosts = _in_turn(scene)
    leaver = upstreams_of(kind)[0]
    scene.group.restart_upstream(leaver, reclaim_ms=LATE_RECLAIM_MS)
    scene.wait_healthy()
    scene.since_ns = time.time_ns()
    callers: list[Caller] = []
    end = time.monotonic() + LOAD_AFTER_LEAVE_S
    left = False
    while time.monotonic() < end:
        nodes = scene.entries[len(callers) % len(hosts) :]
        in_turn = {node: hosts[node] for node in nodes}
        caller = Caller(kind, f"leave.{scene.since_ns}.{len(callers)}", in_turn)
        caller.start()
        callers.append(caller)
        if not left and scene.entries_of(callers[0], "started"):
            scene.reclaim_upstream(leaver)
            left = True
        time.sleep(LOAD_PAUSE_S)
    for caller in callers:
        caller.finish(CELL_TIMEOUT_S / len(callers))
    transcripts = [caller.transcript for caller in callers]
    journal = scene.journal()
    return [
        *check_whole(transcripts),
        *check_not_run(transcripts, journal),
        *check_once(transcripts, journal),
        *check_leaving(journal),
    ]
