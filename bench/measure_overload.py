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
PLACES = 16
RUN_S = 0.05
QUEUE_LIMIT = 128
DEADLINE_S = 2.0
OVERLOAD = 2.0
OVERLOAD_S = 12.0
WARM_UP_S = 2.0
AFTER_LOAD = 0.5
AFTER_S = 8.0
NORMAL_FACTOR = 2.0
TARGET_GOODPUT = 0.9
TARGET_BACK_S = 5.0


@dataclass
class _Counts:
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


async def _call(gate: AdmissionGate, number: int, counts: _Counts) -> None:
    """Retry until answered, waiting the time given by each refusal."""
    counts.requests += 1
    started = monotonic_clock()
    while True:
        try:
            async with gate.acquire_slot(_request(number)):
                await anyio.sleep(RUN_S)
            counts.answered.append((monotonic_clock(), monotonic_clock() - started))
            return
        except UnavailableError as error:
            counts.refusals += 1
            await anyio.sleep(error.retry_after_s)


async def _arrive(gate, per_s: float, duration_s: float, counts, tasks) -> None:
    rng = Random(SEED)
    started = monotonic_clock()
    at = 0.0
    number = 0
    while at < duration_s:
        at += rng.expovariate(per_s)
        await anyio.sleep(max(0.0, started + at - monotonic_clock()))
        tasks.start_soon(_call, gate, number, counts)
        number += 1


async def _peak(gate: AdmissionGate, duration_s: float) -> float:
    """Return answers per second with exactly as many callers as slots."""
    counts = _Counts()

    async def ask_again() -> None:
        while True:
            await _call(gate, 0, counts)

    with anyio.move_on_after(duration_s):
        async with anyio.create_task_group() as tasks:
            for _ in range(PLACES):
                tasks.start_soon(ask_again)
    return len(counts.answered) / duration_s


async def _run() -> list[Figure]:
    gate = AdmissionGate(lambda service: PLACES, rng=Random(SEED))
    peak = await _peak(gate, 3.0)
    under, after = _Counts(), _Counts()
    started = monotonic_clock()
    async with anyio.create_task_group() as tasks:
        await _arrive(gate, OVERLOAD * peak, OVERLOAD_S, under, tasks)
        ended = monotonic_clock()
        tasks.cancel_scope.cancel()
    measured = [at for at, _ in under.answered if started + WARM_UP_S <= at <= ended]
    goodput = len(measured) / (ended - started - WARM_UP_S)
    async with anyio.create_task_group() as tasks:
        await _arrive(gate, AFTER_LOAD * peak, AFTER_S, after, tasks)
    late = [at for at, taken in after.answered if taken > NORMAL_FACTOR * RUN_S]
    back_s = max(late, default=ended) - ended
    note = f"{PLACES} places, runs of {RUN_S} s, real gate, seed {SEED}"
    return [
        Figure("overload.peak", peak, "/s", note=note),
        Figure(
            "overload.goodput_ratio",
            goodput / peak,
            "of peak",
            TARGET_GOODPUT,
            higher_is_better=True,
            note=f"{OVERLOAD:g} times the peak, callers that never give up",
        ),
        Figure(
            "overload.attempts",
            (under.requests + under.refusals) / under.requests,
            "a request",
        ),
        Figure("overload.back_to_normal", back_s, "s", TARGET_BACK_S),
    ]


def measure() -> list[Figure]:
    """Overload one gate in real time, cancel the callers, and measure the recovery."""
    return anyio.run(_run)
