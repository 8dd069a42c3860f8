"""Processor time per token event and added latency of an entry host."""

import os
import tempfile
import time
import uuid
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from statistics import quantiles

import anyio
import httpx

from bench.figures import Figure
from standins.fleets import HOSTS, RELEVE_KEY, fleet_settings
from standins.group import Group, running_group
from standins.processes import Process, free_port, wait_until

__all__ = ["measure"]

STREAMS = 30
TOKENS = 300
STEP_MS = 20.0
LATENCY_CALLS = 200
TARGET_RATIO = 1.5
TARGET_ADDED_MS = 5.0
US_PER_S = 1_000_000
MS_PER_S = 1_000
REPLICA_HOSTS = ("entry-2", "entry-3")


@dataclass(frozen=True, slots=True)
class RelayCost:
    """Processor time per event, in microseconds, and events per chunk.

    `replicas_us_per_event` is the time spent by the hosts that hold replicas.
    """

    us_per_event: float
    replicas_us_per_event: float
    events_per_chunk: float


def measure() -> list[Figure]:
    """Measure an entry host and a bare pass-through proxy in the same run."""
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), HOSTS) as group,
    ):
        group.wait_for_revision(group.change_settings(fleet_settings(), "f", "entry-1"))
        group.add_engine(
            "redacteur-1", "redacteur", "fann", step_ms=STEP_MS, capacity=STREAMS
        )
        group.wait_for_upstreams(1)
        engine = group.known_upstreams("entry-1")[0]["address"]
        port = free_port()
        relay = Process("relay", ["bench.bare_relay", str(port), engine], Path(folder))
        relay.start()
        try:
            wait_until(lambda: _is_listening(port), "the bare relay answers")
            return _measure_all(group, relay, f"127.0.0.1:{port}", engine)
        finally:
            relay.kill()


def _is_listening(port: int) -> bool:
    try:
        httpx.get(f"http://127.0.0.1:{port}/", trust_env=False)
    except httpx.HTTPError:
        return False
    return True


def _measure_all(
    group: Group, relay: Process, relay_address: str, engine: str
) -> list[Figure]:
    entry = group.hosts["entry-1"]
    replica_pids = [group.hosts[node].process.pid for node in REPLICA_HOSTS]
    note = f"{STREAMS} streams of {TOKENS} tokens, {STEP_MS:g} ms a step"
    pid = entry.process.pid
    _measure_streams(pid, [], entry.callers, True)
    bare = _measure_streams(relay.pid, [], relay_address, False)
    recorded = _measure_streams(pid, replica_pids, entry.callers, True)
    unkeyed = _measure_streams(pid, replica_pids, entry.callers, False)
    direct_ms = _first_token_p95_ms(engine, False)
    added_ms = _first_token_p95_ms(entry.callers, True) - direct_ms
    costs = [("bare", bare), ("recorded", recorded), ("unkeyed", unkeyed)]
    figures = []
    for name, cost in costs:
        chunk_note = f"{note}; {cost.events_per_chunk:.2f} events a chunk"
        figures.append(
            Figure(f"relay.{name}_cpu", cost.us_per_event, "us/event", note=chunk_note)
        )
    for name, cost in costs[1:]:
        ratio = cost.us_per_event / bare.us_per_event
        figures.append(
            Figure(f"relay.{name}_ratio", ratio, "x", TARGET_RATIO, note=note)
        )
    replicas_cpu = recorded.replicas_us_per_event
    figures.append(
        Figure(
            "relay.holders_cpu", replicas_cpu, "us/event", note="both holders together"
        )
    )
    calls = f"{LATENCY_CALLS} calls one after the other; direct {direct_ms:.2f} ms"
    figures.append(
        Figure(
            "relay.added_first_token_p95", added_ms, "ms", TARGET_ADDED_MS, note=calls
        )
    )
    return figures


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _measure_streams(
    pid: int, replica_pids: list[int], address: str, has_key: bool
) -> RelayCost:
    before = _cpu_s(pid), sum(map(_cpu_s, replica_pids))
    events, chunks = anyio.run(partial(_run_streams, address, has_key))
    used = _cpu_s(pid) - before[0], sum(map(_cpu_s, replica_pids)) - before[1]
    return RelayCost(
        used[0] * US_PER_S / events, used[1] * US_PER_S / events, events / chunks
    )


async def _run_streams(address: str, has_key: bool) -> tuple[int, int]:
    totals = [0, 0]
    limits = httpx.Limits(max_connections=None)
    async with (
        httpx.AsyncClient(timeout=60, limits=limits, trust_env=False) as client,
        anyio.create_task_group() as tasks,
    ):
        for _ in range(STREAMS):
            tasks.start_soon(_run_stream, client, address, has_key, totals)
    return totals[0], totals[1]


def _request(address: str, has_key: bool, tokens: int) -> dict:
    headers = {"Authorization": f"Bearer {RELEVE_KEY}"}
    if has_key:
        headers["Idempotency-Key"] = uuid.uuid4().hex
    body = {
        "model": "redacteur",
        "prompt": uuid.uuid4().hex,
        "max_tokens": tokens,
        "stream": True,
    }
    url = f"http://{address}/v1/completions"
    return {"method": "POST", "url": url, "json": body, "headers": headers}


async def _run_stream(
    client: httpx.AsyncClient, address: str, has_key: bool, totals: list[int]
) -> None:
    async with client.stream(**_request(address, has_key, TOKENS)) as answer:
        async for chunk in answer.aiter_raw():
            totals[0] += chunk.count(b"data:")
            totals[1] += 1


def _first_token_p95_ms(address: str, has_key: bool) -> float:
    latencies_ms = []
    with httpx.Client(timeout=60, trust_env=False) as client:
        for _ in range(LATENCY_CALLS):
            started = time.perf_counter()
            with client.stream(**_request(address, has_key, 1)) as answer:
                chunks = answer.iter_raw()
                next(chunks)
                latencies_ms.append((time.perf_counter() - started) * MS_PER_S)
                list(chunks)
    return quantiles(latencies_ms, n=20)[-1]
