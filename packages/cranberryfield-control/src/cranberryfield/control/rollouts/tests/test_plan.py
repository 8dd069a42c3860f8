"""Shares and stages by what the leader knows of a rollout."""

from dataclasses import replace

import pytest

from cranberryfield.control.rollouts.plan import (
    ExposureBound,
    Situation,
    plan_rollout,
)
from cranberryfield.control.rollouts.verdict import Finding, Verdict
from cranberryfield.core.messages.rollouts import RolloutStage

OBSERVING, ADVANCING, SWITCHING, COMPLETED, ROLLED_BACK = RolloutStage
BOUND = ExposureBound(0.1, 50.0)
GOOD = Verdict(Finding.GOOD, False, "no fault")
BAD = Verdict(Finding.BAD, True, "9 of 20 failed")
SMALL = Verdict(Finding.UNDECIDED, False, "sample too small")
DOUBTFUL = Verdict(Finding.UNDECIDED, False, "suspect", True)
SUSPECT = Verdict(Finding.UNDECIDED, True, "suspect", True)
BUSY = Situation(
    OBSERVING,
    4.0,
    12.0,
    4.0,
    SMALL,
    1_360.0,
    50.0,
    340.0,
    target_upstreams=30,
    outcomes=40,
)
IDLE = {"arrivals": 0.0, "target_attempts": 0.0, "rate_per_s": 0.0}

#: Changes of a busy service's situation, the stage to propose, and bounds of the share.
SITUATIONS = {
    "observing": ({}, None, 0.04, 0.14),
    "bad": ({"verdict": BAD}, ROLLED_BACK, 0, 0),
    "bad while switching": ({"stage": SWITCHING, "verdict": BAD}, ROLLED_BACK, 0, 0),
    "good early": ({"verdict": GOOD}, None, 0.04, 0.14),
    "good": ({"verdict": GOOD, "elapsed_s": 6.7}, ADVANCING, 0.04, 0.14),
    "good, few slots yet": (
        {"verdict": GOOD, "elapsed_s": 6.7, "capacity_ratio": 0.1},
        None,
        0.04,
        0.14,
    ),
    "small sample late": ({"elapsed_s": 8.1}, ADVANCING, 0.04, 0.14),
    "suspect late": ({"verdict": SUSPECT, "elapsed_s": 8.1}, ROLLED_BACK, 0, 0),
    "no upstream of the target": ({"target_upstreams": 0}, None, 0, 0),
    "no upstream of the target at the end": (
        {"target_upstreams": 0, "elapsed_s": 11.5},
        ROLLED_BACK,
        0,
        0,
    ),
    "target serves alone": ({"has_other_upstreams": False}, SWITCHING, 1, 1),
    "target serves alone, drained": (
        {"stage": SWITCHING, "has_other_upstreams": False, "is_drained": True},
        COMPLETED,
        1,
        1,
    ),
    "relays are silent": ({"has_reports": False}, None, 0, 0),
    "relays are silent at the end": (
        {"has_reports": False, "elapsed_s": 11.5},
        ROLLED_BACK,
        0,
        0,
    ),
    "no traffic": (
        {"arrivals": 0.0, "target_attempts": 0.0, "rate_per_s": 0.0},
        None,
        0.1,
        1,
    ),
    "no traffic late": ({**IDLE, "elapsed_s": 8.1}, ADVANCING, 0.1, 1),
    "exposure at the bound": ({"target_attempts": 186.0}, None, 0, 0.1),
    "exposure beyond the bound": ({"target_attempts": 800.0}, None, 0, 0),
    "inherited": ({"is_inherited": True, "target_attempts": 0.0}, None, 0.04, 0.1),
    "first step": (
        {"stage": ADVANCING, "stage_s": 0.1, "elapsed_s": 6.8, "verdict": GOOD},
        None,
        0.25,
        0.25,
    ),
    "first step with a small sample": (
        {"stage": ADVANCING, "stage_s": 0.1, "elapsed_s": 6.8},
        None,
        0.1,
        0.2,
    ),
    "small sample at the last moment": (
        {"stage": ADVANCING, "stage_s": 2.1, "elapsed_s": 9.8},
        SWITCHING,
        1,
        1,
    ),
    "hardly any sample at the last moment": (
        {"stage": ADVANCING, "stage_s": 2.1, "elapsed_s": 9.8, "outcomes": 2},
        ROLLED_BACK,
        0,
        0,
    ),
    "second step": (
        {"stage": ADVANCING, "stage_s": 1.1, "elapsed_s": 7.6, "verdict": GOOD},
        None,
        0.5,
        0.5,
    ),
    "last step": (
        {"stage": ADVANCING, "stage_s": 2.1, "elapsed_s": 8.8, "verdict": GOOD},
        SWITCHING,
        1,
        1,
    ),
    "doubt at the last step": (
        {"stage": ADVANCING, "stage_s": 2.1, "elapsed_s": 8.8, "verdict": DOUBTFUL},
        None,
        0.1,
        0.2,
    ),
    "suspect at the last moment": (
        {"stage": ADVANCING, "stage_s": 2.1, "elapsed_s": 9.8, "verdict": SUSPECT},
        ROLLED_BACK,
        0,
        0,
    ),
    "advancing at the deadline": (
        {"stage": ADVANCING, "stage_s": 0.1, "elapsed_s": 11.6},
        ROLLED_BACK,
        0,
        0,
    ),
    "old runs": ({"stage": SWITCHING, "stage_s": 3.0, "elapsed_s": 11.0}, None, 1, 1),
    "old runs after the deadline": (
        {"stage": SWITCHING, "stage_s": 9.0, "elapsed_s": 15.0},
        None,
        1,
        1,
    ),
    "drained at once": (
        {"stage": SWITCHING, "stage_s": 0.3, "elapsed_s": 9.0, "is_drained": True},
        None,
        1,
        1,
    ),
    "drained": (
        {"stage": SWITCHING, "stage_s": 1.3, "elapsed_s": 10.0, "is_drained": True},
        COMPLETED,
        1,
        1,
    ),
    "drained, suspect at the end": (
        {
            "stage": SWITCHING,
            "stage_s": 1.3,
            "elapsed_s": 11.5,
            "is_drained": True,
            "verdict": SUSPECT,
        },
        ROLLED_BACK,
        0,
        0,
    ),
    "completed": ({"stage": COMPLETED}, None, 1, 1),
    "rolled back": ({"stage": ROLLED_BACK, "verdict": BAD}, None, 0, 0),
}


@pytest.mark.parametrize(
    ("changes", "stage", "least", "most"), SITUATIONS.values(), ids=SITUATIONS.keys()
)
def test_plans_of_a_busy_service(changes, stage, least, most):
    plan = plan_rollout(replace(BUSY, **changes), BOUND)
    assert plan.next_stage is stage
    assert least <= plan.share <= most


# Guards against a share that spends more within a lease than the bound leaves, for any
# traffic and any exposure so far, also if twice as many requests arrive.
@pytest.mark.parametrize("rate_per_s", [0.5, 5.0, 98.0, 340.0, 5_000.0])
@pytest.mark.parametrize("elapsed_s", [1.0, 4.0, 8.0])
@pytest.mark.parametrize("part", [0.0, 0.5, 0.9, 1.0])
@pytest.mark.parametrize("burst", [1.0, 2.0])
def test_a_lease_never_exceeds_the_bound(rate_per_s, elapsed_s, part, burst):
    arrivals = rate_per_s * elapsed_s
    attempts = part * (0.1 * arrivals + 50.0)
    situation = replace(
        BUSY,
        elapsed_s=elapsed_s,
        arrivals=arrivals,
        target_attempts=attempts,
        rate_per_s=rate_per_s,
    )
    share = plan_rollout(situation, BOUND).share
    arriving = burst * rate_per_s * 3.0
    assert attempts + share * arriving <= 0.1 * (arrivals + arriving) + 50.0
