"""Rollouts of drawn versions in virtual time, also under one failure at a time.

`bench/measure_rollouts.py` runs the same with 200 good and 200 bad versions.
"""

from dataclasses import replace

import pytest

from bench.measure_rollouts import BOUND, SERVICES, measure_bad, measure_good
from cranberryfield.control.rollouts.leadership import decide_rollouts
from cranberryfield.control.rollouts.plan import ExposureBound, Plan
from cranberryfield.core.messages.rollouts import RolloutStage
from standins.rollout_loads import ENGINE_SERVICE, PLAIN_SERVICE, Fault
from standins.rollout_model import run_rollout

OBSERVING, ADVANCING, SWITCHING, COMPLETED, ROLLED_BACK = RolloutStage
FAILS = Fault(failures=0.5)
SLOW = Fault(slowness=4.0)
DRAWN = 20


@pytest.mark.parametrize("name", SERVICES)
def test_good_versions_complete_by_the_deadline(name):
    stages = measure_good(name, DRAWN)
    assert stages[COMPLETED] >= 0.95 * DRAWN, stages
    assert not stages["broken off"]


@pytest.mark.parametrize("name", SERVICES)
def test_bad_versions_are_rolled_back_within_the_bound(name):
    found = measure_bad(name, DRAWN)
    rolled_back = sum(stages[ROLLED_BACK] for stages in found.values())
    assert rolled_back >= 0.95 * DRAWN, found
    assert not sum(stages["beyond"] for stages in found.values()), found


#: One failure at a time: the leader is lost at each stage; relays are cut off, frozen
#: for 5 s, or restarted. The loss of a leader takes 2.3 s until the next one decides,
#: so that 12 s are too short for some good versions.
FAILURE_DURATION_S = 16.0
FAILURES = {
    "leader lost at the order": {"leader_lost_at": 0.2},
    "leader lost while observing": {"leader_lost_at": 3.0},
    "leader lost while advancing": {"leader_lost_in": ADVANCING},
    "leader lost while switching": {"leader_lost_in": SWITCHING},
    "relays cut off": {"cut_off": (20, 4.0, 9.0)},
    "relays cut off for good": {"cut_off": (20, 8.0, 99.0)},
    "relays frozen while observing": {"frozen": (20, 3.0, 8.0)},
    "a relay frozen while switching": {"frozen": (1, 8.0, 13.0)},
    "all hosts off and on": {"restarted_at": 3.0},
    "upstreams announced late": {"target_from_s": 5.0},
    "relays begin without credit": {"initial_credit": False},
    "360 relays": {"relays": 360},
}


@pytest.mark.parametrize("options", FAILURES.values(), ids=FAILURES.keys())
@pytest.mark.parametrize("fault", [None, FAILS, SLOW], ids=["good", "fails", "slow"])
def test_one_failure_changes_no_outcome(options, fault):
    options = {"duration_s": FAILURE_DURATION_S, **options}
    result = run_rollout(7, PLAIN_SERVICE, fault, bound=BOUND, **options)
    assert result.stage is (COMPLETED if fault is None else ROLLED_BACK), result.reason
    stages = [stage for _, stage, _ in result.stages]
    assert stages == sorted(stages)
    assert fault is None or not result.exceeds(BOUND)


def test_no_run_is_broken_off_when_the_leader_is_lost_at_the_switch():
    result = run_rollout(7, ENGINE_SERVICE, bound=BOUND, leader_lost_in=SWITCHING)
    assert not result.killed
    assert result.stage in (SWITCHING, COMPLETED)


#: Situations without a sample.
WITHOUT_SAMPLE = {
    "no traffic": ({"rate_factor": 0.0}, COMPLETED),
    "no upstream of the target": ({"target_from_s": 99.0}, ROLLED_BACK),
    "the target serves alone": ({"has_old": False}, COMPLETED),
    "all relays cut off": ({"cut_off": (66, 0.5, 99.0)}, ROLLED_BACK),
    "all relays frozen": ({"frozen": (66, 0.5, 99.0)}, ROLLED_BACK),
}


@pytest.mark.parametrize(
    ("options", "stage"), WITHOUT_SAMPLE.values(), ids=WITHOUT_SAMPLE.keys()
)
def test_a_rollout_without_a_sample_ends_by_the_deadline(options, stage):
    result = run_rollout(3, PLAIN_SERVICE, bound=BOUND, **options)
    assert result.stage is stage, result.reason


def without_limit(leadership, state, serving, bound, now, wall_now):
    """Decide with a bound that never limits the share."""
    open_bound = ExposureBound(2.0, 0.0)
    return decide_rollouts(leadership, state, serving, open_bound, now, wall_now)


def without_verdict(leadership, state, serving, bound, now, wall_now):
    """Decide without outcomes of the target version, so that nothing is bad."""
    for track in leadership.tracks.values():
        track.counts.take_slice()
        track.evidence.outcomes = 1_000
    due = decide_rollouts(leadership, state, serving, bound, now, wall_now)
    return [
        (rollout, plan) for rollout, plan in due if plan.next_stage is not ROLLED_BACK
    ]


def without_waiting(leadership, state, serving, bound, now, wall_now):
    """Decide, and complete as soon as the switch is begun."""
    due = decide_rollouts(leadership, state, serving, bound, now, wall_now)
    for rollout in state.latest.values():
        if rollout.stage is SWITCHING:
            due.append((rollout, Plan(1.0, COMPLETED)))
    return due


# Show that the model notices it when a decision is missing.
def test_exposure_is_exceeded_without_the_limit():
    late = replace(FAILS, from_s=5.0)
    result = run_rollout(1, ENGINE_SERVICE, late, bound=BOUND, decide=without_limit)
    assert result.exposed > BOUND.ratio * result.arrivals + BOUND.allowance


def test_a_bad_version_gets_through_without_the_verdict():
    result = run_rollout(1, ENGINE_SERVICE, FAILS, bound=BOUND, decide=without_verdict)
    assert result.stage is not ROLLED_BACK
    assert result.exceeds(BOUND)
    assert result.last_exposed_s > result.bad_limit_at_s + 5.0


def test_runs_are_broken_off_without_waiting_for_them():
    result = run_rollout(1, ENGINE_SERVICE, bound=BOUND, decide=without_waiting)
    assert result.killed
