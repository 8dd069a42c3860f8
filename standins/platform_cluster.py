"""A small cluster of the platform adapter on loopback, with one runner."""

import os
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

import httpx
import msgspec

from standins.cut_network import CutMode, set_cut
from standins.platform_runner import (
    DURATION_HEADER,
    LEAVING_SUFFIX,
    LIMIT_SUFFIX,
    PAUSE_SUFFIX,
    STREAM_EVENTS,
    STREAM_PATH,
)
from standins.processes import Process, free_port, wait_until

__all__ = [
    "CONTROL",
    "RELAYS",
    "Cluster",
    "deployment_document",
    "read_stream",
    "running_cluster",
]

CONTROL = ["control-1", "control-2", "control-3", "control-4"]
RELAYS = ["relay-1", "relay-2"]
MS_PER_S = 1000
#: Time without data after which a caller gives a stream up, in seconds.
STREAM_TIMEOUT_S = 8.0
#: Tokens of each prompt part, and maximum number of output tokens.
PART_TOKENS = 100
#: Time after its deadline that a caller waits for a response, in seconds.
ANSWER_GRACE_S = 2
#: Retries per window of all hosts. Relays divide it by 12 until they know better.
RETRY_ALLOWANCE = 6_000
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

#: A route whose requests must not be executed twice.
ONCE_ROUTE = {
    **ROUTE,
    "name": "r2",
    "path_prefix": "/once/",
    "route_type": "non_idempotent",
}


#: A route of streams that may be resumed.
STREAM_ROUTE = {
    **ROUTE,
    "name": "r3",
    "path_prefix": STREAM_PATH,
    "route_type": "streaming",
    "timeout_ms": 60_000,
    "resumable": True,
}


def deployment_document(
    version: int, keys: tuple[str, ...] = ("k1",), **changes
) -> dict:
    """Return a deployment document; `changes` replace fields of its first route."""
    return {
        "version": version,
        "routes": [{**ROUTE, **changes}, ONCE_ROUTE, STREAM_ROUTE],
        "services": [{"name": "s1"}],
        "limits": {},
        "tenants": [{"name": "t1", "api_keys": list(keys)}],
    }


class Cluster:
    """Processes of the adapter, each on its own loopback address.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for the files of the processes.
    settings : sequence of str
        Further lines of the settings of each host.
    slots : int
        Slots that runners announce.
    stop_s : float
        Time that a process has to stop, in seconds.
    """

    def __init__(
        self,
        folder: Path,
        settings: Sequence[str] = (),
        slots: int = 8,
        stop_s: float = 8.0,
    ):
        self.folder = folder
        self._stop_s = stop_s
        self._settings = settings
        self._slots = slots
        self.runner_port = free_port()
        self.runs_path = folder / "runs"
        arguments = [
            "standins.platform_runner",
            str(self.runner_port),
            str(self.runs_path),
        ]
        self.runner = Process("runner", arguments, folder)
        (
            self.mesh_port,
            self.relay_port,
            self.ready_port,
            self.control_port,
            self.metrics_port,
        ) = (free_port() for _ in range(5))
        names = [*CONTROL, *RELAYS]
        # Of this process alone, as ports are found free before they are bound.
        high, low = divmod(os.getpid() % 64_000, 256)
        self.ip_addresses = {
            name: f"127.{high + 1}.{low}.{number}"
            for number, name in enumerate(names, 1)
        }
        self.processes = {name: self._create_process(name) for name in names}

    def _create_process(self, name: str) -> Process:
        ip_address = self.ip_addresses[name]
        seeds = [f"{self.ip_addresses[one]}:{self.control_port}" for one in CONTROL[:3]]
        lines = [
            f"node: {name}",
            "data_centre: fann",
            f'mesh: "{ip_address}:{self.mesh_port}"',
            "mesh_key: loopback-only-key",
            f"seeds: {msgspec.json.encode(seeds).decode()}",
            "first_start: true",
            f'metrics: "{ip_address}:{self.metrics_port}"',
            f"stop_s: {self._stop_s}",
            *self._settings,
        ]
        if name in RELAYS:
            lines += [
                f"retry_allowance: {RETRY_ALLOWANCE}",
                "relay:",
                f'  callers: "{ip_address}:{self.relay_port}"',
                f'  readiness: "{ip_address}:{self.ready_port}"',
            ]
        else:
            lines += [
                "control:",
                f'  operators: "{ip_address}:{self.control_port}"',
                f'  data_folder: "{self.folder / name}-data"',
            ]
        file = self.folder / f"{name}.yaml"
        file.write_text("\n".join(lines))
        arguments = ["standins.platform_host", str(file)]
        if name in RELAYS:
            arguments.append("--may-be-cut-off")
        return Process(name, arguments, self.folder)

    def start(self) -> None:
        """Start all processes."""
        self.runner.start()
        for process in self.processes.values():
            process.start()

    def stop(self) -> None:
        """Kill all processes."""
        for process in (self.runner, *self.processes.values()):
            process.kill()

    def call(
        self, name: str, method: str, path: str, content: dict | None = None
    ) -> httpx.Response:
        """Call an operator or runner endpoint of a control host."""
        url = f"http://{self.ip_addresses[name]}:{self.control_port}{path}"
        with httpx.Client(trust_env=False, timeout=5) as client:
            return client.request(method, url, json=content)

    def announce(
        self,
        name: str,
        port: int,
        sequence: int,
        runner: str = "i-1",
        started_at: float = 0.001,
        version: str = "v1",
    ) -> bool:
        """Send a runner's heartbeat to a control host; return whether it worked.

        `started_at` is the Unix time of the runner's start in seconds.
        """
        heartbeat = {
            "service": "s1",
            "address": f"127.0.0.1:{port}",
            "zone": "fann",
            "version": version,
            "slots": self._slots,
            "state": "ready",
            "seq": sequence,
            "born": int(started_at * MS_PER_S),
        }
        call = f"/Instances.Heartbeat/{runner}"
        try:
            return self.call(name, "POST", call, heartbeat).is_success
        except httpx.HTTPError:
            return False

    def declare_deployment(self, name: str, content: dict) -> int:
        """Declare a deployment at a control host.

        Returns the HTTP status; 0 if there was no response.
        """
        try:
            return self.call(name, "POST", "/Config.Replace", content).status_code
        except httpx.HTTPError:
            return 0

    def state_limit(self, limit_per_s: float | None) -> None:
        """Have the runner state a limit in its answers from now on; None for none."""
        self._state(LIMIT_SUFFIX, limit_per_s)

    def state_pause(self, pause_s: float | None) -> None:
        """Have the runner refuse all requests and ask for a pause; None to serve."""
        self._state(PAUSE_SUFFIX, pause_s)

    def state_leaving(self, is_leaving: bool) -> None:
        """Have the runner say in its answers that it leaves, or no longer."""
        self._state(LEAVING_SUFFIX, 1.0 if is_leaving else None)

    def _state(self, suffix: str, value: float | None) -> None:
        path = self.runs_path.with_name(self.runs_path.name + suffix)
        if value is None:
            path.unlink(missing_ok=True)
            return
        written = path.with_name(path.name + ".new")
        written.write_text(str(value))
        written.rename(path)

    def cut_off(self, name: str, mode: CutMode | None) -> None:
        """Cut a relay off from all upstreams; None repairs its network."""
        set_cut(self.folder / f"{name}.yaml", mode)

    def is_ready(self, name: str) -> bool:
        """Return whether a relay reports that it is ready, as the balancer checks."""
        url = f"http://{self.ip_addresses[name]}:{self.ready_port}/readyz"
        try:
            return httpx.get(url, trust_env=False, timeout=2).status_code == 200
        except httpx.HTTPError:
            return False

    def depart(self, name: str, runner: str) -> bool:
        """Send a runner's departure to a control host; return whether it worked."""
        try:
            call = f"/Instances.Deregister/{runner}"
            return self.call(name, "POST", call).is_success
        except httpx.HTTPError:
            return False

    def send_request(
        self,
        name: str,
        key: str = "k1",
        path: str = "/x/1",
        request: str = "",
        body: bytes = b"",
        run_ms: float = 0.0,
        deadline_ms: int = 4_000,
        client: httpx.Client | None = None,
        prompt_parts: Sequence[str] = (),
    ) -> httpx.Response | None:
        """Send a request to a relay; return None if the response is incomplete.

        Without `client`, a connection is opened for it.
        """
        headers = {
            "Host": "a.example",
            "Attempt-Id": request or f"id-{time.monotonic_ns()}",
            "Authorization": f"Token {key}",
            "Deadline-Ms": str(deadline_ms),
        }
        if run_ms:
            headers[DURATION_HEADER] = str(run_ms)
        if prompt_parts:
            headers["Prefix-Hash"] = ",".join(
                f"{part}:{PART_TOKENS}" for part in prompt_parts
            )
            headers["Token-Usage"] = f"{PART_TOKENS * len(prompt_parts)},{PART_TOKENS}"
        url = f"http://{self.ip_addresses[name]}:{self.relay_port}{path}"
        try:
            if client is not None:
                return client.post(url, content=body, headers=headers)
            return httpx.post(
                url,
                content=body,
                headers=headers,
                trust_env=False,
                timeout=deadline_ms / MS_PER_S + ANSWER_GRACE_S,
            )
        except httpx.HTTPError:
            return None

    def request_status(self, name: str, key: str = "k1") -> int:
        """Send a request; return its HTTP status, or 0 without a response."""
        response = self.send_request(name, key)
        return response.status_code if response is not None else 0


def read_stream(
    cluster: Cluster,
    relay: str,
    request: str,
    limit: int = STREAM_EVENTS,
    **headers: str,
) -> tuple[int, list[tuple[int, str]]]:
    """Read events of a stream, and leave after `limit` of them.

    Returns the status, and the id and the runner of each event. A stream that breaks
    off gives the events before.
    """
    url = f"http://{cluster.ip_addresses[relay]}:{cluster.relay_port}{STREAM_PATH}1"
    fields = {
        "Host": "a.example",
        "Attempt-Id": request,
        "Authorization": "Token k1",
        "Deadline-Ms": "4000",
        **headers,
    }
    events, number = [], None
    with (
        httpx.Client(trust_env=False, timeout=STREAM_TIMEOUT_S) as client,
        client.stream("POST", url, headers=fields) as response,
    ):
        try:
            for line in response.iter_lines():
                if line.startswith("id: "):
                    number = int(line.removeprefix("id: "))
                elif line.startswith("data: "):
                    events.append((number, line.removeprefix("data: ")))
                if len(events) == limit:
                    break
        except httpx.HTTPError:
            pass
        return response.status_code, events


@contextmanager
def running_cluster(
    folder: Path,
    settings: Sequence[str] = (),
    slots: int = 8,
    stop_s: float = 8.0,
) -> Iterator[Cluster]:
    """Run a cluster whose relays serve requests and stop it on exit.

    See `Cluster` for the parameters.
    """
    cluster = Cluster(folder, settings, slots, stop_s)
    try:
        cluster.start()
        wait_until(
            lambda: (
                cluster.declare_deployment("control-1", deployment_document(7)) == 200
            ),
            "the first deployment is acknowledged",
        )
        wait_until(
            lambda: cluster.announce("control-4", cluster.runner_port, 1),
            "the runner is announced",
        )
        for relay in RELAYS:
            wait_until(
                lambda one=relay: cluster.request_status(one) == 200, f"{relay} serves"
            )
        yield cluster
    finally:
        cluster.stop()
