"""What is delayed or refused under overload, case by case and over drawn loads."""

from random import Random

import pytest

from bench.measure_least_cost import LOADS, POLICIES, optimum_bound, play
from cranberryfield.core.messages.slots import SlotAsk
from cranberryfield.entry.overload import (
    PendingWork,
    RefusalReason,
    cost_order,
    refuse_unservable,
    request_urgency,
)
from cranberryfield.entry.overload.slot_order import least_cost_first
from cranberryfield.entry.slots.waiting_line import WaitingAsk

NOW = 10.0


def work(key, rank=0, target_s=1.0, deadline_s=3.0, work_s=0.2, longest_s=0.0):
    return PendingWork(
        key, rank, NOW + target_s, NOW + deadline_s, work_s, longest_s=longest_s
    )


@pytest.mark.parametrize(
    ("load", "waiting", "expected"),
    [
        (
            "a burst: what has missed its target does not delay what has not",
            [work("late", target_s=-0.1), work("in time")],
            ["in time", "late"],
        ),
        (
            "less urgent callers beside urgent ones",
            [work("less", rank=1, target_s=0.5), work("urgent", target_s=0.9)],
            ["urgent", "less"],
        ),
        (
            "one class: the least time before its target is at risk",
            [work("b", target_s=0.8), work("a", target_s=0.4)],
            ["a", "b"],
        ),
        (
            "large prompts: the time that they need counts",
            [work("small", target_s=0.8), work("large", target_s=1.0, work_s=0.7)],
            ["large", "small"],
        ),
        (
            "a plain service: a run that may well end late is not preferred",
            [work("at risk", target_s=0.3, longest_s=0.35), work("safe")],
            ["safe", "at risk"],
        ),
        (
            "a backlog of late work: the shortest goes first",
            [work("long", target_s=-1, work_s=0.5), work("short", target_s=-1)],
            ["short", "long"],
        ),
    ],
)
def test_order(load, waiting, expected):
    ordered = sorted(waiting, key=lambda one: cost_order(one, NOW))
    assert [one.key for one in ordered] == expected


def test_work_that_cannot_end_in_time_is_refused_with_times_dealt_out():
    """Callers that are told the same time return together and are refused again."""
    waiting = [
        work("ends in time", deadline_s=0.5),
        work("too late", deadline_s=0.1),
        *(work(f"no room {number}", deadline_s=0.3) for number in range(4)),
    ]
    kept, refusals = refuse_unservable(waiting, 1, NOW, Random(1))
    assert [one.key for one in kept] == ["ends in time"]
    reasons = [one.reason for one in refusals]
    assert reasons == [RefusalReason.TOO_LATE] + [RefusalReason.NO_ROOM] * 4
    delays = [one.retry_after_s for one in refusals]
    assert delays == sorted(delays) and len(set(delays)) == len(delays)


@pytest.mark.parametrize("slots", [0, 1, 24])
def test_nothing_is_refused_while_there_is_room(slots):
    waiting = [work(str(number), deadline_s=9.0) for number in range(10)]
    assert refuse_unservable(waiting, slots, NOW, Random(1)) == (waiting, [])


@pytest.mark.parametrize("rank", range(12))
def test_late_request_never_goes_behind_a_less_urgent_rank(rank):
    late = request_urgency(rank, NOW - 1, NOW)
    assert 0 <= late <= 9
    if rank < 4:
        assert late < request_urgency(rank + 1, NOW + 1, NOW)


@pytest.mark.parametrize(
    ("name", "least"),
    [
        ("plain, 0.8", 0.99),
        ("plain, 1.2", 0.8),
        ("engines, 0.8", 0.99),
        ("engines, 1.2", 0.95),
        ("engines, a third lost", 0.9),
    ],
)
def test_value_served_of_the_limit(name, least):
    """First come, first served serves 0.2 of the limit at 1.2 times the room."""
    load = next(one for one in LOADS if one.name == name)
    outcome = play(load, *POLICIES["least cost"])
    assert outcome.served >= least * optimum_bound(load)
    baseline = play(load, *POLICIES["first come, first served"])
    assert outcome.served >= baseline.served
    shares = [served / owed for served, owed in outcome.by_workspace.values()]
    assert min(shares) >= 0.25 * sum(shares) / len(shares)


@pytest.mark.parametrize("name", ["engines, 1.6", "engines, a third lost"])
def test_more_urgent_class_earns_no_smaller_share(name):
    load = next(one for one in LOADS if one.name == name)
    outcome = play(load, *POLICIES["least cost"])
    by_kind = {kind: won / owed for kind, (won, owed) in outcome.by_kind.items()}
    assert by_kind["chat"] >= by_kind["triage"] - 0.15
    assert by_kind["triage"] >= by_kind["drafts"] - 0.15


def waiting_ask(number, rank=0, waited_ms=0, target_ms=218, run_ms=45):
    ask = SlotAsk(number, "plain", "w", rank, 2_700, waited_ms, target_ms, run_ms)
    return WaitingAsk(("relay-1", 1, number), ask, NOW)


def test_slots_go_to_requests_that_can_still_meet_their_target():
    """A burst before 24 slots: late bookings would make all later ones late."""
    late, at_risk = waiting_ask(1, waited_ms=300), waiting_ask(2, waited_ms=150)
    in_time, no_target = waiting_ask(3), waiting_ask(4, target_ms=0)
    waiting = [late, at_risk, in_time, no_target]
    ordered = sorted(waiting, key=lambda one: least_cost_first(one, NOW))
    assert ordered[:2] == [in_time, no_target] and set(map(id, ordered[2:])) == {
        id(late),
        id(at_risk),
    }
