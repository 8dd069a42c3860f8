"""Who is served next in a line, by what the line holds."""

from collections import Counter

import pytest

from cranberryfield.core.messages.slots import SlotAsk
from cranberryfield.entry.slots.waiting_line import (
    MAX_SHARES,
    MAX_WAITING,
    WaitingAsk,
    WaitingLine,
    add_waiting,
    rank_then_slack,
    take_next,
)


def add(line, number, workspace="w", rank=0, left_ms=2_700, now=0.0, **fields):
    ask = SlotAsk(number, "s", workspace, rank, left_ms, **fields)
    return add_waiting(line, WaitingAsk(("relay", 1, number), ask, now))


def served(line, count, now=0.0, order=rank_then_slack, usable=lambda one: "u0"):
    """Return the asks that are served next."""
    found = []
    for _ in range(count):
        chosen = take_next(line, usable, order, now)
        if chosen is None:
            break
        found.append(chosen[0])
    return found


def numbers(asks):
    return [one.ask.number for one in asks]


# What the requests differ in, by number, and the order in which they are served.
ORDERS = [
    ("rank", [{"rank": 2}, {"rank": 0}, {"rank": 1}], [1, 2, 0]),
    ("deadline", [{"left_ms": 900}, {"left_ms": 300}, {"left_ms": 600}], [1, 2, 0]),
    ("target", [{"target_ms": 300}, {"target_ms": 200}, {}], [1, 0, 2]),
    ("run", [{}, {"run_ms": 500}, {"run_ms": 900}], [2, 1, 0]),
    ("late", [{"rank": 0, "waited_ms": 300, "target_ms": 218}, {"rank": 2}], [1, 0]),
    # No run can meet this target, so it must not put the request behind all others.
    ("target below run", [{"target_ms": 40, "run_ms": 45, "left_ms": 90}, {}], [0, 1]),
]


@pytest.mark.parametrize(
    ("fields", "expected"), [row[1:] for row in ORDERS], ids=[row[0] for row in ORDERS]
)
def test_order_within_a_workspace(fields, expected):
    line = WaitingLine()
    for number, one in enumerate(fields):
        add(line, number, **one)
    assert numbers(served(line, len(fields))) == expected


# Guards against an order of waiting that cannot be replaced.
def test_another_order_may_be_given():
    line = WaitingLine()
    for number in range(3):
        add(line, number)
    newest_first = served(line, 3, order=lambda one, now: (-one.ask.number,))
    assert numbers(newest_first) == [2, 1, 0]


# Guards against a workspace that waits behind all requests of a hot one, and against
# slots that stay free while one workspace alone waits.
def test_workspaces_share_and_unused_shares_are_lent():
    line = WaitingLine()
    for number in range(100):
        add(line, number, "hot")
    for number in range(100, 110):
        add(line, number, "quiet")
    first = Counter(one.ask.workspace for one in served(line, 20))
    assert first == {"hot": 10, "quiet": 10}
    assert len(served(line, 200)) == 90


# Guards against a workspace that saves up its share and then takes all.
def test_a_share_that_is_not_used_is_not_kept():
    line = WaitingLine()
    for number in range(100):
        add(line, number, "busy")
    served(line, 50)
    for number in range(200, 220):
        add(line, number, "new")
    counts = Counter(one.ask.workspace for one in served(line, 20))
    assert abs(counts["busy"] - counts["new"]) <= 1


# Guards against a class, or the sessions beside a hot one, that are never served.
@pytest.mark.parametrize(
    ("many", "few"),
    [
        ({"rank": 0}, {"rank": 2}),
        ({"session": "hot", "left_ms": 500}, {"session": "quiet"}),
    ],
    ids=["class", "session"],
)
def test_a_quarter_is_open_to_those_whom_the_order_puts_last(many, few):
    line = WaitingLine()
    for number in range(80):
        add(line, number, **{"session": "hot", **many})
    for number in range(100, 110):
        add(line, number, **few)
    assert sum(one.ask.number >= 100 for one in served(line, 40)) >= 8


# Guards against a request that waits behind others which no upstream can take.
def test_what_no_free_upstream_may_take_is_passed_over():
    line = WaitingLine()
    add(line, 0)
    add(line, 1, rank=2)
    found = served(line, 2, usable=lambda one: "u0" if one.ask.number else None)
    assert (numbers(found), line.size) == ([1], 1)


# Guards against memory that grows with callers.
def test_the_line_and_its_shares_are_bounded():
    line = WaitingLine()
    displaced = [add(line, number) for number in range(MAX_WAITING + 10)]
    assert sum(one is not None for one in displaced) == 10
    assert add(line, 9_999, "quiet").ask.workspace == "w"
    assert line.size == MAX_WAITING
    for number in range(3 * MAX_SHARES):
        line = line if number else WaitingLine()
        add(line, number, f"w{number}", session=f"s{number}")
        served(line, 1)
    assert len(line._shares.received) == len(line._sessions.received) == MAX_SHARES
    assert (line.size, line.workspaces, line._turns) == (0, {}, {})
