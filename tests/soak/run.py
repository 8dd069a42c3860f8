"""Runs one seed of the soak test."""

import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import httpx
from anyio.from_thread import start_blocking_portal

from standins.platform_cluster import CONTROL, RELAYS, document, running_cluster
from standins.processes import free_port, wait_until
from standins.proxy import FaultProxy
from tests.soak.faults import Fault, draw_fault
from tests.soak.promises import Evidence, Sent, broken_promises

__all__ = ["Outcome", "play"]

CALLERS = 4
#: Time at which the key ``k2`` is withdrawn, as a fraction of the run.
WITHDRAWAL_PART = 0.4
FIRST_VERSION = 100
PAUSE_S = 0.02
STEP_S = 0.1
OK = 200


@dataclass(slots=True)
class Outcome:
    """Result of one seed.

    Attributes
    ----------
    broken : list of str
        Messages on broken promises.
    faults : list of str
        Injected faults, in order.
    served, asked : int
        Number of requests that succeeded, and of all requests.
    """

    broken: list[str]
    faults: list[str] = field(default_factory=list)
    served: int = 0
    asked: int = 0


class _Soak:
    def __init__(self, cluster, seed: int):
        self.cluster = cluster
        self.evidence = Evidence()
        self.lock = threading.Lock()
        self.ended = threading.Event()
        self.seed = seed

    def call(self, number: int) -> None:
        """Send requests as one caller until the run ends."""
        rng = Random(f"{self.seed}-{number}")
        count = 0
        while not self.ended.is_set():
            count += 1
            is_once = rng.random() < 0.5
            key = "k2" if rng.random() < 0.3 else "k1"
            request = f"c{number}-{count}"
            path = "/once/1" if is_once else "/x/1"
            at = time.monotonic()
            found = self.cluster.ask(rng.choice(RELAYS), key, path, request)
            status = found.status_code if found is not None else 0
            answered = found.headers.get("Attempt-Id") if found is not None else None
            with self.lock:
                self.evidence.sent.append(
                    Sent(request, at, is_once, key, status, answered)
                )
            time.sleep(PAUSE_S)

    def operate(self, withdraw_at: float) -> None:
        """Declare and read deployments until the run ends."""
        rng = Random(f"{self.seed}-operator")
        version = FIRST_VERSION
        while not self.ended.is_set():
            version += rng.randint(1, 3)
            has_key = time.monotonic() < withdraw_at
            content = document(version, ("k1", "k2") if has_key else ("k1",))
            self._declare(content, has_key, rng)
            at = time.monotonic()
            try:
                found = self.cluster.call(rng.choice(CONTROL), "GET", "/Config.Read")
            except httpx.HTTPError:
                continue
            if found.status_code == OK:
                self.evidence.reads.append((at, found.json()["version"]))
            time.sleep(rng.uniform(0.0, 0.3))

    def _declare(self, content: dict, has_key: bool, rng: Random) -> None:
        # Retries the same declaration at random control hosts until one acknowledges.
        while not self.ended.is_set():
            if self.cluster.is_acknowledged(rng.choice(CONTROL), content) == OK:
                now = time.monotonic()
                self.evidence.acknowledged.append((now, content["version"]))
                if not has_key and self.evidence.withdrawn_at is None:
                    self.evidence.withdrawn_at = now
                return


def play(folder: Path, seed: int, seconds: float) -> Outcome:
    """Run a cluster under random faults and check the promises.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of logs and data.
    seed : int
        Seed of faults, requests and deployment changes.
    seconds : float
        Time for which faults are injected.

    Returns
    -------
    Outcome
        Broken promises and injected faults.
    """
    rng = Random(seed)
    with running_cluster(folder) as cluster, start_blocking_portal() as portal:
        link = FaultProxy(free_port(), cluster.runner_port)
        portal.start_task(link.run)
        wait_until(
            lambda: cluster.announce("control-2", link.port, 2),
            "the runner is announced behind its link",
        )
        soak = _Soak(cluster, seed)
        before = time.monotonic()
        threads = [
            threading.Thread(target=soak.call, args=(number,))
            for number in range(CALLERS)
        ]
        threads.append(
            threading.Thread(
                target=soak.operate, args=(before + WITHDRAWAL_PART * seconds,)
            )
        )
        for thread in threads:
            thread.start()
        try:
            faults = _draw_faults(cluster, link, portal, rng, seconds)
            for relay in RELAYS:
                wait_until(
                    lambda one=relay: cluster.status(one) == OK, f"{relay} serves again"
                )
        finally:
            soak.ended.set()
            for thread in threads:
                thread.join()
        outcome = _judge(soak, cluster, faults)
        portal.call(portal.stop, True)
        return outcome


def _draw_faults(cluster, link, portal, rng: Random, seconds: float) -> list[str]:
    """Inject and repair faults for `seconds`; return a description of each fault."""
    begun: list[tuple[float, Fault]] = []
    said = []
    until = time.monotonic() + seconds
    while time.monotonic() < until or begun:
        now = time.monotonic()
        for ends_at, fault in [one for one in begun if one[0] <= now]:
            fault.undo()
            begun.remove((ends_at, fault))
        if now < until and rng.random() < 0.25:
            faulty = {fault.target for _, fault in begun}
            fault = draw_fault(cluster, link, portal, faulty, rng)
            if fault is not None:
                begun.append((now + fault.lasts_s, fault))
                said.append(f"{fault.name} {fault.target} for {fault.lasts_s:.1f} s")
        time.sleep(STEP_S)
    return said


def _judge(soak: _Soak, cluster, faults: list[str]) -> Outcome:
    evidence = soak.evidence
    lines = cluster.runs.read_text().splitlines()
    asked = {one.id for one in evidence.sent}
    # Excludes requests of the cluster setup and of the final readiness checks.
    evidence.runs = [line.split()[0] for line in lines if not line.startswith("id-")]
    served = sum(one.status == OK for one in evidence.sent)
    return Outcome(broken_promises(evidence), faults, served, len(asked))
