"""Short soak test for CI with fixed seeds, and tests of its checks."""

import pytest

from tests.soak.promises import Evidence, Sent, broken_promises
from tests.soak.run import play

SECONDS = 8.0
#: Includes seeds that once failed, for regression.
#: 201: a reload signal during the first second of a relay's start ended the relay.
SEEDS = [1, 201]


def sent(**changes):
    fields = {
        "id": "r1",
        "at": 10.0,
        "is_once": True,
        "key": "k1",
        "status": 200,
        "answered": "r1",
    }
    return Sent(**{**fields, **changes})


@pytest.mark.parametrize(
    ("request_", "runs", "words"),
    [
        (sent(), ["r1"], None),
        (sent(), ["r1", "r1"], "ran 2 times"),
        (sent(is_once=False), ["r1", "r1"], None),
        (sent(status=503, answered=None), ["r1"], "refused as not run"),
        (sent(status=502, answered=None), ["r1"], None),
        (sent(answered="r2"), ["r1"], "got the answer to r2"),
        (sent(), [], "without a run"),
        (sent(), ["r1", "r9"], "nobody sent it"),
        (sent(key="k2"), ["r1"], "key withdrawn"),
        (sent(key="k2", at=4.9), ["r1"], None),
    ],
)
def test_broken_promises_are_named(request_, runs, words):
    found = broken_promises(Evidence([request_], runs, withdrawn_at=0.0))
    assert bool(found) is (words is not None)
    assert words is None or words in found[0]


@pytest.mark.parametrize(("read", "is_broken"), [(7, False), (6, True), (8, False)])
def test_a_read_older_than_an_acknowledgement_is_named(read, is_broken):
    evidence = Evidence(acknowledged=[(1.0, 7)], reads=[(2.0, read)])
    assert bool(broken_promises(evidence)) is is_broken


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken_under_faults(seed, tmp_path):
    outcome = play(tmp_path, seed, SECONDS)
    assert outcome.broken == [], outcome.faults
    assert outcome.served
