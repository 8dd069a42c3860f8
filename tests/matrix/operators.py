"""Operators that resend a settings change, and probes that find which is in force.

A change with number N sets the only key of the workspace ``probe`` to the key of N.
The change in force on a host is the one whose key the host accepts.
"""

import threading
import time
from dataclasses import dataclass, field
from hashlib import sha256
from itertools import cycle

import httpx

from standins.group import OPERATOR_KEY, Group
from tests.matrix.transcripts import AcceptedChange, Observation

__all__ = ["ChangeProbe", "Operator", "probe_edit"]

RETRY_PAUSE_S = 0.1
CHANGE_TIMEOUT_S = 6.0
PROBE_TIMEOUT_S = 1.0
PROBE_PAUSE_S = 0.05
OK, NOT_FOUND, CONFLICT = 200, 404, 409
PROBE_LEVEL = "workspace/probe"


def _probe_key(number: int) -> str:
    return f"probe-key-{number}"


def probe_edit(number: int, expected_revision: int | None = None) -> dict:
    """Return the edit that makes a change's key the only one of the workspace."""
    digest = sha256(_probe_key(number).encode()).hexdigest()
    edit = {"level": PROBE_LEVEL, "set": {"key_hashes": [digest]}}
    if expected_revision is not None:
        edit["expected_revision"] = expected_revision
    return edit


@dataclass(slots=True)
class Operator:
    """Operator that sends one change in a thread, with retries until it is answered.

    Attributes
    ----------
    number : int
        Number of the change.
    hosts : list of str
        Addresses of entry hosts, tried in turn.
    expected_revision : int or None
        Revision of the level that the change is based on.
    statuses : list of int
        HTTP status of each attempt; 0 if no response was received.
    accepted : list of AcceptedChange
        One item for each attempt that was reported as accepted.
    revisions : list of int
        Revision in each response that reported the change as accepted.
    """

    number: int
    hosts: list[str]
    expected_revision: int | None = None
    statuses: list[int] = field(default_factory=list)
    accepted: list[AcceptedChange] = field(default_factory=list)
    revisions: list[int] = field(default_factory=list)
    _thread: threading.Thread | None = None
    _stopped: threading.Event = field(default_factory=threading.Event)

    def start(self) -> None:
        """Start sending the change until it is accepted or rejected as a conflict."""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def finish(self, timeout_s: float) -> None:
        """Wait for the final answer, and stop retrying at the timeout."""
        self._thread.join(timeout_s)
        self._stopped.set()
        self._thread.join(CHANGE_TIMEOUT_S + RETRY_PAUSE_S)

    @property
    def is_done(self) -> bool:
        """Whether the operator has its final answer or has stopped retrying."""
        return not self._thread.is_alive()

    def _run(self) -> None:
        for host in cycle(self.hosts):
            status = self.send(host)
            if status in (OK, CONFLICT) or self._stopped.wait(RETRY_PAUSE_S):
                return

    def send(self, host: str) -> int:
        """Send the change once; return the HTTP status, 0 without a response."""
        body = {
            "change_id": f"probe-{self.number}",
            "edits": [probe_edit(self.number, self.expected_revision)],
        }
        status = 0
        try:
            response = httpx.post(
                f"http://{host}/operator/settings",
                json=body,
                headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
                timeout=CHANGE_TIMEOUT_S,
                trust_env=False,
            )
            status = response.status_code
        except httpx.HTTPError:
            pass
        self.statuses.append(status)
        if status == OK:
            self.accepted.append(AcceptedChange(self.number, time.time_ns()))
            self.revisions.append(response.json()["revision"])
        return status


@dataclass(slots=True)
class ChangeProbe:
    """Polls each entry host for the change that is in force there.

    Attributes
    ----------
    group : Group
        Group whose entry hosts are polled.
    numbers : list of int
        Numbers of the changes that may be in force, the newest last.
    observations : list of Observation
        Observations in order of time.
    """

    group: Group
    numbers: list[int]
    observations: list[Observation] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        """Poll the entry hosts, one thread each, until `stop`."""
        for node, host in self.group.hosts.items():
            if "entry" in host.spec.roles:
                thread = threading.Thread(
                    target=self._probe_host, args=(node, host.callers), daemon=True
                )
                self._threads.append(thread)
                thread.start()

    def stop(self) -> int:
        """Stop polling; return the end of the observation in nanoseconds."""
        end_ns = time.time_ns()
        self._stopped.set()
        for thread in self._threads:
            thread.join(2 * PROBE_TIMEOUT_S)
        return end_ns

    def _probe_host(self, node: str, address: str) -> None:
        with httpx.Client(timeout=PROBE_TIMEOUT_S, trust_env=False) as client:
            while not self._stopped.wait(PROBE_PAUSE_S):
                try:
                    self._probe_once(client, node, address)
                except httpx.HTTPError:
                    continue

    def _probe_once(self, client: httpx.Client, node: str, address: str) -> None:
        if client.get(f"http://{address}/healthz/ready").status_code != OK:
            return
        for number in reversed(self.numbers):
            asked_ns = time.time_ns()
            response = client.get(
                f"http://{address}/v1/requests/none",
                headers={"Authorization": f"Bearer {_probe_key(number)}"},
            )
            if response.status_code == NOT_FOUND:
                self.observations.append(Observation(node, asked_ns, number))
                return
