"""Tests of the rules for retries and moves."""

import pytest

from cranberryfield.entry.requests.move_policy import requested_tokens, should_move
from cranberryfield.entry.requests.retry_policy import (
    MAX_ATTEMPTS,
    AttemptEnd,
    AttemptResult,
    decide_next_step,
)

FINISHED, NOT_RUN, BROKEN, MOVED = AttemptResult

# Result, idempotent, attempts, ran_before, deadline_passed, and the expected step;
# for GiveUp its kind and was_run.
ENDS = [
    (FINISHED, True, 1, True, True, "Finish"),
    (NOT_RUN, False, 1, False, False, "Retry"),
    (NOT_RUN, False, 1, False, True, "deadline_exceeded no"),
    (NOT_RUN, False, MAX_ATTEMPTS, False, False, "upstream_failed no"),
    (NOT_RUN, True, MAX_ATTEMPTS, True, False, "upstream_failed unknown"),
    (BROKEN, False, 1, True, False, "outcome_unknown unknown"),
    (BROKEN, False, 1, True, True, "outcome_unknown unknown"),
    (BROKEN, True, 1, True, False, "Retry"),
    (BROKEN, True, 1, True, True, "deadline_exceeded unknown"),
    (MOVED, True, 0, True, False, "Retry"),
    (MOVED, True, 0, True, True, "deadline_exceeded unknown"),
]


@pytest.mark.parametrize(
    ("result", "idempotent", "attempts", "ran_before", "deadline_passed", "expected"),
    ENDS,
)
def test_next_step(result, idempotent, attempts, ran_before, deadline_passed, expected):
    step = decide_next_step(
        AttemptEnd(result),
        idempotent=idempotent,
        attempts=attempts,
        ran_before=ran_before,
        deadline_passed=deadline_passed,
    )
    name = type(step).__name__
    seen = f"{step.kind.value} {step.was_run.value}" if name == "GiveUp" else name
    assert seen == expected


# Tokens left, time left in s, gap in s, and whether to move; the margin is 0.8 s.
MOVES = [
    (10, 2.0, 0.02, False),
    (70, 2.0, 0.02, True),
    (None, 2.0, 0.02, False),
    (None, 0.7, 0.02, True),
    (10, 2.0, 0.0, False),
    (0, 0.8, 0.02, True),
    (5, -1.0, 0.02, True),
]


@pytest.mark.parametrize(("tokens", "left_s", "gap_s", "expected"), MOVES)
def test_should_move(tokens, left_s, gap_s, expected):
    assert should_move(tokens, gap_s, left_s, 0.8) is expected


@pytest.mark.parametrize(
    ("body", "expected"),
    [(b'{"max_tokens": 7}', 7), (b"{}", None), (b'{"max_tokens": "x"}', None)],
)
def test_requested_tokens(body, expected):
    assert requested_tokens(body) == expected
