"""Heartbeats and departures of other writers, sent to real processes of a cluster."""

import httpx
import pytest

from cranberryfield.core.supervision import TASK_FAILURES
from standins.platform_cluster import CONTROL, RELAYS, running_cluster
from standins.processes import wait_until

HUGE = 0x9C41D07BE2A35F68_9C41D07BE2A35F68
OK, BAD_REQUEST = 200, 400
HEARTBEAT = {
    "service": "s1",
    "address": "127.0.0.1:9",
    "zone": "fann",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "seq": 1,
    "born": 1,
}
#: Fields of another writer's heartbeat that name no runner to use.
UNUSABLE = [
    {"born": HUGE},
    {"seq": HUGE},
    {"slots": HUGE},
    {"leaves_ms": 1e30},
    {"address": "127.0.0.1:70000"},
    {"address": "127.0.0.999:80"},
    {"zone": "z" * 1000},
]


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with running_cluster(tmp_path_factory.mktemp("cluster")) as running:
        yield running


def known_upstreams(cluster, relay):
    """Return the part of a relay's log that tells of upstreams."""
    lines = cluster.processes[relay].log.read_text().splitlines()
    return [line for line in lines if '"upstream known"' in line]


def task_failures(cluster, name):
    """Return whether the metrics of a process have a failure of a background task."""
    url = f"http://{cluster.ip_addresses[name]}:{cluster.metrics_port}/metrics"
    return TASK_FAILURES in httpx.get(url, trust_env=False).text


# Guards against LOST: a heartbeat of another writer, with an integer beyond 64 bits,
# ended all relays as often as they started again.
def test_heartbeats_of_other_writers_end_no_process(cluster):
    for number, fields in enumerate(UNUSABLE):
        for control in CONTROL:
            call = f"/Instances.Heartbeat/job-{number}"
            response = cluster.call(control, "POST", call, {**HEARTBEAT, **fields})
            assert response.status_code == BAD_REQUEST
        # A change of the registry, after which hosts compare their tables.
        assert cluster.announce("control-1", cluster.runner_port, 2, f"i-{number + 2}")
        for relay in RELAYS:
            wait_until(
                lambda one=relay, name=f'"i-{number + 2}"': any(
                    name in line for line in known_upstreams(cluster, one)
                ),
                f"{relay} knows the next runner",
            )
            assert cluster.request_status(relay) == OK
    for name in [*CONTROL, *RELAYS]:
        assert cluster.processes[name].is_running
        assert not task_failures(cluster, name)


def test_departures_of_other_writers_change_nothing(cluster):
    for control in CONTROL:
        call = "/Instances.Deregister/i-1"
        response = cluster.call(control, "POST", call, {"born": HUGE})
        assert response.status_code == BAD_REQUEST
    for name in RELAYS:
        assert cluster.request_status(name) == OK
        assert not task_failures(cluster, name)
