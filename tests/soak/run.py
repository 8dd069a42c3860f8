"""Runs one seed of the soak test."""

import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import httpx
from anyio.from_thread import start_blocking_portal

from cranberryfield.core.errors import ErrorKind
from standins.crowd import PROCESS_ENDED, Crowd, CrowdSpec
from standins.platform_cluster import (
    CONTROL,
    RELAYS,
    deployment_document,
    read_stream,
    running_cluster,
)
from standins.platform_runner import (
    CRASH_BODY,
    CRASH_PART,
    REFUSED_WORD,
    STREAM_EVENTS,
)
from standins.processes import free_port, wait_until
from standins.proxy import FaultProxy
from standins.runner_fleet import RunnerFleet
from tests.soak.faults import ALL_HOSTS, CUT_OFF, Fault, draw_fault, lose_power
from tests.soak.promises import (
    CONTACT_S,
    Observations,
    ReceivedStream,
    SentRequest,
    broken_promises,
)

__all__ = ["Outcome", "run_seed"]

CALLERS = 4
#: Time at which the key ``k2`` is withdrawn, as a fraction of the run.
KEY_WITHDRAWAL_FRACTION = 0.4
FIRST_VERSION = 100
CALLER_PAUSE_S = 0.02
RUNNERS = 5
#: Bodies of requests that crash their runners, and the share of requests with one.
CRASHING_BODIES = [b"crash-1", b"crash-2"]
CRASHING_SHARE = 0.05
#: Share of requests with a prompt, of which some have a part that crashes runners; all
#: share their first part.
PROMPT_SHARE = 0.3
CRASHING_PROMPT_SHARE = 0.1
FIRST_PART = "shared"
#: Software versions of the runners, which take turns.
VERSIONS = ("v1", "v2")
STREAM_CALLERS = 2
#: Crowds of clients that do not behave, one after the other: the listener and the
#: clients, of which none sends a request that a runner would get. Bounds of the time
#: for which one stays, in seconds, and of what a relay may hold meanwhile.
CROWDS = [
    ("ready", CrowdSpec(5, b"", b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n", 8 << 20)),
    ("callers", CrowdSpec(5, b"", b"GET /x/1 HTTP/1.1\r\nHost: a\r\n\r\n", 1 << 20)),
    (
        "callers",
        CrowdSpec(
            10,
            b"POST /x/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n",
            b"x" * 4_096,
            3_900_000,
        ),
    ),
    ("callers", CrowdSpec(100, b"POST /x/1 HTTP/1.1\r\n", reconnections=200)),
    ("callers", CrowdSpec(20, b"GET", closes=True, reconnections=400)),
]
MIN_CROWD_S, MAX_CROWD_S = 0.2, 1.5
MAX_RELAY_BYTES = 160 << 20
MAX_RELAY_DESCRIPTORS = 1_438
#: Times that a caller takes a stream up before it gives up.
MAX_STREAM_ATTEMPTS = 6
#: Requests that a caller sends over one set of connections.
REQUESTS_PER_CONNECTION = 40
FAULT_STEP_S = 0.1
#: Time for a group that has lost power and a disk to be whole again, in seconds.
MIN_POWER_INTERVAL_S = 8.0
#: Time for which a loss of power waits for a change to be acknowledged, in seconds.
CHANGE_WAIT_S = 0.5
#: Time for which a runner is silent, in seconds, and bounds of the time between two.
SILENT_S = 1.2
MIN_SOUND_S, MAX_SOUND_S = 2.0, 5.0
#: Bounds of the limits that a runner states, in requests per second, of the time for
#: which it states one and of the pause before the next one, in seconds.
MIN_LIMIT_PER_S, MAX_LIMIT_PER_S = 0.5, 10.0
MIN_LIMITED_S, MAX_LIMITED_S = 6.0, 12.0
MAX_UNLIMITED_S = 2.0
#: Pause that a runner asks for, and bounds of the time between pauses, in seconds.
PAUSE_S = 4.0
MIN_SERVING_S, MAX_SERVING_S = 3.0, 8.0
OK = 200
#: Kind in the refusal of a request that crashes its upstreams.
QUARANTINED = ErrorKind.REQUEST_CRASHES_UPSTREAMS.value


@dataclass(slots=True)
class Outcome:
    """Result of one seed.

    Attributes
    ----------
    broken : list of str
        Messages on broken promises.
    faults : list of str
        Injected faults, in order.
    served, sent_count : int
        Number of requests that succeeded, and of all requests.
    """

    broken: list[str]
    faults: list[str] = field(default_factory=list)
    served: int = 0
    sent_count: int = 0


class _SoakRun:
    def __init__(self, cluster, fleet: RunnerFleet, seed: int):
        self.cluster = cluster
        self.fleet = fleet
        self.ids_of_crashing: defaultdict[str, set[str]] = defaultdict(set)
        self.ids_with_crashing_part: set[str] = set()
        self.stream_ids: set[str] = set()
        self.observations = Observations()
        self.lock = threading.Lock()
        self.ended = threading.Event()
        self.seed = seed

    def send_requests(self, number: int) -> None:
        """Send requests as one caller until the run ends.

        Open connections are used until a relay closes them or its process is gone.
        """
        rng = Random(f"{self.seed}-{number}")
        count = 0
        while not self.ended.is_set():
            with httpx.Client(trust_env=False, timeout=6) as client:
                for _ in range(REQUESTS_PER_CONNECTION):
                    count += 1
                    self._send_request(number, count, rng, client)
                    if self.ended.is_set():
                        return
                    time.sleep(CALLER_PAUSE_S)

    def _send_request(
        self, number: int, count: int, rng: Random, client: httpx.Client
    ) -> None:
        at_most_once = rng.random() < 0.5
        key = "k2" if rng.random() < 0.3 else "k1"
        path = "/once/1" if at_most_once else "/x/1"
        request = f"c{number}-{count}"
        body = b""
        if rng.random() < CRASHING_SHARE:
            body = rng.choice(CRASHING_BODIES)
            self.ids_of_crashing[f"{path} {body.decode()}"].add(request)
        parts = ()
        if rng.random() < PROMPT_SHARE:
            second = f"second-{rng.randint(1, 5)}"
            if rng.random() < CRASHING_PROMPT_SHARE:
                second = f"{CRASH_PART}-1"
                self.ids_with_crashing_part.add(request)
            parts = (FIRST_PART, second, request)
            body = body or request.encode()
        is_sound = not (
            body.startswith(CRASH_BODY) or request in self.ids_with_crashing_part
        )
        relay = rng.choice(RELAYS)
        at = time.monotonic()
        response = self.cluster.send_request(
            relay,
            key,
            path,
            request,
            body,
            client=client,
            prompt_parts=parts,
        )
        status = response.status_code if response is not None else 0
        answered_id = (
            response.headers.get("Attempt-Id") if response is not None else None
        )
        was_quarantined = (
            response is not None and is_sound and QUARANTINED in response.text
        )
        with self.lock:
            self.observations.sent.append(
                SentRequest(
                    request,
                    at,
                    at_most_once,
                    key,
                    status,
                    answered_id,
                    was_quarantined,
                    relay,
                )
            )

    def read_streams(self, number: int) -> None:
        """Read streams, leave some of them, and take all up again until they end."""
        rng = Random(f"{self.seed}-streams-{number}")
        count = 0
        while not self.ended.is_set():
            count += 1
            request = first = f"s{number}-{count}"
            stream = ReceivedStream(first)
            for attempt in range(MAX_STREAM_ATTEMPTS):
                resumed = {}
                if stream.events:
                    resumed["Resumes"] = first
                    resumed["Last-Event-Id"] = str(stream.events[-1][0])
                limit = rng.randint(1, STREAM_EVENTS)
                try:
                    _, events = read_stream(
                        self.cluster, rng.choice(RELAYS), request, limit, **resumed
                    )
                except httpx.HTTPError:
                    events = []
                if events and not stream.events:
                    first = request
                stream.events += [
                    (event, self.fleet.version_of(runner)) for event, runner in events
                ]
                with self.lock:
                    self.stream_ids.add(request)
                if len(stream.events) >= STREAM_EVENTS or self.ended.is_set():
                    break
                request = f"s{number}-{count}-{attempt}"
            with self.lock:
                self.observations.streams.append(stream)

    def misbehave(self) -> None:
        """Have a crowd at one of the relays at a time until the run ends."""
        rng = Random(f"{self.seed}-crowds")
        while not self.ended.wait(rng.uniform(0.0, MAX_CROWD_S)):
            relay = rng.choice(RELAYS)
            listener, spec = rng.choice(CROWDS)
            process = self.cluster.processes[relay]
            port = self.cluster.relay_port
            if listener == "ready":
                port = self.cluster.ready_port
            crowd = Crowd(
                spec,
                (self.cluster.ip_addresses[relay], port),
                process.pid,
                MAX_RELAY_BYTES,
                MAX_RELAY_DESCRIPTORS,
            )
            with crowd:
                self.ended.wait(rng.uniform(MIN_CROWD_S, MAX_CROWD_S))
            # Faults end processes too.
            if crowd.breach and crowd.breach != PROCESS_ENDED:
                self.observations.breaches.append(f"{relay}: {crowd.breach}")

    def state_limits(self) -> None:
        """Have the runner behind the link state limits until the run ends."""
        rng = Random(f"{self.seed}-limits")
        while not self.ended.wait(rng.uniform(0.0, MAX_UNLIMITED_S)):
            rate = rng.uniform(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S)
            self.cluster.state_limit(rate)
            begin = time.monotonic()
            self.ended.wait(rng.uniform(MIN_LIMITED_S, MAX_LIMITED_S))
            self.observations.limits.append((begin, time.monotonic(), rate))
            self.cluster.state_limit(None)

    def ask_for_pauses(self) -> None:
        """Have the runner behind the link refuse requests and ask for pauses."""
        rng = Random(f"{self.seed}-pauses")
        while not self.ended.wait(rng.uniform(MIN_SERVING_S, MAX_SERVING_S)):
            self.cluster.state_pause(PAUSE_S)
            begin = time.monotonic()
            self.ended.wait(rng.uniform(0.5, PAUSE_S))
            self.observations.pauses.append((begin, time.monotonic()))
            self.cluster.state_pause(None)

    def silence_runners(self) -> None:
        """Suspend one runner after the other for about a second."""
        rng = Random(f"{self.seed}-silence")
        while not self.ended.wait(rng.uniform(MIN_SOUND_S, MAX_SOUND_S)):
            with self.fleet.suspended_runner(rng):
                self.ended.wait(SILENT_S)

    def wait_for_change(self) -> None:
        """Wait until a change has just been acknowledged, for a while."""
        known = len(self.observations.acknowledged)
        deadline = time.monotonic() + CHANGE_WAIT_S
        while (
            len(self.observations.acknowledged) == known and time.monotonic() < deadline
        ):
            time.sleep(0.001)

    def declare_and_read(self, withdraw_at: float) -> None:
        """Declare and read deployments until the run ends."""
        rng = Random(f"{self.seed}-operator")
        version = FIRST_VERSION
        while not self.ended.is_set():
            version += rng.randint(1, 3)
            includes_k2 = time.monotonic() < withdraw_at
            content = deployment_document(
                version, ("k1", "k2") if includes_k2 else ("k1",)
            )
            self._declare_until_acknowledged(content, includes_k2, rng)
            at = time.monotonic()
            try:
                response = self.cluster.call(rng.choice(CONTROL), "GET", "/Config.Read")
            except httpx.HTTPError:
                continue
            if response.status_code == OK:
                self.observations.reads.append((at, response.json()["version"]))
            time.sleep(rng.uniform(0.0, 0.3))

    def _declare_until_acknowledged(
        self, content: dict, includes_k2: bool, rng: Random
    ) -> None:
        # Retries the same declaration at random control hosts until one acknowledges.
        while not self.ended.is_set():
            if self.cluster.declare_deployment(rng.choice(CONTROL), content) == OK:
                now = time.monotonic()
                self.observations.acknowledged.append((now, content["version"]))
                if not includes_k2 and self.observations.withdrawn_at is None:
                    self.observations.withdrawn_at = now
                return


def run_seed(
    folder: Path, seed: int, seconds: float, runners: int = RUNNERS
) -> Outcome:
    """Run a cluster under random faults and check the promises.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of logs and data.
    seed : int
        Seed of faults, requests and deployment changes.
    seconds : float
        Time for which faults are injected.
    runners : int
        Number of runners that crash and start again.

    Returns
    -------
    Outcome
        Broken promises and injected faults.
    """
    rng = Random(seed)
    with (
        running_cluster(folder) as cluster,
        RunnerFleet(
            cluster, runners, keeps_ids=seed % 2 == 0, versions=VERSIONS
        ) as fleet,
        start_blocking_portal() as portal,
    ):
        link = FaultProxy(free_port(), cluster.runner_port)
        portal.start_task(link.run)
        wait_until(
            lambda: cluster.announce("control-2", link.port, 2),
            "the runner is announced behind its link",
        )
        soak = _SoakRun(cluster, fleet, seed)
        started = time.monotonic()
        threads = [
            threading.Thread(target=soak.send_requests, args=(number,))
            for number in range(CALLERS)
        ]
        threads += [
            threading.Thread(target=soak.read_streams, args=(number,))
            for number in range(STREAM_CALLERS)
        ]
        threads.append(
            threading.Thread(
                target=soak.declare_and_read,
                args=(started + KEY_WITHDRAWAL_FRACTION * seconds,),
            )
        )
        threads.append(threading.Thread(target=soak.silence_runners))
        threads.append(threading.Thread(target=soak.misbehave))
        threads.append(threading.Thread(target=soak.state_limits))
        threads.append(threading.Thread(target=soak.ask_for_pauses))
        for thread in threads:
            thread.start()
        try:
            faults = _inject_faults(soak, link, portal, rng, seconds)
            for relay in RELAYS:
                wait_until(
                    lambda relay=relay: cluster.request_status(relay) == OK,
                    f"{relay} serves again",
                )
        finally:
            soak.ended.set()
            for thread in threads:
                thread.join()
        outcome = _evaluate(soak, cluster, faults)
        portal.call(portal.stop, True)
        return outcome


def _inject_faults(
    soak: _SoakRun, link: FaultProxy, portal, rng: Random, seconds: float
) -> list[str]:
    """Inject and repair faults for `seconds`; return a description of each fault."""
    active: list[tuple[float, float, Fault]] = []
    descriptions = []
    injection_ends_at = time.monotonic() + seconds
    power_may_fail_at = time.monotonic() + rng.uniform(1.0, MIN_POWER_INTERVAL_S)
    while time.monotonic() < injection_ends_at or active:
        now = time.monotonic()
        for entry in [one for one in active if one[0] <= now]:
            ends_at, began_at, fault = entry
            fault.repair()
            active.remove(entry)
            _record_end(soak.observations, fault, began_at)
        fault = None
        if now >= injection_ends_at:
            pass
        elif now >= power_may_fail_at and not active:
            soak.wait_for_change()
            fault = lose_power(soak.cluster, rng)
            power_may_fail_at = now + MIN_POWER_INTERVAL_S
        elif rng.random() < 0.25 and _has_power(active):
            faulty = {one.target for _, _, one in active}
            fault = draw_fault(soak.cluster, link, portal, faulty, rng)
        if fault is not None:
            active.append((time.monotonic() + fault.duration_s, now, fault))
            descriptions.append(
                f"{fault.name} {fault.target} for {fault.duration_s:.1f} s"
            )
        time.sleep(FAULT_STEP_S)
    return descriptions


def _has_power(active: list[tuple[float, float, Fault]]) -> bool:
    return all(fault.target != ALL_HOSTS for _, _, fault in active)


def _record_end(observations: Observations, fault: Fault, began_at: float) -> None:
    ends_at = time.monotonic() + FAULT_STEP_S
    if fault.name.startswith(CUT_OFF):
        observations.cuts.append((fault.target, began_at, ends_at))
    if fault.target in (*RELAYS, ALL_HOSTS):
        observations.disturbances.append((began_at, ends_at))


def _is_alone(
    cut: tuple[str, float, float], disturbances: list[tuple[float, float]]
) -> bool:
    """Return whether no other fault of a relay fell into a cut, or just before it."""
    _, begin, end = cut
    return not any(
        (start, stop) != (begin, end) and start < end and stop > begin - CONTACT_S
        for start, stop in disturbances
    )


def _evaluate(soak: _SoakRun, cluster, faults: list[str]) -> Outcome:
    observations = soak.observations
    lines = cluster.runs_path.read_text().splitlines()
    refused = [line for line in lines if line.endswith(REFUSED_WORD)]
    observations.refused_times = [float(line.split()[2]) for line in refused]
    observations.relays = len(RELAYS)
    lines = [line for line in lines if not line.endswith(REFUSED_WORD)]
    observations.run_times = [float(line.split()[2]) for line in lines]
    lines += [" ".join(words) for words in soak.fleet.journal]
    observations.crash_times = {
        name: soak.fleet.crash_times(ids) for name, ids in soak.ids_of_crashing.items()
    }
    observations.part_crash_times = soak.fleet.crash_times(soak.ids_with_crashing_part)
    observations.cuts = [
        cut for cut in observations.cuts if _is_alone(cut, observations.disturbances)
    ]
    sent_ids = {request.id for request in observations.sent}
    # Excludes requests of the cluster setup and of the final readiness checks.
    observations.runs = [
        request
        for request in (line.split()[0] for line in lines)
        if not (request.startswith("id-") or request in soak.stream_ids)
    ]
    served = sum(request.status == OK for request in observations.sent)
    return Outcome(broken_promises(observations), faults, served, len(sent_ids))
