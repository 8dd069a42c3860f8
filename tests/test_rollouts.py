"""Orders of rollouts at real control hosts, also over a loss of power of all."""

import httpx
import pytest

from standins.platform_cluster import CONTROL, running_cluster
from standins.processes import wait_until

DURATION_S = 20


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    folder = tmp_path_factory.mktemp("rollouts")
    lines = ["rollout_exposure_ratio: 0.1", "rollout_exposure_allowance: 50"]
    with running_cluster(folder, lines) as running:
        yield running


def begin(cluster, control, to="v2", service="s1", duration_s=DURATION_S):
    order = {"service": service, "to": to, "duration_s": duration_s}
    try:
        return cluster.call(control, "POST", "/Rollouts.Begin", order).status_code
    except httpx.HTTPError:
        return 0


def read(cluster, control, service="s1"):
    try:
        answer = cluster.call(control, "GET", f"/Rollouts.Read/{service}")
    except httpx.HTTPError:
        return 0, None
    return answer.status_code, answer.json()


# Guards against an acknowledged order that is lost with the power of all control hosts,
# is begun twice, or never ends.
def test_an_order_survives_and_ends(cluster):
    assert read(cluster, "control-1")[0] == 404
    assert begin(cluster, "control-1", service="unknown") == 400
    assert begin(cluster, "control-1", to="") == 400
    assert begin(cluster, "control-1") == 200
    for control in CONTROL:
        assert begin(cluster, control) == 200
        assert begin(cluster, control, to="v3") == 409
        assert read(cluster, control) == (200, {"state": "in_progress", "to": "v2"})
    for control in CONTROL:
        cluster.processes[control].kill()
    for control in CONTROL:
        cluster.processes[control].start()
    wait_until(lambda: read(cluster, "control-3")[0] == 200, "the rollout is known")
    assert read(cluster, "control-3")[1]["to"] == "v2"
    # No upstream of the new version announces itself.
    ended = (200, {"state": "rolled_back", "to": "v2"})
    wait_until(
        lambda: read(cluster, "control-2") == ended,
        "the rollout ends at its deadline",
        2 * DURATION_S,
    )
    assert begin(cluster, "control-2", to="v3", duration_s=60) == 200
    assert read(cluster, "control-1") == (200, {"state": "in_progress", "to": "v3"})
