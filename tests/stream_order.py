"""Plays streams on kept connections that are taken up at other relays, under faults.

By hand: ``python -m tests.stream_order --first 1 --seeds 20 --seconds 20``.
"""

import argparse
import asyncio
import re
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random

from standins.platform_cluster import RELAYS, Cluster, running_cluster
from standins.processes import wait_until
from standins.stream_runners import EVENTS, StreamFaults, StreamRunners
from tests.soak.faults import draw_host_fault

__all__ = ["Outcome", "Profile", "play"]

RUNNERS = 5
CALLERS = 16
DEADLINE_MS = 8_000
#: Time without bytes after which a caller leaves, in seconds.
GAP_S = 2.0
#: Requests of one stream, after which its caller gives up.
MAX_REQUESTS = 12
FAULT_STEP_S = 0.25
FAULT_PROBABILITY = 0.3
#: Bounds of the duration of a fault of a host, in seconds.
FAULT_S = (0.3, 4.0)
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) (\d+)\n\n")
OK = 200


@dataclass(frozen=True, slots=True)
class Profile:
    """What is played.

    Attributes
    ----------
    faults : StreamFaults
        Faults of answers.
    crash_interval_s : float
        Mean time between crashes of runners, in seconds; 0 for none.
    hosts_fail : bool
        Whether relays and control hosts are killed, stopped, suspended and cut off.
    versions : tuple of str
        Software versions of the runners.
    """

    faults: StreamFaults = StreamFaults()
    crash_interval_s: float = 1.5
    hosts_fail: bool = True
    versions: tuple[str, ...] = ("v1", "v2")


@dataclass(slots=True)
class Outcome:
    """What callers have seen.

    Attributes
    ----------
    broken : list of str
        Streams whose events do not fit together.
    ends : collections.Counter
        Number of answers by how they ended.
    whole, given_up : int
        Streams with all events, and those that their callers left.
    faults : list of str
        Faults of hosts.
    played : collections.Counter
        Faults of runners.
    """

    broken: list[str] = field(default_factory=list)
    ends: Counter[str] = field(default_factory=Counter)
    whole: int = 0
    given_up: int = 0
    faults: list[str] = field(default_factory=list)
    played: Counter[str] = field(default_factory=Counter)


class _Connection:
    """Kept connection of a caller to a relay."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer
        self.is_open = True

    @classmethod
    async def open(cls, address: str, port: int) -> "_Connection":
        async with asyncio.timeout(1.0):
            return cls(*await asyncio.open_connection(address, port))

    def close(self) -> None:
        self.is_open = False
        self._writer.close()

    async def request(
        self, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, str], bytes, bool]:
        """Return the status, headers and body of an answer, and whether it is whole."""
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["POST /stream/1 HTTP/1.1", *lines, "", ""]).encode()
        received = bytearray()
        status, fields = 0, {}
        try:
            self._writer.write(head + body)
            answer = await self._timed(self._reader.readuntil(b"\r\n\r\n"))
            first, *rest = answer.decode("latin-1").split("\r\n")
            status = int(first.split()[1])
            pairs = (line.split(":", 1) for line in rest if ":" in line)
            fields = {name.lower(): value.strip() for name, value in pairs}
            if "content-length" in fields:
                length = int(fields["content-length"])
                received += await self._timed(self._reader.readexactly(length))
            else:
                await self._read_chunks(received)
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            self.close()
            return status, fields, bytes(received), False
        if fields.get("connection") == "close":
            self.close()
        return status, fields, bytes(received), True

    async def _read_chunks(self, received: bytearray) -> None:
        while True:
            line = await self._timed(self._reader.readuntil(b"\r\n"))
            size = int(line, 16)
            data = await self._timed(self._reader.readexactly(size + 2))
            if not size:
                return
            received += data[:-2]

    async def _timed(self, reading):
        async with asyncio.timeout(GAP_S):
            return await reading


class _Callers:
    def __init__(self, cluster: Cluster, seed: int, outcome: Outcome):
        self._cluster = cluster
        self._seed = seed
        self._outcome = outcome
        self.ended = threading.Event()

    def run(self) -> None:
        asyncio.run(self._run())

    async def _run(self) -> None:
        await asyncio.gather(*(self._call(number) for number in range(CALLERS)))

    async def _call(self, number: int) -> None:
        rng = Random(f"caller-{self._seed}-{number}")
        connections: dict[str, _Connection] = {}
        count = 0
        while not self.ended.is_set():
            count += 1
            await self._read_stream(f"k{number}-{count}", rng, connections)
            await asyncio.sleep(rng.uniform(0.0, 0.05))
        for connection in connections.values():
            connection.close()

    async def _read_stream(
        self, key: str, rng: Random, connections: dict[str, _Connection]
    ) -> None:
        events: list[tuple[int, str]] = []
        first = ""
        relay = rng.choice(RELAYS)
        for attempt in range(MAX_REQUESTS):
            request = f"{key}-{attempt}"
            headers = {
                "Host": "a.example",
                "Attempt-Id": request,
                "Authorization": "Token k1",
                "Deadline-Ms": str(DEADLINE_MS),
                "Content-Length": str(len(key)),
            }
            if events:
                headers["Resumes"] = first
                headers["Last-Event-Id"] = str(events[-1][0])
            status, fields, body, is_whole = await self._send(
                relay, connections, headers, key.encode()
            )
            if status != OK:
                self._outcome.ends[f"status {status}"] += 1
                await asyncio.sleep(float(fields.get("retry-after", 0.1)))
            else:
                self._outcome.ends["whole" if is_whole else "broken off"] += 1
                self._check(request, key, events, fields, body, is_whole)
                first = first or (request if events else "")
                if len(events) == EVENTS:
                    self._outcome.whole += 1
                    return
                if is_whole:
                    return
            if self.ended.is_set():
                return
            relay = RELAYS[1 - RELAYS.index(relay)]
        self._outcome.given_up += 1

    async def _send(self, relay, connections, headers, body):
        connection = connections.get(relay)
        try:
            if connection is None or not connection.is_open:
                address = self._cluster.ip_addresses[relay]
                connection = connections[relay] = await _Connection.open(
                    address, self._cluster.relay_port
                )
            return await connection.request(headers, body)
        except (OSError, TimeoutError):
            return 0, {}, b"", False

    def _check(self, request, key, events, fields, body, is_whole) -> None:
        """Add the events of an answer, and record what does not fit."""
        position = 0
        before = [number for number, _ in events]
        while (match := EVENT.match(body, position)) is not None:
            position = match.end()
            events.append((int(match[1]), match[2].decode()))
            if match[3].decode() != key or match[1] != match[4]:
                self._broken(request, f"an event of another stream: {match[0]!r}")
        rest = body[position:]
        if rest and (is_whole or not _may_be_cut_off(rest)):
            self._broken(request, f"foreign bytes after {len(events)} events: {rest!r}")
        numbers = [number for number, _ in events]
        if numbers != list(range(1, len(numbers) + 1)):
            self._broken(request, f"events {before}, then {numbers[len(before) :]}")
        versions = sorted({version for _, version in events})
        if len(versions) > 1:
            self._broken(request, f"events of the versions {versions}")
        if is_whole and numbers[-1:] != [EVENTS]:
            self._broken(request, f"ended as complete after {len(numbers)} events")
        if events and "server-signature" not in fields:
            self._broken(request, "has no signature")

    def _broken(self, request: str, detail: str) -> None:
        self._outcome.broken.append(f"{request}: {detail[:300]}")


def _may_be_cut_off(rest: bytes) -> bool:
    """Return whether bytes may be the beginning of an event."""
    sample = b"id: 10\ndata: v1 k\n"
    return rest.startswith(sample[:1]) and b"\n\n" not in rest


def _fail_hosts(
    cluster: Cluster, rng: Random, seconds: float, outcome: Outcome
) -> None:
    active = []
    end = time.monotonic() + seconds
    while time.monotonic() < end or active:
        now = time.monotonic()
        for entry in [one for one in active if one[0] <= now or now >= end]:
            entry[1].repair()
            active.remove(entry)
        if now < end and rng.random() < FAULT_PROBABILITY:
            faulty = {one.target for _, one in active}
            duration_s = rng.uniform(*FAULT_S)
            fault = draw_host_fault(cluster, faulty, duration_s, rng)
            if fault is not None:
                active.append((now + fault.duration_s, fault))
                outcome.faults.append(f"{fault.name} {fault.target}")
        time.sleep(FAULT_STEP_S)


def play(folder: Path, seed: int, seconds: float, profile: Profile) -> Outcome:
    """Play one seed.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of logs and data.
    seed : int
        Seed of callers and faults.
    seconds : float
        Duration in seconds.
    profile : Profile
        What is played.

    Returns
    -------
    Outcome
        What callers have seen.
    """
    outcome = Outcome()
    with running_cluster(folder) as cluster:
        runners = StreamRunners(
            cluster,
            RUNNERS,
            seed,
            profile.faults,
            profile.crash_interval_s,
            profile.versions,
        )
        with runners:
            # Of the cluster itself; it writes other streams.
            cluster.depart("control-1", "i-1")
            cluster.runner.kill()
            for relay in RELAYS:
                wait_until(
                    lambda one=relay: all(
                        f'"{runner.partition("-")[0]}-'
                        in cluster.processes[one].log.read_text()
                        for runner in runners.ids
                    ),
                    f"{relay} knows the runners",
                )
            callers = _Callers(cluster, seed, outcome)
            thread = threading.Thread(target=callers.run)
            thread.start()
            try:
                if profile.hosts_fail:
                    _fail_hosts(cluster, Random(f"hosts-{seed}"), seconds, outcome)
                else:
                    time.sleep(seconds)
            finally:
                callers.ended.set()
                thread.join()
            outcome.played = runners.played
    return outcome


def main() -> None:
    """Play seeds as the command line says; print a line each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--sound-hosts", action="store_true")
    parser.add_argument("--without", nargs="*", default=[], metavar="FAULT")
    arguments = parser.parse_args()
    faults = replace(StreamFaults(), **dict.fromkeys(arguments.without, 0.0))
    profile = Profile(faults, hosts_fail=not arguments.sound_hosts)
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        with tempfile.TemporaryDirectory() as folder:
            outcome = play(Path(folder), seed, arguments.seconds, profile)
        print(
            f"seed {seed}: {len(outcome.broken)} broken, {outcome.whole} whole, "
            f"{outcome.given_up} given up, ends {dict(outcome.ends)}, "
            f"played {dict(outcome.played)}, hosts {len(outcome.faults)}",
            flush=True,
        )
        for line in outcome.broken[:10]:
            print("   ", line, flush=True)


if __name__ == "__main__":
    main()
