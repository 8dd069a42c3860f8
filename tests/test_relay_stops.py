"""Planned stops of relays and upstreams, with real processes of a cluster."""

from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from standins.platform_cluster import RELAYS, running_cluster
from standins.processes import wait_until
from standins.runner_fleet import RunnerFleet

RUNNERS = 3
RUN_MS = 1_500
OK = 200


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with running_cluster(tmp_path_factory.mktemp("cluster")) as running:
        running.depart("control-1", "i-1")
        yield running


@pytest.fixture(scope="module")
def fleet(cluster):
    with RunnerFleet(cluster, RUNNERS) as running:
        for relay in RELAYS:
            wait_until(
                lambda one=relay: upstream_of(cluster.send_request(one)) is not None,
                f"the fleet serves {relay}",
            )
        yield running


def upstream_of(response):
    """Return the runner of the fleet that answered; None if there is none."""
    if response is None or response.status_code != OK:
        return None
    upstream = response.json()["headers"]["target-instance"]
    return upstream if upstream.startswith("f") else None


def started_ids(fleet):
    return {words[0] for words in fleet.journal}


# Guards against a stop of a relay that cuts off an answer in progress, or a request
# that arrives on an open connection and is passed on while the relay ends.
@pytest.mark.parametrize("path", ["/x/1", "/once/1"])
def test_a_stop_of_a_relay_cuts_off_no_answer(cluster, fleet, path):
    relay = cluster.processes["relay-2"]
    name = path.strip("/").replace("/", "-")

    def send(number):
        request = f"{name}-slow-{number}"
        return cluster.send_request(
            "relay-2", path=path, request=request, run_ms=RUN_MS
        )

    def send_until_closed():
        """Use one connection until it is closed; return the ids that were answered."""
        answered = set()
        with httpx.Client(trust_env=False, timeout=6) as client:
            while True:
                request = f"{name}-kept-{len(answered)}"
                response = cluster.send_request(
                    "relay-2", path=path, request=request, client=client
                )
                if response is None or response.status_code != OK:
                    return answered
                answered.add(request)
                if response.headers.get("Connection") == "close":
                    return answered

    with ThreadPoolExecutor(9) as threads:
        slow = [threads.submit(send, number) for number in range(8)]
        kept = threads.submit(send_until_closed)
        wait_until(
            lambda: (
                {f"{name}-slow-{number}" for number in range(8)} <= started_ids(fleet)
            ),
            "the slow requests run",
        )
        relay.terminate()
        assert [one.result().status_code for one in slow] == [OK] * 8
    assert relay.wait() == 0
    started = {one for one in started_ids(fleet) if one.startswith(f"{name}-kept-")}
    assert started == kept.result()
    relay.start()
    wait_until(
        lambda: upstream_of(cluster.send_request("relay-2")) is not None,
        "relay-2 serves again",
    )


# Guards against new work for an upstream that has said that it leaves, also after a
# later announcement of the same start.
def test_a_leaving_upstream_gets_no_new_work(cluster, fleet):
    leaving = fleet.runner_ids[0]
    assert cluster.depart("control-2", leaving)

    def served_elsewhere():
        upstreams = [
            upstream_of(cluster.send_request(RELAYS[number % 2]))
            for number in range(20)
        ]
        return leaving not in upstreams

    wait_until(served_elsewhere, f"{leaving} gets no new work")
    sequence = fleet.sequences[0]
    wait_until(lambda: fleet.sequences[0] > sequence, f"{leaving} announces itself")
    assert served_elsewhere()


# Guards against DRAIN: an acknowledged departure was lost with the control host that
# was killed at once, and requests went on to the runner that was gone.
@pytest.mark.parametrize("control", ["control-1", "control-3"])
def test_an_acknowledged_departure_outlasts_its_control_host(cluster, fleet, control):
    leaving = fleet.runner_ids[1 if control == "control-1" else 2]
    process = cluster.processes[control]
    assert cluster.depart(control, leaving)
    process.kill()
    try:
        wait_until(
            lambda: all(knows_leaving(cluster, relay, leaving) for relay in RELAYS),
            f"the relays know that {leaving} leaves",
            timeout_s=10.0,
        )
    finally:
        process.start()


def knows_leaving(cluster, relay, upstream):
    """Return whether the last that a relay has heard of an upstream is its leaving."""
    lines = cluster.processes[relay].log.read_text().splitlines()
    told = [
        one for one in lines if '"upstream known"' in one and f'"{upstream}"' in one
    ]
    return '"leaving": true' in told[-1].replace('"leaving":true', '"leaving": true')
