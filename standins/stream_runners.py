"""Runners of the users' platform that write streams, with faults drawn from a seed."""

import asyncio
import json
import socket
import struct
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from standins.platform_cluster import CONTROL, Cluster
from standins.processes import free_port

__all__ = ["StreamFaults", "StreamRunners", "event_bytes"]

#: Events of a whole stream, and the time between two in seconds.
EVENTS = 24
EVENT_INTERVAL_S = 0.02
HEARTBEAT_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 1.0
#: Bounds of the time for which a crashed runner is down, in seconds.
MIN_DOWN_S, MAX_DOWN_S = 0.2, 1.0
STALL_S = 3.0
#: Statuses of runners that fail.
FAILURES = (500, 502, 404, 400, 504)
#: Text of a failure, which looks like events.
FAILURE_BODY = b"id: 3\ndata: the run failed\n\nid: 99\ndata: more of it\n\n"
RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class StreamFaults:
    """Probabilities of the faults of an answer.

    Attributes
    ----------
    resets, cuts : float
        The connection is reset, or closed, in the middle of a stream.
    stalls : float
        The stream is silent for `STALL_S`.
    fails : float
        The answer is a failure.
    refuses : float
        The request is refused as not run.
    repeats : float
        A refusal is written once more before the next answer of the connection.
    unframed : float
        The stream has no length and ends with its connection.
    adds : float
        Bytes of no request follow a whole stream.
    misanswers : float
        The answer to a request that takes a stream up is a success that does not
        go on with it: another kind of body, or a run from the beginning.
    """

    resets: float = 0.2
    cuts: float = 0.05
    stalls: float = 0.02
    fails: float = 0.15
    refuses: float = 0.1
    repeats: float = 0.5
    unframed: float = 0.2
    adds: float = 0.1
    misanswers: float = 0.1


def event_bytes(number: int, version: str, key: str) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: %s %s %d\n\n" % (
        number,
        version.encode(),
        key.encode(),
        number,
    )


@dataclass(slots=True)
class _Runner:
    """One runner; its id changes with each start."""

    number: int
    port: int
    version: str
    starts: int = 0
    sequence: int = 0
    born: float = 0.0
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def id(self) -> str:
        return f"w{self.number}-{self.starts}"


class StreamRunners:
    """Runs stream runners on an event loop in a thread, and announces them.

    Parameters
    ----------
    cluster : Cluster
        Running cluster.
    count : int
        Number of runners.
    seed : int
        Seed of the faults.
    faults : StreamFaults
        Probabilities of the faults.
    crash_interval_s : float
        Mean time between two crashes of runners, in seconds; 0 for none.
    versions : tuple of str
        Software versions; a runner that starts again has a random one.
    """

    def __init__(
        self,
        cluster: Cluster,
        count: int,
        seed: int,
        faults: StreamFaults,
        crash_interval_s: float = 1.5,
        versions: tuple[str, ...] = ("v1",),
    ):
        self._cluster = cluster
        self._rng = Random(f"runners-{seed}")
        self._faults = faults
        self._crash_interval_s = crash_interval_s
        self._versions = versions
        self._runners = [
            _Runner(number, free_port(), versions[0]) for number in range(count)
        ]
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()))
        self._ended = threading.Event()
        #: Number of times that each fault was played.
        self.played: Counter[str] = Counter()
        #: Runs, in order: request, runner, and number of the first event.
        self.runs: list[tuple[str, str, int]] = []

    def __enter__(self) -> "StreamRunners":
        self._thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._ended.set()
        self._thread.join()

    @property
    def ids(self) -> list[str]:
        """Ids of the runners that were started last."""
        return [one.id for one in self._runners]

    def _draw(self, fault: str) -> bool:
        is_drawn = self._rng.random() < getattr(self._faults, fault)
        self.played[fault] += is_drawn
        return is_drawn

    async def _run(self) -> None:
        for runner in self._runners:
            await self._start(runner)
        tasks = [asyncio.create_task(self._announce(one)) for one in self._runners]
        if self._crash_interval_s:
            tasks.append(asyncio.create_task(self._crash_runners()))
        while not self._ended.is_set():
            await asyncio.sleep(0.05)
        for task in tasks:
            task.cancel()
        for runner in self._runners:
            self._stop(runner)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _start(self, runner: _Runner) -> None:
        runner.starts += 1
        runner.sequence = 0
        runner.born = time.time()
        listener = socket.create_server(("127.0.0.1", runner.port), backlog=128)
        start = runner.starts
        runner.server = await asyncio.start_server(
            lambda reader, writer: self._serve(runner, start, reader, writer),
            sock=listener,
        )

    def _stop(self, runner: _Runner) -> None:
        if runner.server is not None:
            runner.server.close()
            runner.server = None
        for writer in list(runner.writers):
            _reset(writer)

    async def _crash_runners(self) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(1.0 / self._crash_interval_s))
            runner = self._rng.choice(self._runners)
            if runner.server is None:
                continue
            self.played["crashes"] += 1
            self._stop(runner)
            await asyncio.sleep(self._rng.uniform(MIN_DOWN_S, MAX_DOWN_S))
            runner.version = self._rng.choice(self._versions)
            await self._start(runner)

    async def _announce(self, runner: _Runner) -> None:
        while True:
            if runner.server is not None:
                runner.sequence += 1
                content = {
                    "service": "s1",
                    "address": f"127.0.0.1:{runner.port}",
                    "zone": "fann",
                    "version": runner.version,
                    "slots": 32,
                    "state": "ready",
                    "seq": runner.sequence,
                    "born": int(runner.born * 1000),
                }
                path = f"/Instances.Heartbeat/{runner.id}"
                for control in self._rng.sample(CONTROL, len(CONTROL)):
                    if await self._call(control, path, content):
                        break
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _call(self, control: str, path: str, content: dict) -> bool:
        body = json.dumps(content).encode()
        head = f"POST {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self._cluster.ip_addresses[control], self._cluster.control_port
                )
                writer.write(head.encode() + b"Connection: close\r\n\r\n" + body)
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer.startswith(b"HTTP/1.1 200")

    async def _serve(
        self,
        runner: _Runner,
        start: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        runner.writers.add(writer)
        repeated = b""
        try:
            while (request := await _read_request(reader)) is not None:
                target, headers, body = request
                if repeated and self._draw("repeats"):
                    writer.write(repeated)
                    await asyncio.sleep(0.002)
                repeated = b""
                if start != runner.starts:
                    break
                if headers.get("target-instance") not in (None, runner.id):
                    writer.write(_refusal(headers, 421))
                    continue
                if not target.startswith("/stream/"):
                    writer.write(_whole(headers, 200, b"ok"))
                    continue
                if self._draw("refuses"):
                    repeated = _refusal(headers, 503)
                    writer.write(repeated)
                    continue
                if not await self._answer(runner, headers, body.decode(), writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            runner.writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        runner: _Runner,
        headers: dict[str, str],
        key: str,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request for a stream; return whether the connection stays open."""
        first = int(headers.get("last-event-id") or 0) + 1
        self.runs.append((headers["attempt-id"], runner.id, first))
        if self._draw("fails"):
            return self._fail(headers, writer)
        if first > 1 and self._draw("misanswers"):
            if self._rng.random() < 0.5:
                writer.write(_whole(headers, 200, FAILURE_BODY, "text/plain"))
                return True
            first = self._rng.randint(1, first - 1)
        is_framed = not self._draw("unframed")
        # A closed connection would be the end of a stream without a length.
        ends = [one for one in ("resets", "cuts", "stalls") if self._draw(one)]
        if not is_framed:
            ends = [one for one in ends if one != "cuts"]
        if first > EVENTS:
            ends = []
        breaks_at = self._rng.randint(first, EVENTS) if ends else EVENTS + 1
        writer.write(_head(headers, 200, is_framed=is_framed))
        for number in range(first, EVENTS + 1):
            event = event_bytes(number, runner.version, key)
            if number == breaks_at and "stalls" in ends:
                await asyncio.sleep(STALL_S)
            if number == breaks_at and ends[0] != "stalls":
                part = event[: self._rng.randint(0, len(event))]
                writer.write(_chunk(part) if is_framed and part else part)
                await asyncio.sleep(0.005)
                if ends[0] == "resets":
                    _reset(writer)
                return False
            writer.write(_chunk(event) if is_framed else event)
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        if not is_framed:
            return False
        writer.write(b"0\r\n\r\n")
        if self._draw("adds"):
            await asyncio.sleep(self._rng.choice((0.0, 0.02)))
            writer.write(_whole(headers, 500, FAILURE_BODY))
        return True

    def _fail(self, headers: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        status = self._rng.choice(FAILURES)
        framing = self._rng.choice(("length", "chunks", "none"))
        self.played[f"fails {status}"] += 1
        if framing == "length":
            writer.write(_whole(headers, status, FAILURE_BODY))
            return True
        writer.write(_head(headers, status, is_framed=framing == "chunks"))
        if framing == "chunks":
            writer.write(_chunk(FAILURE_BODY) + b"0\r\n\r\n")
            return True
        writer.write(FAILURE_BODY)
        return False


async def _read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length") or 0))
    return first.split()[1], headers, body


def _head(
    headers: dict[str, str],
    status: int,
    *,
    is_framed: bool = True,
    length: int | None = None,
    kind: str = "text/event-stream",
    extra: str = "",
) -> bytes:
    lines = [
        f"HTTP/1.1 {status} X",
        f"Attempt-Id: {headers.get('attempt-id', '')}",
        f"Server-Signature: signed-{headers.get('attempt-id', '')}",
        f"Content-Type: {kind}",
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    elif is_framed:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n" + extra + "\r\n").encode()


def _whole(
    headers: dict[str, str], status: int, body: bytes, kind: str = "text/plain"
) -> bytes:
    return _head(headers, status, length=len(body), kind=kind) + body


def _refusal(headers: dict[str, str], status: int) -> bytes:
    return _head(headers, status, length=0, extra="Not-Executed: 1\r\n")


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()
