"""Limits of the deployment at relays that have just started, with real processes."""

import pytest

from standins.platform_cluster import RELAYS, deployment_document, running_cluster
from standins.processes import wait_until

OK = 200
#: Beyond what a relay accepts without a deployment, 16 KiB and 4 MiB.
PROMPT_PARTS = [f"{number:016x}" for number in range(1_500)]
LARGE_BODY = b"b" * (5 << 20)
LIMITS = {
    "max_header_bytes": 65_536,
    "max_body_bytes": 16 << 20,
    "header_timeout_ms": 5_000,
    "idle_timeout_ms": 60_000,
}


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with running_cluster(tmp_path_factory.mktemp("cluster")) as running:
        document = {**deployment_document(50), "limits": LIMITS}
        assert running.declare_deployment("control-1", document) == OK
        yield running


def status_of(cluster, relay, **request):
    response = cluster.send_request(relay, **request)
    return response.status_code if response is not None else 0


# Guards against DENIED: a relay that had restarted refused proper requests by limits of
# its own, until a small one came.
@pytest.mark.parametrize(
    "request_fields",
    [{"prompt_parts": PROMPT_PARTS}, {"body": LARGE_BODY}],
    ids=["head", "body"],
)
def test_first_requests_of_a_relay_meet_the_configured_limits(cluster, request_fields):
    for relay in RELAYS:
        cluster.processes[relay].kill()
        cluster.processes[relay].start()
        wait_until(lambda one=relay: cluster.is_ready(one), f"{relay} is ready")
        assert status_of(cluster, relay, **request_fields) == OK


# Guards against a refusal for good by a relay that does not know the limits yet.
def test_a_relay_without_a_deployment_refuses_large_requests_for_now(cluster):
    for name in cluster.processes:
        if name not in RELAYS:
            cluster.processes[name].freeze()
    relay = RELAYS[0]
    cluster.processes[relay].kill()
    cluster.processes[relay].start()
    try:
        wait_until(lambda: status_of(cluster, relay) == 503, f"{relay} has started")
        for request in ({"prompt_parts": PROMPT_PARTS}, {"body": LARGE_BODY}):
            response = cluster.send_request(relay, **request)
            assert response.status_code == 503
            assert float(response.headers["Retry-After"]) > 0
    finally:
        for name in cluster.processes:
            if name not in RELAYS:
                cluster.processes[name].thaw()
    wait_until(lambda: status_of(cluster, relay) == OK, f"{relay} serves again")
