"""A group's first leader may call the cloud at once; later leaders wait."""

from random import Random

import pytest

from cranberryfield.control.consensus.leader_replication import is_first_leader
from cranberryfield.control.consensus.replica import Replica, ReplicaRole
from cranberryfield.core.messages.consensus import LogEntry
from cranberryfield.daemon.cluster.cloud import FencingToken
from cranberryfield.daemon.cluster.cloud_calls import FencingTokenIssuer

WAIT_S = 3.0


class LeadingRuntime:
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
    ("term", "terms", "commit_index", "expects_token"),
    [
        (1, (1, 1), 2, True),
        (2, (2,), 1, True),
        (1, (1,), 0, False),
        (1, (), 0, False),
        (2, (1, 2), 2, False),
    ],
)
def test_only_a_leader_with_a_possible_predecessor_waits(
    term, terms, commit_index, expects_token
):
    now = 10.0
    runtime = LeadingRuntime(term, terms, commit_index)
    token_issuer = FencingTokenIssuer("c1", runtime, WAIT_S, lambda: now)
    expected = FencingToken("c1", term) if expects_token else None
    assert token_issuer.issue_token() == expected
    now += WAIT_S
    assert token_issuer.issue_token() == FencingToken("c1", term)


@pytest.mark.parametrize(
    ("idle_s", "expected"), [(60.0, FencingToken("c1", 2)), (1.0, None), (4.0, None)]
)
def test_idle_host_gets_a_token_as_soon_as_it_leads(idle_s, expected):
    now = 10.0
    runtime = LeadingRuntime(1, (1,), 1)
    token_issuer = FencingTokenIssuer("c1", runtime, WAIT_S, lambda: now)
    assert token_issuer.issue_token() == FencingToken("c1", 1)
    runtime.replica.term = None
    now += 0.1
    assert token_issuer.issue_token() is None
    now += idle_s
    runtime.replica.term = 2
    assert token_issuer.issue_token() == expected
    assert token_issuer.time_in_term_s == 0.0


def test_compacted_log_does_not_prove_a_first_leader():
    runtime = LeadingRuntime(1, (1, 1, 1), 3)
    runtime.replica.log.compact(2)
    assert not is_first_leader(runtime.replica)
