"""Goodput and recovery at twice the peak load, with callers that always retry."""

from dataclasses import dataclass, field
from random import Random

import anyio

from bench.figures import Figure
from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.errors import UnavailableError
from cranberryfield.core.settings import EffectiveSettings
from cranberryfield.entry.admission import AdmissionGate
from cranberryfield.entry.requests.request import Request

SEED = 31
SLOTS = 16
RUN_DURATION_S = 0.05
QUEUE_LIMIT = 128
DEADLINE_S = 2.0
OVERLOAD_FACTOR = 2.0
OVERLOAD_S = 12.0
WARM_UP_S = 2.0
RECOVERY_LOAD_FACTOR = 0.5
RECOVERY_S = 8.0
NORMAL_LATENCY_FACTOR = 2.0
TARGET_GOODPUT_RATIO = 0.9
TARGET_RECOVERY_S = 5.0


@dataclass
class _CallerResults:
    """Results seen by callers; `answered` has end times and latencies in seconds."""

    answered: list[tuple[float, float]] = field(default_factory=list)
    refusals: int = 0
    requests: int = 0


def _request(number: int) -> Request:
    settings = EffectiveSettings(queue_limit=QUEUE_LIMIT)
    deadline = monotonic_clock() + DEADLINE_S
    return Request(
        f"w{number % 5}",
        "s",
        str(number),
        True,
        str(number),
        True,
        "POST",
        "/",
        "",
        b"",
        b"",
        "standard",
        deadline,
        settings,
    )


async def _call_until_answered(
    gate: AdmissionGate, number: int, results: _CallerResults
) -> None:
    """Retry until answered, waiting the time given by each refusal."""
    results.requests += 1
    started = monotonic_clock()
    while True:
        try:
            async with gate.acquire_slot(_request(number)):
                await anyio.sleep(RUN_DURATION_S)
            results.answered.append((monotonic_clock(), monotonic_clock() - started))
            return
        except UnavailableError as error:
            results.refusals += 1
            await anyio.sleep(error.retry_after_s)


async def _generate_load(gate, per_s: float, duration_s: float, results, tasks) -> None:
    rng = Random(SEED)
    started = monotonic_clock()
    at = 0.0
    number = 0
    while at < duration_s:
        at += rng.expovariate(per_s)
        await anyio.sleep(max(0.0, started + at - monotonic_clock()))
        tasks.start_soon(_call_until_answered, gate, number, results)
        number += 1


async def _peak_goodput(gate: AdmissionGate, duration_s: float) -> float:
    """Return answers per second with exactly as many callers as slots."""
    results = _CallerResults()

    async def call_repeatedly() -> None:
        while True:
            await _call_until_answered(gate, 0, results)

    with anyio.move_on_after(duration_s):
        async with anyio.create_task_group() as tasks:
            for _ in range(SLOTS):
                tasks.start_soon(call_repeatedly)
    return len(results.answered) / duration_s


async def _run() -> list[Figure]:
    gate = AdmissionGate(lambda service: SLOTS, rng=Random(SEED))
    peak = await _peak_goodput(gate, 3.0)
    overload, recovery = _CallerResults(), _CallerResults()
    started = monotonic_clock()
    async with anyio.create_task_group() as tasks:
        await _generate_load(gate, OVERLOAD_FACTOR * peak, OVERLOAD_S, overload, tasks)
        ended = monotonic_clock()
        tasks.cancel_scope.cancel()
    counted = [at for at, _ in overload.answered if started + WARM_UP_S <= at <= ended]
    goodput = len(counted) / (ended - started - WARM_UP_S)
    async with anyio.create_task_group() as tasks:
        await _generate_load(
            gate, RECOVERY_LOAD_FACTOR * peak, RECOVERY_S, recovery, tasks
        )
    slow = [
        at
        for at, latency_s in recovery.answered
        if latency_s > NORMAL_LATENCY_FACTOR * RUN_DURATION_S
    ]
    recovery_s = max(slow, default=ended) - ended
    note = f"{SLOTS} places, runs of {RUN_DURATION_S} s, real gate, seed {SEED}"
    return [
        Figure("overload.peak", peak, "/s", note=note),
        Figure(
            "overload.goodput_ratio",
            goodput / peak,
            "of peak",
            TARGET_GOODPUT_RATIO,
            higher_is_better=True,
            note=f"{OVERLOAD_FACTOR:g} times the peak, callers that never give up",
        ),
        Figure(
            "overload.attempts",
            (overload.requests + overload.refusals) / overload.requests,
            "a request",
        ),
        Figure("overload.back_to_normal", recovery_s, "s", TARGET_RECOVERY_S),
    ]


def measure() -> list[Figure]:
    """Overload one gate in real time, cancel the callers, and measure the recovery."""
    return anyio.run(_run)
