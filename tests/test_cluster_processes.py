"""A cluster of real processes, spoken to over the users' platform's protocol."""

import signal
import time
from contextlib import contextmanager

import httpx
import msgspec
import pytest

from standins.processes import Process, free_port, wait_until

CONTROL = ["control-1", "control-2", "control-3", "control-4"]
RELAYS = ["relay-1", "relay-2"]
ROUTE = {
    "name": "r1",
    "hostname": "a.example",
    "path_prefix": "/x/",
    "route_type": "idempotent",
    "timeout_ms": 5000,
    "latency_goal_ms": 500,
    "service": "s1",
    "max_attempts": 2,
}


def document(version, keys=("k1",), **changes):
    return {
        "version": version,
        "routes": [{**ROUTE, **changes}],
        "services": [{"name": "s1"}],
        "limits": {},
        "tenants": [{"name": "t1", "api_keys": list(keys)}],
    }


class Upstream:
    """A runner as the platform has them, in a thread of its own."""

    SCRIPT = "standins.platform_runner"

    def __init__(self, folder, name):
        self.port = free_port()
        self.process = Process(name, [self.SCRIPT, str(self.port)], folder)


class Cluster:
    """Processes of the adapter, each on a loopback address of its own."""

    def __init__(self, folder):
        self.folder = folder
        self.mesh, self.front, self.ready, self.control, self.metrics = (
            free_port() for _ in range(5)
        )
        names = [*CONTROL, *RELAYS]
        self.ip = {name: f"127.0.1.{number}" for number, name in enumerate(names, 1)}
        self.processes = {name: self._prepare(name) for name in names}

    def _prepare(self, name):
        ip = self.ip[name]
        seeds = [f"{self.ip[one]}:{self.control}" for one in CONTROL[:3]]
        lines = [
            f"node: {name}",
            "data_centre: fann",
            f'mesh: "{ip}:{self.mesh}"',
            "mesh_key: loopback-only-key",
            f"seeds: {msgspec.json.encode(seeds).decode()}",
            "first_start: true",
            f'metrics: "{ip}:{self.metrics}"',
            "stop_s: 8",
        ]
        if name in RELAYS:
            lines += [
                "relay:",
                f'  callers: "{ip}:{self.front}"',
                f'  readiness: "{ip}:{self.ready}"',
            ]
        else:
            lines += [
                "control:",
                f'  operators: "{ip}:{self.control}"',
                f'  data_folder: "{self.folder / name}-data"',
            ]
        file = self.folder / f"{name}.yaml"
        file.write_text("\n".join(lines))
        arguments = ["standins.platform_host", str(file)]
        return Process(name, arguments, self.folder)

    def start(self):
        for process in self.processes.values():
            process.start()

    def stop(self):
        for process in self.processes.values():
            process.kill()

    def call(self, name, method, path, content=None):
        url = f"http://{self.ip[name]}:{self.control}{path}"
        with httpx.Client(trust_env=False, timeout=5) as client:
            return client.request(method, url, json=content)

    def is_acknowledged(self, name, content):
        try:
            return self.call(name, "POST", "/Config.Replace", content).status_code
        except httpx.HTTPError:
            return 0

    def is_ready(self, name):
        url = f"http://{self.ip[name]}:{self.ready}/readyz"
        try:
            return httpx.get(url, trust_env=False, timeout=2).status_code == 200
        except httpx.HTTPError:
            return False

    def ask(self, name, key="k1", number=0):
        headers = {
            "Host": "a.example",
            "Attempt-Id": f"id{number}-{time.monotonic_ns()}",
            "Authorization": f"Token {key}",
            "Deadline-Ms": "4000",
        }
        url = f"http://{self.ip[name]}:{self.front}/x/1"
        try:
            return httpx.get(url, headers=headers, trust_env=False, timeout=6)
        except httpx.HTTPError:
            return None

    def status(self, name, key="k1"):
        found = self.ask(name, key)
        return found.status_code if found is not None else 0


@contextmanager
def running_cluster(folder):
    cluster = Cluster(folder)
    upstream = Upstream(folder, "upstream")
    try:
        upstream.process.start()
        cluster.start()
        wait_until(
            lambda: cluster.is_acknowledged("control-1", document(7)) == 200,
            "the first deployment is acknowledged",
        )
        heartbeat = {
            "service": "s1",
            "address": f"127.0.0.1:{upstream.port}",
            "zone": "fann",
            "slots": 8,
            "state": "ready",
            "seq": 1,
            "born": 1,
        }
        call = "/Instances.Heartbeat/i-1"
        found = cluster.call("control-4", "POST", call, heartbeat)
        assert found.status_code == 200
        for relay in RELAYS:
            wait_until(lambda one=relay: cluster.status(one) == 200, f"{relay} serves")
        yield cluster
    finally:
        cluster.stop()
        upstream.process.kill()


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with running_cluster(tmp_path_factory.mktemp("cluster")) as running:
        yield running


def test_a_request_passes_to_a_runner_and_back(cluster):
    found = cluster.ask("relay-1")
    assert found.status_code == 200
    assert found.headers["Server-Signature"] == "signed"
    seen = found.json()
    assert seen["headers"]["tenant"] == "t1"
    assert seen["headers"]["target-instance"] == "i-1"
    assert "authorization" not in seen["headers"]


def test_a_withdrawn_key_is_refused_on_every_relay(cluster):
    assert cluster.is_acknowledged("control-2", document(8, ("k1", "k2"))) == 200
    for relay in RELAYS:
        wait_until(lambda one=relay: cluster.status(one, "k2") == 200, "k2 is known")
    assert cluster.is_acknowledged("control-3", document(9)) == 200
    for relay in RELAYS:
        wait_until(lambda one=relay: cluster.status(one, "k2") == 401, "k2 is gone")
    assert cluster.status("relay-1") == 200


@pytest.mark.parametrize("control", CONTROL)
def test_every_control_host_reads_back_the_newest(cluster, control):
    version = 20 + CONTROL.index(control)
    content = document(version)
    assert cluster.is_acknowledged("control-1", content) == 200
    found = cluster.call(control, "GET", "/Config.Read")
    assert (found.status_code, found.json()) == (200, content)


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
    found = cluster.ask("relay-2")
    url = f"http://{cluster.ip['relay-2']}:{cluster.metrics}/metrics"
    text = httpx.get(url, trust_env=False).text
    assert (
        'cranberryfield_requests_answered_200_total{class="0",workspace="t1"}' in text
    )
    log = cluster.processes["relay-2"].log.read_text()
    lines = [msgspec.json.decode(line) for line in log.splitlines() if line]
    ended = [line for line in lines if line["event"] == "request ended"]
    assert found.json()["headers"]["attempt-id"] in [one["request"] for one in ended]


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
