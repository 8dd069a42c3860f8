"""A group's first leader may call the cloud at once; later leaders wait."""

from random import Random

import pytest

from cranberryfield.control.consensus.leader_replication import is_first_leader
from cranberryfield.control.consensus.replica import Replica, ReplicaRole
from cranberryfield.core.messages.consensus import LogEntry
from cranberryfield.daemon.cluster.duties import Fence, Leadership

WAIT_S = 3.0


class Runtime:
    """Control runtime whose replica is the leader."""

    def __init__(self, term, terms, commit_index):
        self.replica = Replica("c1", Random(1), term=term, role=ReplicaRole.LEADER)
        entries = [LogEntry(index, one, b"x") for index, one in enumerate(terms, 1)]
        self.replica.log.append(tuple(entries))
        self.replica.commit_index = commit_index

    def leading_term(self):
        return self.replica.term

    def is_first_leader(self):
        return is_first_leader(self.replica)


@pytest.mark.parametrize(
    ("term", "terms", "commit_index", "acts_at_once"),
    [
        (1, (1, 1), 2, True),
        (2, (2,), 1, True),
        (1, (1,), 0, False),
        (1, (), 0, False),
        (2, (1, 2), 2, False),
    ],
)
def test_only_a_leader_that_may_have_a_predecessor_waits(
    term, terms, commit_index, acts_at_once
):
    now = 10.0
    runtime = Runtime(term, terms, commit_index)
    leadership = Leadership("c1", runtime, WAIT_S, lambda: now)
    expected = Fence("c1", term) if acts_at_once else None
    assert leadership.fence() == expected
    now += WAIT_S
    assert leadership.fence() == Fence("c1", term)


@pytest.mark.parametrize(
    ("acted_s_ago", "expected"), [(60.0, Fence("c1", 2)), (1.0, None), (4.0, None)]
)
def test_a_host_that_has_not_acted_for_long_acts_as_soon_as_it_leads(
    acted_s_ago, expected
):
    now = 10.0
    runtime = Runtime(1, (1,), 1)
    leadership = Leadership("c1", runtime, WAIT_S, lambda: now)
    assert leadership.fence() == Fence("c1", 1)
    runtime.replica.term = None
    now += 0.1
    assert leadership.fence() is None
    now += acted_s_ago
    runtime.replica.term = 2
    assert leadership.fence() == expected
    assert leadership.led_for_s == 0.0


def test_a_log_without_its_beginning_tells_nothing_of_earlier_leaders():
    runtime = Runtime(1, (1, 1, 1), 3)
    runtime.replica.log.compact(2)
    assert not is_first_leader(runtime.replica)
