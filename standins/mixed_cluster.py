"""A cluster whose hosts run different builds of this repository."""

import os
import subprocess
import sys
import tarfile
import threading
import time
from collections import Counter
from datetime import datetime
from io import BytesIO
from pathlib import Path

import httpx
import msgspec

from standins.platform_cluster import CONTROL, RELAYS, Cluster, deployment_document
from standins.platform_host import LAUNCHER_PATH, SETTINGS_VARIABLE
from standins.processes import ROOT, Process, wait_until

__all__ = ["MixedCluster", "Traffic", "unpack_build"]

#: Interval between the requests of each caller, in seconds.
REQUEST_INTERVAL_S = 0.05
ANNOUNCE_INTERVAL_S = 0.5
CALLER_TIMEOUT_S = 6.0
#: Every so many requests must not be executed twice.
ONCE_EVERY = 4
#: Time after a host has returned in which its links may still be replaced, in seconds.
SETTLE_S = 3.0


def unpack_build(commit: str, folder: Path) -> Path | None:
    """Unpack the sources of a commit into `folder`; None if the history lacks it."""
    try:
        archive = subprocess.run(
            ["git", "-C", str(ROOT), "archive", commit],
            capture_output=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return None
    with tarfile.open(fileobj=BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter="data")
    return folder


class BuildProcess(Process):
    """A host that runs the launcher of one build.

    Attributes
    ----------
    build : pathlib.Path
        Root of the sources that the next start uses.
    """

    def __init__(self, name: str, settings: Path, folder: Path, build: Path):
        super().__init__(name, [], folder)
        self._settings = settings
        self.build = build

    def start(self) -> None:
        """Start or restart the process."""
        launcher = self.build / LAUNCHER_PATH.relative_to(ROOT)
        # The launcher finds the sources of its own tree.
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._settings)}
        environment.pop("PYTHONPATH", None)
        with open(self._log, "ab") as output:
            self._child = subprocess.Popen(
                [sys.executable, str(launcher)],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
            )


class MixedCluster(Cluster):
    """A cluster whose hosts are restarted one by one with another build.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for the files of the processes.
    build : pathlib.Path
        Root of the sources with which all hosts start.
    """

    def __init__(self, folder: Path, build: Path):
        self._build = build
        super().__init__(folder)
        #: Names of the hosts with the times at which each was down or settling.
        self.restarts: list[tuple[str, float, float]] = []
        self.acknowledged_version = 0

    def _create_process(self, name: str) -> Process:
        super()._create_process(name)
        return BuildProcess(
            name, self.folder / f"{name}.yaml", self.folder, self._build
        )

    def start(self) -> None:
        """Start all processes and wait until requests are served."""
        super().start()
        self.declare_next("control-1")
        wait_until(
            lambda: self.announce("control-4", self.runner_port, 1),
            "the runner is announced",
        )
        for relay in RELAYS:
            wait_until(
                lambda one=relay: self.request_status(one) == 200, f"{relay} serves"
            )

    def declare_next(self, name: str) -> None:
        """Declare the next version at a control host, until it is acknowledged."""
        version = self.acknowledged_version + 1
        document = deployment_document(version)
        wait_until(
            lambda: self.declare_deployment(name, document) == 200,
            f"version {version} is acknowledged",
        )
        self.acknowledged_version = version

    def restart(self, name: str, build: Path) -> None:
        """Stop a host as planned and start it with a build; wait until it serves."""
        process = self.processes[name]
        stopped_at = time.time()
        process.terminate()
        process.wait()
        process.build = build
        process.start()
        if name in RELAYS:
            wait_until(lambda: self.is_ready(name), f"{name} is ready")
        else:
            wait_until(lambda: self.is_member(name), f"{name} is in the group")
            wait_until(
                lambda: self.read_version(name) == self.acknowledged_version,
                f"{name} knows the acknowledged deployment",
            )
        self.restarts.append((name, stopped_at, time.time() + SETTLE_S))

    def read_version(self, name: str) -> int | None:
        """Return the version that a control host reads back; None without one."""
        try:
            response = self.call(name, "GET", "/Config.Read")
        except httpx.HTTPError:
            return None
        return response.json()["version"] if response.status_code == 200 else None

    def builds(self) -> dict[str, Path]:
        """Return the build of each control host."""
        return {name: self.processes[name].build for name in CONTROL}

    def leader(self) -> str | None:
        """Return the leader of the control group that was last logged, if any."""
        known = [
            (line["timestamp"], line["leader"])
            for host in CONTROL
            for line in self.log_lines(host)
            if line["event"] == "leader known"
        ]
        return max(known)[1].partition("~")[0] if known else None

    def log_lines(self, name: str) -> list[dict]:
        """Return the lines that a host has logged in all its runs."""
        lines = []
        for line in self.processes[name].log.read_text().splitlines():
            try:
                lines.append(msgspec.json.decode(line))
            except msgspec.DecodeError:
                continue
        return lines

    def is_member(self, name: str) -> bool:
        """Return whether the latest change of the control group includes a host."""
        changes = [
            (line["timestamp"], line["voters"], line.get("learners", []))
            for host in CONTROL
            for line in self.log_lines(host)
            if line["event"] in ("group changes", "group formed")
        ]
        _, voters, learners = max(changes)
        return name in {member.partition("~")[0] for member in (*voters, *learners)}

    def fallen_links(self) -> list[tuple[str, str, float]]:
        """Return the links with a control host that fell apart from restarts.

        Returns
        -------
        list of (str, str, float)
            Two hosts and the time at which the first of them had no link to the
            other any more. Other links are opened on demand and closed when idle.
        """
        fallen = []
        for name in (*CONTROL, *RELAYS):
            links: Counter[str] = Counter()
            for line in self.log_lines(name):
                at = datetime.fromisoformat(line["timestamp"]).timestamp()
                if line["event"] == "started":
                    links.clear()
                elif line["event"] == "link open":
                    links[line["peer"]] += 1
                elif line["event"] == "link closed":
                    peer = line["peer"]
                    links[peer] -= 1
                    if (
                        links[peer] == 0
                        and not {name, peer} <= set(RELAYS)
                        and not self._is_restarting({name, peer}, at)
                    ):
                        fallen.append((name, peer, at))
        return fallen

    def _is_restarting(self, names: set[str], at: float) -> bool:
        return any(
            name in names and began <= at <= ended
            for name, began, ended in self.restarts
        )


class Traffic:
    """Callers that send requests to the relays that are ready, and a runner.

    Attributes
    ----------
    statuses : collections.Counter
        Number of requests by HTTP status; 0 without a complete response.
    failures : list
        Relay, status and time of each request that failed.
    """

    def __init__(self, cluster: MixedCluster):
        self._cluster = cluster
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(relay,)) for relay in RELAYS
        ]
        self._threads.append(threading.Thread(target=self._announce))
        self.statuses: Counter[int] = Counter()
        self.failures: list[tuple[str, int, float]] = []

    def __enter__(self) -> "Traffic":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _call(self, relay: str) -> None:
        # Each request has a connection of its own: one that is kept could be closed
        # by a relay that stops, just as the next request is sent.
        limits = httpx.Limits(max_keepalive_connections=0)
        with httpx.Client(
            trust_env=False, timeout=CALLER_TIMEOUT_S, limits=limits
        ) as client:
            number = 0
            while not self._stop.wait(REQUEST_INTERVAL_S):
                # As a load balancer does, which takes hosts that are not ready out.
                if not self._is_ready(relay, client):
                    continue
                number += 1
                path = "/once/1" if number % ONCE_EVERY == 0 else "/x/1"
                response = self._cluster.send_request(relay, path=path, client=client)
                status = response.status_code if response is not None else 0
                self.statuses[status] += 1
                if status != 200:
                    self.failures.append((relay, status, time.time()))

    def _is_ready(self, relay: str, client: httpx.Client) -> bool:
        address = self._cluster.ip_addresses[relay]
        try:
            url = f"http://{address}:{self._cluster.ready_port}/readyz"
            return client.get(url).status_code == 200
        except httpx.HTTPError:
            return False

    def _announce(self) -> None:
        sequence = 1
        while not self._stop.wait(ANNOUNCE_INTERVAL_S):
            sequence += 1
            port = self._cluster.runner_port
            any(self._cluster.announce(name, port, sequence) for name in CONTROL)
