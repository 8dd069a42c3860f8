"""Which attempts count as failures of a software version."""

from types import SimpleNamespace

import pytest

from cranberryfield.core.http1 import Response
from cranberryfield.entry.relay.attempt_judgements import judge_cancelled, judge_result
from cranberryfield.entry.relay.attempt_results import (
    RelayAttemptOutcome,
    RelayAttemptResult,
)
from cranberryfield.entry.relay.request import ResponseMetadata
from cranberryfield.entry.rollouts import Judgement


def answered(status, pause_s=None):
    return RelayAttemptResult(
        RelayAttemptOutcome.ANSWERED,
        response=Response(status, [], b""),
        metadata=ResponseMetadata(pause_s=pause_s),
    )


RESULTS = {
    "success": (answered(200), Judgement.SUCCESS),
    "error of the caller": (answered(404), Judgement.SUCCESS),
    "server error": (answered(500), Judgement.FAILURE),
    "full": (answered(503, pause_s=1.0), Judgement.UNJUDGED),
    "stream": (RelayAttemptResult(RelayAttemptOutcome.STREAMED), Judgement.SUCCESS),
    "broken or wrong": (
        RelayAttemptResult(RelayAttemptOutcome.BROKEN),
        Judgement.FAILURE,
    ),
    "refused": (RelayAttemptResult(RelayAttemptOutcome.NOT_RUN), Judgement.UNJUDGED),
    "no connection": (
        RelayAttemptResult(RelayAttemptOutcome.NOT_SENT),
        Judgement.NOT_SENT,
    ),
    "another process": (
        RelayAttemptResult(RelayAttemptOutcome.MISDIRECTED),
        Judgement.NOT_SENT,
    ),
}


# Guards against a good version that is rolled back for what callers or full upstreams
# do, and a bad one whose failures are not seen.
@pytest.mark.parametrize(("result", "expected"), RESULTS.values(), ids=RESULTS.keys())
def test_results_are_judged(result, expected):
    assert judge_result(result) is expected


# Start and end of an attempt of a request that arrives at 0 s with a deadline at 8 s.
CANCELLED = {
    "the caller leaves": (0.0, 5.0, Judgement.UNJUDGED),
    "the deadline passes": (0.0, 8.0, Judgement.FAILURE),
    "the caller leaves at the deadline": (0.0, 7.96, Judgement.FAILURE),
    "begun too late": (7.8, 8.0, Judgement.UNJUDGED),
}


@pytest.mark.parametrize(
    ("started_at", "now", "expected"), CANCELLED.values(), ids=CANCELLED.keys()
)
def test_cancelled_attempts_are_judged(started_at, now, expected):
    route = SimpleNamespace(target_ms=500.0)
    assert judge_cancelled(route, 0.0, started_at, 8.0, now) is expected


# Guards against hanging attempts that are not seen on a route with short deadlines.
def test_short_deadline_counts():
    route = SimpleNamespace(target_ms=500.0)
    assert judge_cancelled(route, 0.0, 0.0, 0.3, 0.3) is Judgement.FAILURE
