"""Queueing delay that one workspace at ten times its fair share adds to others."""

import heapq
from random import Random

from bench.figures import Figure
from cranberryfield.entry.admission.queue import (
    QueueState,
    Ticket,
    admit_next,
    enqueue,
    release,
)

SEED = 23
PLACES = 32
QUEUE_LIMIT = 256
RUN_S = 0.3
SPREAD = 0.4
WORKSPACES = 5
DURATION_S = 120.0
DEADLINE_S = 30.0
#: Combined load of all workspaces but the greedy one, as a fraction of capacity.
OTHERS_LOAD = 0.6
GREEDY_FACTOR = 10
TARGET_RATIO = 1.2


def measure() -> list[Figure]:
    """Compare the latency of other workspaces with and without the greedy one."""
    fair_share = PLACES / RUN_S / WORKSPACES
    alone = _p95_of_others(0.0)
    beside = _p95_of_others(GREEDY_FACTOR * fair_share)
    in_order = _p95_of_others(GREEDY_FACTOR * fair_share, one_queue=True)
    note = f"{WORKSPACES} workspaces, {PLACES} places, seed {SEED}, virtual time"
    return [
        Figure("admission.others_p95.alone", alone * 1000, "ms", note=note),
        Figure("admission.others_p95.beside", beside * 1000, "ms", note=note),
        Figure("admission.others_p95.in_order", in_order * 1000, "ms", note=note),
        Figure("admission.others_p95.ratio", beside / alone, "", TARGET_RATIO),
    ]


def _arrivals(greedy_per_s: float) -> list[tuple[float, str]]:
    rng = Random(SEED)
    rate = OTHERS_LOAD * PLACES / RUN_S / (WORKSPACES - 1)
    rates = {f"w{number}": rate for number in range(WORKSPACES - 1)}
    rates["greedy"] = greedy_per_s
    found = []
    for name, per_s in rates.items():
        at = 0.0
        while per_s and at < DURATION_S:
            at += rng.expovariate(per_s)
            found.append((at, name))
    return sorted(found)


def _p95_of_others(greedy_per_s: float, one_queue: bool = False) -> float:
    rng = Random(SEED)
    state = QueueState()
    started: dict[Ticket, float] = {}
    ends: list[tuple[float, int, Ticket]] = []
    times: list[float] = []

    def run_ready(now: float) -> None:
        while (ticket := admit_next(state, PLACES)) is not None:
            run_s = RUN_S * (1 + SPREAD * (2 * rng.random() - 1))
            heapq.heappush(ends, (now + run_s, len(started), ticket))

    def end_until(now: float) -> None:
        while ends and ends[0][0] <= now:
            at, _, ticket = heapq.heappop(ends)
            release(state, ticket)
            arrived, name = started[ticket]
            if name != "greedy":
                times.append(at - arrived)
            run_ready(at)

    for at, name in _arrivals(greedy_per_s):
        end_until(at)
        workspace = "all" if one_queue else name
        ticket = Ticket(workspace, "s", 1, at + DEADLINE_S, 1.0, PLACES)
        started[ticket] = (at, name)
        enqueue(state, ticket, QUEUE_LIMIT)
        run_ready(at)
    end_until(float("inf"))
    times.sort()
    return times[int(0.95 * len(times))]
