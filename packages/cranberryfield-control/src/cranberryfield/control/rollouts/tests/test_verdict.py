"""Verdicts on drawn outcomes of old and new versions."""

from random import Random

import pytest

from cranberryfield.control.rollouts.counts import Outcomes
from cranberryfield.control.rollouts.verdict import (
    Evidence,
    Finding,
    current_verdict,
    update_evidence,
)

GOOD, BAD, UNDECIDED = Finding
SLICES = 30
ROUTES = ("booking", "lookup")
PLACES = ("fann", "glen")
USUAL_BUCKET = 12


def draw(rng, count, failures, bucket):
    outcomes = Outcomes(count)
    for _ in range(count):
        if rng.random() < failures:
            outcomes.failures += 1
        else:
            outcomes.durations[min(39, bucket + rng.choice((-1, 0, 0, 1)))] += 1
    return outcomes


def verdict_after(seed, new_count, behaviour, slices=SLICES, old_count=10):
    """Return the verdict after slices of drawn outcomes.

    `behaviour` gives failure rates of old and new, and the buckets by which answers of
    the new are slower, for a slice, route and data centre.
    """
    rng, evidence = Random(seed), Evidence()
    for number in range(slices):
        cells = {}
        for route in ROUTES:
            for place in PLACES:
                old, new, slower = behaviour(number, route, place)
                cells[route, place] = (
                    draw(rng, old_count, old, USUAL_BUCKET),
                    draw(rng, new_count, new, USUAL_BUCKET + slower),
                )
        update_evidence(evidence, cells)
        if current_verdict(evidence).finding is BAD:
            break
    return current_verdict(evidence)


#: Behaviour of the versions by the load that they answer, and the verdict.
LOADS = {
    "both sound": (lambda s, r, p: (0.003, 0.003, 0), GOOD),
    "both fail often": (lambda s, r, p: (0.3, 0.3, 0), None),
    "both fail for a second": (
        lambda s, r, p: (0.8, 0.8, 0) if 10 <= s < 15 else (0.003, 0.003, 0),
        GOOD,
    ),
    "a data centre is cut for a second": (
        lambda s, r, p: (0.9, 0.9, 0) if 10 <= s < 15 and p == "fann" else (0, 0, 0),
        GOOD,
    ),
    "new fails": (lambda s, r, p: (0.003, 0.3, 0), BAD),
    "new fails in one of ten": (lambda s, r, p: (0.003, 0.12, 0), BAD),
    "new fails later": (lambda s, r, p: (0.003, 0.4 if s > 15 else 0.003, 0), BAD),
    "new fails on one route": (
        lambda s, r, p: (0.003, 0.4 if r == "lookup" else 0.003, 0),
        BAD,
    ),
    "new fails in one data centre": (
        lambda s, r, p: (0.003, 0.4 if p == "glen" else 0.003, 0),
        BAD,
    ),
    "new is 4 times slower": (lambda s, r, p: (0.003, 0.003, 4), BAD),
    "new is 1.4 times slower": (lambda s, r, p: (0.003, 0.003, 1), GOOD),
    "new is slow on one route": (
        lambda s, r, p: (0.003, 0.003, 4 if r == "booking" else 0),
        BAD,
    ),
}


# Guards against a faulty version that is taken for good, and a sound one that is rolled
# back for what also hits the old one.
@pytest.mark.parametrize(("behaviour", "expected"), LOADS.values(), ids=LOADS.keys())
def test_verdicts_by_load(behaviour, expected):
    found = [verdict_after(seed, 2, behaviour).finding for seed in range(20)]
    if expected is None:
        assert BAD not in found
    else:
        assert found.count(expected) >= 19, found


# The stated error rate: at most e**-7 for each of some 20 scores.
def test_a_sound_version_is_rarely_found_bad():
    sound = LOADS["both sound"][0]
    found = [verdict_after(seed, 1, sound, slices=40).finding for seed in range(150)]
    assert found.count(BAD) <= 3


def test_few_outcomes_decide_nothing():
    verdict = verdict_after(1, 1, LOADS["both sound"][0], slices=2)
    assert verdict.finding is UNDECIDED
    assert verdict.reason.startswith("sample too small")


def test_nothing_is_compared_without_old_outcomes():
    verdict = verdict_after(1, 3, lambda s, r, p: (0, 0.9, 0), old_count=0)
    assert verdict.finding is UNDECIDED


def test_one_slice_with_many_failures_does_not_decide():
    def crash(number, route, place):
        return (0.003, 1.0 if number == 20 else 0.003, 0)

    verdict = verdict_after(1, 3, crash, slices=21)
    assert verdict.finding is not BAD
