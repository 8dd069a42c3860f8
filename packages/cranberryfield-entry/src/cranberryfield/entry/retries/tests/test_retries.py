from random import Random

import pytest

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.settings import EffectiveSettings
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.entry.membership import UpstreamsSection, merge_upstream
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.retries import (
    RetryBudgetSection,
    jittered_retry_after_s,
    spend_retry,
)
from cranberryfield.entry.retries.ratio_budget import (
    INITIAL_RETRIES,
    MAX_ACCUMULATED_RETRIES,
    credit_first_attempt,
)
from cranberryfield.entry.retries.retry_after import (
    MAX_BASE_DELAY_S,
    MIN_BASE_DELAY_S,
)
from cranberryfield.entry.routing import (
    DispatchSection,
    PrefixSection,
    make_upstream_selector,
)


def request(budget=0.2):
    return Request(
        "w", "s", "k", True, "r", True, "POST", "/", "t", b"", b"",
        "standard", 1e9, EffectiveSettings(retry_budget=budget),
    )  # fmt: skip


def board_with_upstreams(*names, leaving=()):
    board = Blackboard()
    board.add(SettingsSection())
    upstreams = board.add(UpstreamsSection())
    for section in (DispatchSection(), PrefixSection(), RetryBudgetSection()):
        board.add(section)
    for name in names:
        record = UpstreamRecord(
            name, 1, 0, "s", "d", "a:1", "m", (), 4, 2000, name in leaving
        )
        merge_upstream(upstreams, record, 0.0)
    return board


def selector(board, seed=1):
    return make_upstream_selector(board, "d", lambda: 0.0, Random(seed))


@pytest.mark.parametrize("ratio", [0.0, 0.2, 1.0])
def test_retries_stay_within_ratio_when_every_attempt_is_refused(ratio):
    choose = selector(board_with_upstreams("a", "b", "c"))
    first_attempts, retries = 2000, 0
    for _ in range(first_attempts):
        tried = [choose(request(ratio), frozenset(), False)]
        try:
            for _ in range(7):
                names = frozenset(one.record.upstream for one in tried)
                tried.append(choose(request(ratio), names, False))
                retries += 1
        except UnavailableError as error:
            assert error.kind is ErrorKind.UPSTREAM_FAILED
            assert error.was_run.value == "no"
            assert error.retry_after_s >= MIN_BASE_DELAY_S
    assert retries <= INITIAL_RETRIES + first_attempts * ratio


FREE_RETRIES = [
    ("it may have run", ("a", "b"), (), True),
    ("the upstream left", ("a", "b"), ("a",), False),
    ("the upstream is forgotten", ("b",), (), False),
]


@pytest.mark.parametrize(
    ("names", "leaving", "may_have_run"),
    [row[1:] for row in FREE_RETRIES],
    ids=[row[0] for row in FREE_RETRIES],
)
def test_recovery_costs_no_retry_budget(names, leaving, may_have_run):
    board = board_with_upstreams(*names, leaving=leaving)
    board.read(RetryBudgetSection).retries_left["s"] = 0.0
    chosen = selector(board)(request(), frozenset({"a"}), may_have_run)
    assert chosen.record.upstream == "b"


@pytest.mark.parametrize("seed", range(5))
def test_untried_upstreams_are_preferred(seed):
    choose = selector(board_with_upstreams("a", "b", "c"), seed)
    assert choose(request(), frozenset({"a", "b"}), False).record.upstream == "c"
    assert choose(request(), frozenset({"a", "b", "c"}), False) is not None


def test_accumulated_retries_are_bounded():
    section = RetryBudgetSection()
    for _ in range(10_000):
        credit_first_attempt(section, "s", 1.0)
    spent = 0
    while spend_retry(section, "s"):
        spent += 1
    assert spent == MAX_ACCUMULATED_RETRIES


@pytest.mark.parametrize("backlog_s", [0.0, 5.0, 1000.0])
def test_retry_delays_are_spread_over_range(backlog_s):
    rng = Random(1)
    delays_s = [jittered_retry_after_s(backlog_s, rng) for _ in range(1000)]
    low = min(MAX_BASE_DELAY_S, max(MIN_BASE_DELAY_S, backlog_s))
    assert low <= min(delays_s) < 1.1 * low
    assert 2.9 * low < max(delays_s) <= 3 * low
