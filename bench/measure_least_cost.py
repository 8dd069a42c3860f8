"""Value served under overload by order of waiting, in virtual time."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from bench.figures import Figure
from cranberryfield.entry.overload import PendingWork, cost_order, refuse_unservable

__all__ = ["LOADS", "POLICIES", "Load", "measure", "optimum_bound", "play"]

SEED = 42
LENGTH_S = 8.0
WINDOW_S = 2.0
#: Time that nine in ten runs of a plain service need, relative to their mean, with the
#: spread of the drawn work.
NINE_IN_TEN = 1.7
#: Time for which a returning caller is spread without a stated time, in seconds.
IMMEDIATE_RETRY_S = 0.01


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of requests of one service; times in seconds.

    The work of each request is known before it runs if `is_work_known`: tokens tell it
    for prompts, while a plain service has a mean run time only.
    """

    name: str
    per_s: float
    work_s: float
    target_s: float
    deadline_s: float
    rank: int
    value: float
    late_value: float
    spread: float = 0.5
    is_work_known: bool = True


@dataclass(frozen=True, slots=True)
class Load:
    """A load and the room for it.

    `factor` is the load relative to the room of all slots. The first workspace sends
    `hot` times as much as each of the other 15; a share of the callers repeats at once.
    """

    name: str
    classes: tuple[WorkClass, ...]
    slots: int
    factor: float
    hot: float = 1.0
    repeating: float = 0.0
    burst: float = 1.0


#: Prompts are read by one engine at a time, at 112 tokens in a ms.
ENGINE = (
    WorkClass("drafts", 68.0, 0.107, 1.545, 12.363, 2, 2.1, 0.31, 1.0),
    WorkClass("chat", 48.5, 0.0074, 0.419, 12.557, 0, 4.2, 0.17, 0.8),
    WorkClass("triage", 108.0, 0.0211, 0.522, 2.612, 1, 0.38, 0.038, 0.9),
)
PLAIN = (
    WorkClass("booking", 56.1, 0.045, 0.218, 2.731, 2, 1.0, 0.1, 0.5, False),
    WorkClass("look-up", 22.4, 0.045, 0.217, 2.713, 2, 1.0, 0.1, 0.5, False),
)
LOADS = (
    *(Load(f"plain, {x}", PLAIN, 24, x) for x in (0.8, 1.2, 1.6, 2.0)),
    *(Load(f"engines, {x}", ENGINE, 12, x) for x in (0.8, 1.2, 1.6, 2.0)),
    Load("plain, burst of 1.7", PLAIN, 24, 0.9, burst=1.7),
    Load("plain, hot workspace of 7.5", PLAIN, 24, 1.3, hot=7.5),
    Load("engines, a third lost", ENGINE, 8, 1.35),
    Load("plain, callers repeat at once", PLAIN, 24, 1.3, repeating=0.3),
)


@dataclass(order=True)
class Arrival:
    """One request; a refused one may come back once."""

    at: float
    number: int
    kind: WorkClass = field(compare=False)
    work_s: float = field(compare=False)
    workspace: str = field(compare=False)
    first_at: float = field(compare=False)
    repeats: bool = field(compare=False)
    returns: int = field(compare=False, default=1)

    def pending(self) -> PendingWork:
        """Return the request as the decision sees it."""
        return PendingWork(
            str(self.number),
            self.kind.rank,
            self.first_at + self.kind.target_s,
            self.first_at + self.kind.deadline_s,
            self.work_s if self.kind.is_work_known else self.kind.work_s,
            0.0 if self.kind.is_work_known else NINE_IN_TEN * self.kind.work_s,
            self.workspace,
        )


def draw(load: Load, seed: int) -> list[Arrival]:
    """Draw the arrivals of a load."""
    rng = Random(seed)
    offered = sum(one.per_s * one.work_s for one in load.classes) / load.slots
    scale = load.factor / offered
    weights = [load.hot] + [1.0] * 15
    arrivals = []
    for kind in load.classes:
        at = 0.0
        while at < LENGTH_S:
            is_burst = LENGTH_S * 0.3 < at < LENGTH_S * 0.6
            rate = kind.per_s * scale * (load.burst if is_burst else 1.0)
            at += rng.expovariate(rate)
            size = rng.lognormvariate(-(kind.spread**2) / 2, kind.spread)
            workspace = rng.choices(range(16), weights)[0]
            arrivals.append(
                Arrival(
                    at,
                    len(arrivals),
                    kind,
                    kind.work_s * min(size, 6.0),
                    f"w{workspace}",
                    at,
                    rng.random() < load.repeating,
                )
            )
    return sorted(arrivals)


def fifo(work: PendingWork, arrived: float, now: float) -> tuple:
    """First come, first served."""
    return (arrived,)


def by_rank(work: PendingWork, arrived: float, now: float) -> tuple:
    """Strict priority."""
    return (work.rank, arrived)


def by_deadline(work: PendingWork, arrived: float, now: float) -> tuple:
    """Earliest target first."""
    return (work.target_at,)


def by_slack(work: PendingWork, arrived: float, now: float) -> tuple:
    """Least slack to the target first."""
    return (work.target_at - work.work_s,)


def by_value(work: PendingWork, arrived: float, now: float) -> tuple:
    """Most value for each unit of work, with halved value for each rank."""
    return (work.work_s * 2.0**work.rank,)


def least_cost(work: PendingWork, arrived: float, now: float) -> tuple:
    """Order by the decision of `cranberryfield.entry.overload`."""
    return cost_order(work, now)


Order = Callable[[PendingWork, float, float], tuple]
POLICIES: dict[str, tuple[Order, bool]] = {
    "first come, first served": (fifo, False),
    "strict priority": (by_rank, False),
    "earliest target": (by_deadline, False),
    "least slack": (by_slack, False),
    "value for work": (by_value, False),
    "least cost": (least_cost, True),
}


@dataclass(slots=True)
class Outcome:
    """What a policy served of a load."""

    owed: float = 0.0
    served: float = 0.0
    by_kind: dict[str, list[float]] = field(default_factory=dict)
    by_workspace: dict[str, list[int]] = field(default_factory=dict)
    by_window: dict[int, list[float]] = field(default_factory=dict)
    refused: int = 0
    refused_then_served: int = 0


def play(load: Load, order: Order, refuses: bool, seed: int = SEED) -> Outcome:
    """Play a load in virtual time with one order of waiting."""
    rng = Random(seed + 1)
    events = draw(load, seed)
    outcome = Outcome()
    for one in events:
        outcome.owed += one.kind.value
        outcome.by_kind.setdefault(one.kind.name, [0.0, 0.0])[1] += one.kind.value
        outcome.by_workspace.setdefault(one.workspace, [0, 0])[1] += 1
        window = outcome.by_window.setdefault(int(one.at / WINDOW_S), [0.0, 0.0])
        window[1] += one.kind.value
    heapq.heapify(events)
    waiting: list[tuple[PendingWork, Arrival]] = []
    busy: list[float] = []
    now = 0.0
    while events or waiting:
        if events and (not waiting or events[0].at <= (busy[0] if busy else now)):
            arrival = heapq.heappop(events)
            now = max(now, arrival.at)
            waiting.append((arrival.pending(), arrival))
        elif busy:
            now = max(now, busy[0])
        while busy and busy[0] <= now:
            heapq.heappop(busy)
        _drop_expired(waiting, refuses, load.slots, order, now, events, outcome, rng)
        while waiting and len(busy) < load.slots:
            chosen = min(waiting, key=lambda one: order(one[0], one[1].at, now))
            waiting.remove(chosen)
            _serve(chosen[1], now, busy, outcome)
    return outcome


def _serve(arrival: Arrival, now: float, busy: list[float], outcome: Outcome) -> None:
    ends_at = now + arrival.work_s
    heapq.heappush(busy, ends_at)
    took_s = ends_at - arrival.first_at
    kind = arrival.kind
    if took_s > kind.deadline_s:
        return
    value = kind.value if took_s <= kind.target_s else kind.late_value
    outcome.served += value
    outcome.by_kind[kind.name][0] += value
    outcome.by_workspace[arrival.workspace][0] += 1
    outcome.by_window[int(arrival.first_at / WINDOW_S)][0] += value
    outcome.refused_then_served += arrival.at > arrival.first_at


def _drop_expired(waiting, refuses, slots, order, now, events, outcome, rng) -> None:
    """Remove what is of no use, or cannot be served in time, from the line."""
    if not refuses:
        for one in [one for one in waiting if one[0].deadline <= now]:
            waiting.remove(one)
        return
    ordered = sorted(waiting, key=lambda one: order(one[0], one[1].at, now))
    arrivals = {work.key: arrival for work, arrival in ordered}
    kept, refusals = refuse_unservable((work for work, _ in ordered), slots, now, rng)
    waiting[:] = [(work, arrivals[work.key]) for work in kept]
    for refusal in refusals:
        arrival = arrivals[refusal.work.key]
        outcome.refused += 1
        wait_s = IMMEDIATE_RETRY_S if arrival.repeats else refusal.retry_after_s
        left_s = refusal.work.deadline - now
        if arrival.returns and wait_s <= left_s / 3:
            arrival.returns -= 1
            arrival.at = now + wait_s
            heapq.heappush(events, arrival)


def optimum_bound(load: Load, seed: int = SEED) -> float:
    """Return a bound on the value that any order can serve of a draw.

    The most valuable work for its size, up to all that the slots can do from the first
    arrival to the last target, in any order.
    """
    arrivals = draw(load, seed)
    room_s = load.slots * (LENGTH_S + max(one.target_s for one in load.classes))
    total = 0.0
    for one in sorted(arrivals, key=lambda one: one.work_s / one.kind.value):
        part = min(1.0, room_s / one.work_s)
        room_s -= part * one.work_s
        total += part * one.kind.value
        if room_s <= 0:
            break
    return total


def measure() -> list[Figure]:
    """Play all loads with all policies."""
    figures = []
    for load in LOADS:
        limit = optimum_bound(load)
        for name, (order, refuses) in POLICIES.items():
            outcome = play(load, order, refuses)
            worst_window = min(
                served / owed for served, owed in outcome.by_window.values() if owed
            )
            worst_kind = min(
                (served / owed, kind)
                for kind, (served, owed) in outcome.by_kind.items()
            )
            shares = [served / owed for served, owed in outcome.by_workspace.values()]
            note = (
                f"of owed {outcome.served / outcome.owed:.3f}, "
                f"worst 2 s {worst_window:.3f}, "
                f"worst class {worst_kind[0]:.3f} ({worst_kind[1]}), "
                f"workspaces {min(shares):.2f} to {max(shares):.2f}, "
                f"refused {outcome.refused}, "
                f"served after that {outcome.refused_then_served}"
            )
            figures.append(
                Figure(
                    f"{load.name}: {name}",
                    round(outcome.served / limit, 3),
                    "of the limit",
                    note=note,
                )
            )
    return figures
