from random import Random

import pytest

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.settings import EffectiveSettings
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.entry.membership import UpstreamsSection, merge_upstream
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.retries import RetrySection, spread_retry_after_s, take_retry
from cranberryfield.entry.retries.budget import (
    MAX_SAVED,
    RESERVE,
    note_first_attempt,
)
from cranberryfield.entry.retries.spread import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S
from cranberryfield.entry.routing import DispatchSection, PrefixSection, make_chooser


def request(budget=0.2):
    return Request(
        "w", "s", "k", True, "r", True, "POST", "/", "t", b"", b"",
        "standard", 1e9, EffectiveSettings(retry_budget=budget),
    )  # fmt: skip


def board_with(*names, leaving=()):
    board = Blackboard()
    board.add(SettingsSection())
    upstreams = board.add(UpstreamsSection())
    for section in (DispatchSection(), PrefixSection(), RetrySection()):
        board.add(section)
    for name in names:
        record = UpstreamRecord(
            name, 1, 0, "s", "d", "a:1", "m", (), 4, 2000, name in leaving
        )
        merge_upstream(upstreams, record, 0.0)
    return board


def chooser(board, seed=1):
    return make_chooser(board, "d", lambda: 0.0, Random(seed))


@pytest.mark.parametrize("ratio", [0.0, 0.2, 1.0])
def test_retries_stay_below_the_ratio_when_every_attempt_is_refused(ratio):
    choose = chooser(board_with("a", "b", "c"))
    firsts, retries = 2000, 0
    for _ in range(firsts):
        tried = [choose(request(ratio), frozenset(), False)]
        try:
            for _ in range(7):
                names = frozenset(one.record.upstream for one in tried)
                tried.append(choose(request(ratio), names, False))
                retries += 1
        except UnavailableError as error:
            assert error.kind is ErrorKind.UPSTREAM_FAILED
            assert error.was_run.value == "no"
            assert error.retry_after_s >= MIN_RETRY_AFTER_S
    assert retries <= RESERVE + firsts * ratio


FREE = [
    ("it may have run", ("a", "b"), (), True),
    ("the upstream left", ("a", "b"), ("a",), False),
    ("the upstream is forgotten", ("b",), (), False),
]


@pytest.mark.parametrize(
    ("names", "leaving", "ran"), [row[1:] for row in FREE], ids=[row[0] for row in FREE]
)
def test_recovery_needs_no_budget(names, leaving, ran):
    board = board_with(*names, leaving=leaving)
    board.read(RetrySection).left["s"] = 0.0
    chosen = chooser(board)(request(), frozenset({"a"}), ran)
    assert chosen.record.upstream == "b"


@pytest.mark.parametrize("seed", range(5))
def test_upstream_that_was_tried_comes_last(seed):
    choose = chooser(board_with("a", "b", "c"), seed)
    assert choose(request(), frozenset({"a", "b"}), False).record.upstream == "c"
    assert choose(request(), frozenset({"a", "b", "c"}), False) is not None


def test_savings_are_bounded():
    section = RetrySection()
    for _ in range(10_000):
        note_first_attempt(section, "s", 1.0)
    taken = 0
    while take_retry(section, "s"):
        taken += 1
    assert taken == MAX_SAVED


@pytest.mark.parametrize("backlog_s", [0.0, 5.0, 1000.0])
def test_refused_callers_come_back_at_different_times(backlog_s):
    rng = Random(1)
    times = [spread_retry_after_s(backlog_s, rng) for _ in range(1000)]
    low = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, backlog_s))
    assert low <= min(times) < 1.1 * low
    assert 2.9 * low < max(times) <= 3 * low
