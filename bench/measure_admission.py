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
SLOTS = 32
QUEUE_LIMIT = 256
RUN_DURATION_S = 0.3
RUN_DURATION_SPREAD = 0.4
WORKSPACES = 5
DURATION_S = 120.0
DEADLINE_S = 30.0
#: Combined load of all workspaces but the greedy one, as a fraction of capacity.
OTHERS_LOAD = 0.6
GREEDY_LOAD_FACTOR = 10
TARGET_P95_RATIO = 1.2


def measure() -> list[Figure]:
    """Compare the latency of other workspaces with and without the greedy one."""
    fair_share = SLOTS / RUN_DURATION_S / WORKSPACES
    alone = _p95_s_of_others(0.0)
    with_greedy = _p95_s_of_others(GREEDY_LOAD_FACTOR * fair_share)
    in_shared_queue = _p95_s_of_others(
        GREEDY_LOAD_FACTOR * fair_share, shared_queue=True
    )
    note = f"{WORKSPACES} workspaces, {SLOTS} places, seed {SEED}, virtual time"
    return [
        Figure("admission.others_p95.alone", alone * 1000, "ms", note=note),
        Figure("admission.others_p95.beside", with_greedy * 1000, "ms", note=note),
        Figure(
            "admission.others_p95.in_order", in_shared_queue * 1000, "ms", note=note
        ),
        Figure("admission.others_p95.ratio", with_greedy / alone, "", TARGET_P95_RATIO),
    ]


def _arrivals(greedy_per_s: float) -> list[tuple[float, str]]:
    rng = Random(SEED)
    rate = OTHERS_LOAD * SLOTS / RUN_DURATION_S / (WORKSPACES - 1)
    rates = {f"w{number}": rate for number in range(WORKSPACES - 1)}
    rates["greedy"] = greedy_per_s
    arrivals = []
    for name, per_s in rates.items():
        at = 0.0
        while per_s and at < DURATION_S:
            at += rng.expovariate(per_s)
            arrivals.append((at, name))
    return sorted(arrivals)


def _p95_s_of_others(greedy_per_s: float, shared_queue: bool = False) -> float:
    rng = Random(SEED)
    state = QueueState()
    arrivals_by_ticket: dict[Ticket, float] = {}
    completions: list[tuple[float, int, Ticket]] = []
    latencies_s: list[float] = []

    def start_admitted(now: float) -> None:
        while (ticket := admit_next(state, SLOTS)) is not None:
            duration_s = RUN_DURATION_S * (
                1 + RUN_DURATION_SPREAD * (2 * rng.random() - 1)
            )
            heapq.heappush(
                completions, (now + duration_s, len(arrivals_by_ticket), ticket)
            )

    def complete_until(now: float) -> None:
        while completions and completions[0][0] <= now:
            at, _, ticket = heapq.heappop(completions)
            release(state, ticket)
            arrived, name = arrivals_by_ticket[ticket]
            if name != "greedy":
                latencies_s.append(at - arrived)
            start_admitted(at)

    for at, name in _arrivals(greedy_per_s):
        complete_until(at)
        workspace = "all" if shared_queue else name
        ticket = Ticket(workspace, "s", 1, at + DEADLINE_S, 1.0, SLOTS)
        arrivals_by_ticket[ticket] = (at, name)
        enqueue(state, ticket, QUEUE_LIMIT)
        start_admitted(at)
    complete_until(float("inf"))
    latencies_s.sort()
    return latencies_s[int(0.95 * len(latencies_s))]
