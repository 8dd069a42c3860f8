"""An upstream of a real cluster that says that it leaves, or wants a pause."""

import time

import pytest

from standins.platform_cluster import RELAYS, running_cluster
from standins.platform_runner import REFUSED_WORD
from standins.processes import wait_until
from standins.runner_fleet import RunnerFleet

RUNNERS = 2
#: Time in which the notice of one relay reaches all others, in seconds.
NOTICE_S = 2.0
WATCHED_S = 2.0
PAUSE_S = 3.0


@pytest.fixture
def cluster(tmp_path):
    with running_cluster(tmp_path) as running:
        yield running


def journal(cluster):
    return [line.split() for line in cluster.runs_path.read_text().splitlines()]


def send_until(cluster, until):
    """Send requests to all relays; return the statuses of their responses."""
    statuses = []
    while time.monotonic() < until:
        statuses += [cluster.request_status(relay) for relay in RELAYS]
        time.sleep(0.02)
    return statuses


# Guards against relays that go by what is announced: the upstream still says that it is
# ready, and only one relay has had an answer that says otherwise.
def test_no_relay_uses_an_upstream_that_told_one_of_them_that_it_leaves(cluster):
    cluster.state_leaving(True)
    assert cluster.request_status(RELAYS[0]) == 200
    with RunnerFleet(cluster, RUNNERS):
        for sequence in range(10, 12):
            assert cluster.announce("control-1", cluster.runner_port, sequence)
        time.sleep(NOTICE_S)
        begin = time.monotonic()
        for relay in RELAYS:
            wait_until(lambda one=relay: cluster.request_status(one) == 200, relay)
        assert set(send_until(cluster, begin + WATCHED_S)) == {200}
        assert not [line for line in journal(cluster) if float(line[2]) > begin]
        # A later start under the same id is another process.
        cluster.state_leaving(False)
        assert cluster.announce(
            "control-1", cluster.runner_port, 1, started_at=time.time()
        )

        def is_used():
            for relay in RELAYS:
                cluster.request_status(relay)
            return any(float(line[2]) > begin for line in journal(cluster))

        wait_until(is_used, "the new start gets requests")


def test_an_upstream_gets_nothing_from_relays_that_it_asked_for_a_pause(cluster):
    cluster.state_pause(PAUSE_S)
    begin = time.monotonic()
    statuses = [cluster.request_status(relay) for relay in RELAYS]
    statuses += send_until(cluster, begin + 0.8 * PAUSE_S)
    assert set(statuses) == {503}
    refused = [line for line in journal(cluster) if line[-1] == REFUSED_WORD]
    assert len(refused) == len(RELAYS)
    cluster.state_pause(None)
    for relay in RELAYS:
        wait_until(
            lambda one=relay: cluster.request_status(one) == 200, f"{relay} serves"
        )
