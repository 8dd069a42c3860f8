"""Which reports show that nothing runs on old versions any more."""

import pytest

from cranberryfield.control.rollouts.leadership import (
    Leadership,
    decide_rollouts,
    make_grants,
    record_report,
)
from cranberryfield.control.rollouts.machine import (
    RolloutsState,
    apply_rollout_command,
)
from cranberryfield.control.rollouts.plan import ExposureBound, VersionsServing
from cranberryfield.core.messages.rollouts import (
    AdvanceRollout,
    BeginRollout,
    RolloutCounts,
    RolloutReport,
    RolloutStage,
)

SERVING = {"s": VersionsServing(4, 24, 4, 24)}
BOUND = ExposureBound(0.1, 50.0)
BEGUN_S, SWITCHED_S, NOW_S = 100.0, 108.0, 110.0


class SwitchingLeader:
    """A leader of term 2 with a rollout that switches, and its grants."""

    def __init__(self):
        self.state = RolloutsState()
        order = BeginRollout("s", "v2", 12_000, int(BEGUN_S * 1000))
        apply_rollout_command(self.state, order)
        self.leadership = Leadership(2, BEGUN_S)
        self.decide(BEGUN_S + 1)
        advance = AdvanceRollout(1, RolloutStage.SWITCHING)
        apply_rollout_command(self.state, advance)
        self.decide(SWITCHED_S)
        self.revision = make_grants(self.leadership, self.state).revision

    def decide(self, now):
        return decide_rollouts(self.leadership, self.state, SERVING, BOUND, now, now)

    def report(self, node, at, running=0, revision=None, knows=True):
        revision = self.revision if revision is None else revision
        counts = (RolloutCounts(1, 10, 5, running),) if knows else ()
        report = RolloutReport(1, revision, counts)
        record_report(self.leadership, node, report, at)

    def completes(self, now=NOW_S):
        return [plan.next_stage for _, plan in self.decide(now)] == [
            RolloutStage.COMPLETED
        ]


#: Last report of a second relay, and whether the rollout is completed 2 s before the
#: deadline. Old upstreams stop at the completion, and with them what still runs there.
SECOND_RELAYS = {
    "drained": ({}, True),
    "has a run": ({"running": 1}, False),
    "has earlier grants": ({"revision": 0}, False),
    "has grants of the last term": ({"revision": (1 << 24) + 900}, False),
    "does not know the rollout": ({"knows": False}, False),
    "silent for 3 s": ({"at": NOW_S - 3.0, "running": 1}, False),
    "silent for 6 s": ({"at": NOW_S - 6.0, "running": 1}, True),
}


@pytest.mark.parametrize(
    ("second", "is_completed"), SECOND_RELAYS.values(), ids=SECOND_RELAYS.keys()
)
def test_a_rollout_waits_for_runs_on_old_versions(second, is_completed):
    leader = SwitchingLeader()
    leader.report("relay-1", NOW_S)
    leader.report("relay-2", **{"at": NOW_S, **second})
    assert leader.completes() is is_completed


def test_a_silent_relay_is_not_waited_for_at_the_deadline():
    leader = SwitchingLeader()
    leader.report("relay-1", 111.4)
    leader.report("relay-2", 109.0, running=1)
    assert leader.completes(111.5)


def test_a_running_stream_is_waited_for_beyond_the_deadline():
    leader = SwitchingLeader()
    leader.report("relay-1", 113.0, running=1)
    assert not leader.completes(113.1)
    leader.report("relay-1", 113.5)
    assert leader.completes(113.6)


def test_without_any_report_nothing_is_completed():
    assert not SwitchingLeader().completes()
