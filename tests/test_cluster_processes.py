"""Cluster of real processes, called over the protocol of the users' platform."""

import signal

import httpx
import msgspec
import pytest

from standins.platform_cluster import CONTROL, RELAYS, document, running_cluster
from standins.processes import wait_until


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with running_cluster(tmp_path_factory.mktemp("cluster")) as running:
        yield running


def test_a_request_passes_to_a_runner_and_back(cluster):
    response = cluster.ask("relay-1")
    assert response.status_code == 200
    assert response.headers["Server-Signature"] == "signed"
    echo = response.json()
    assert echo["headers"]["tenant"] == "t1"
    assert echo["headers"]["target-instance"] == "i-1"
    assert "authorization" not in echo["headers"]


def test_a_withdrawn_key_is_refused_on_every_relay(cluster):
    assert cluster.is_acknowledged("control-2", document(8, ("k1", "k2"))) == 200
    for relay in RELAYS:
        wait_until(lambda one=relay: cluster.status(one, "k2") == 200, "k2 is accepted")
    assert cluster.is_acknowledged("control-3", document(9)) == 200
    for relay in RELAYS:
        wait_until(lambda one=relay: cluster.status(one, "k2") == 401, "k2 is refused")
    assert cluster.status("relay-1") == 200


@pytest.mark.parametrize("control", CONTROL)
def test_every_control_host_reads_back_the_newest(cluster, control):
    version = 20 + CONTROL.index(control)
    content = document(version)
    assert cluster.is_acknowledged("control-1", content) == 200
    response = cluster.call(control, "GET", "/Config.Read")
    assert (response.status_code, response.json()) == (200, content)


@pytest.mark.parametrize(
    ("content", "status"),
    [
        (document(99, service="unknown"), 400),
        (document(99, timeout_ms=0), 400),
        (document(2), 200),
    ],
)
def test_what_is_invalid_or_old_changes_nothing(cluster, content, status):
    before = cluster.call("control-1", "GET", "/Config.Read").json()
    assert cluster.is_acknowledged("control-2", content) == status
    assert cluster.call("control-1", "GET", "/Config.Read").json() == before


def test_metrics_and_logs_tell_of_requests(cluster):
    response = cluster.ask("relay-2")
    url = f"http://{cluster.ip['relay-2']}:{cluster.metrics}/metrics"
    text = httpx.get(url, trust_env=False).text
    assert (
        'cranberryfield_requests_answered_200_total{class="0",workspace="t1"}' in text
    )
    log = cluster.processes["relay-2"].log.read_text()
    lines = [msgspec.json.decode(line) for line in log.splitlines() if line]
    end_lines = [line for line in lines if line["event"] == "request ended"]
    assert response.json()["headers"]["attempt-id"] in [
        one["request"] for one in end_lines
    ]


def test_a_lost_control_host_and_a_stopped_relay_cost_no_request(cluster):
    cluster.processes["control-1"].kill()
    wait_until(
        lambda: cluster.is_acknowledged("control-2", document(50)) == 200,
        "changes are acknowledged without control-1",
    )
    assert cluster.status("relay-1") == 200
    relay = cluster.processes["relay-2"]
    relay.send_signal(signal.SIGHUP)
    assert cluster.status("relay-2") == 200
    relay.terminate()
    wait_until(lambda: not cluster.is_ready("relay-2"), "relay-2 is not ready")
    assert cluster.status("relay-1") == 200
    assert relay.wait() == 0
    relay.start()
    wait_until(lambda: cluster.status("relay-2") == 200, "relay-2 serves again")
