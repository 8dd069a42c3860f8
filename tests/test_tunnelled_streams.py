"""Streams that lead through another relay, which ends before them."""

import httpx
import pytest

from standins.cut_network import CutMode
from standins.platform_cluster import running_cluster
from standins.platform_runner import (
    INTERVAL_HEADER,
    STREAM_EVENTS,
    STREAM_PATH,
    UNFRAMED_HEADER,
)
from standins.processes import wait_until

EVENT_MS = 250
FIRST_EVENTS = 3


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with running_cluster(tmp_path_factory.mktemp("cluster"), stop_s=1.0) as running:
        yield running


def stop(process):
    process.terminate()


def kill(process):
    process.kill()


def uses_tunnel(cluster):
    """Return whether relay-1 serves a request through a tunnel."""
    if cluster.request_status("relay-1") != 200:
        return False
    log = cluster.processes["relay-1"].log.read_text()
    return log.rfind('"no direct path') > log.rfind('"direct path to')


def read_until_end(cluster, request, on_first_events, **headers):
    """Read a stream at relay-1; return the number of events and how it has ended."""
    address = f"{cluster.ip_addresses['relay-1']}:{cluster.relay_port}"
    fields = {
        "Host": "a.example",
        "Attempt-Id": request,
        "Authorization": "Token k1",
        "Deadline-Ms": "20000",
        INTERVAL_HEADER: str(EVENT_MS),
        **headers,
    }
    count = 0
    with httpx.stream(
        "POST",
        f"http://{address}{STREAM_PATH}1",
        headers=fields,
        timeout=30,
        trust_env=False,
    ) as response:
        assert response.status_code == 200
        try:
            for line in response.iter_lines():
                if line.startswith("data: "):
                    count += 1
                    if count == FIRST_EVENTS:
                        on_first_events()
        except httpx.RemoteProtocolError:
            return count, "broken"
    return count, "complete"


# Guards against MIXED and ORDER: a stream without a length looked complete after a
# part of its events, since the relay that it led through had stopped.
@pytest.mark.parametrize("end", [stop, kill], ids=["stop", "kill"])
@pytest.mark.parametrize("headers", [{}, {UNFRAMED_HEADER: "1"}], ids=["framed", "not"])
def test_a_stream_whose_relay_ends_does_not_look_complete(cluster, end, headers):
    relay = cluster.processes["relay-2"]
    cluster.cut_off("relay-1", CutMode.RESET)
    try:
        wait_until(lambda: uses_tunnel(cluster), "relay-1 uses a tunnel")
        name = f"stream-{end.__name__}-{len(headers)}"
        count, how = read_until_end(cluster, name, lambda: end(relay), **headers)
        assert FIRST_EVENTS <= count < STREAM_EVENTS
        assert how == "broken"
    finally:
        relay.kill()
        relay.start()
        cluster.cut_off("relay-1", None)
    for name in ("relay-1", "relay-2"):
        wait_until(
            lambda one=name: cluster.request_status(one) == 200, f"{name} serves"
        )


def test_a_tunnelled_stream_without_a_length_is_complete_at_its_end(cluster):
    cluster.cut_off("relay-1", CutMode.RESET)
    try:
        wait_until(lambda: uses_tunnel(cluster), "relay-1 uses a tunnel")
        headers = {UNFRAMED_HEADER: "1", INTERVAL_HEADER: "20"}
        end = read_until_end(cluster, "whole", lambda: None, **headers)
        assert end == (STREAM_EVENTS, "complete")
    finally:
        cluster.cut_off("relay-1", None)
