"""What a relay of a cluster adds to a plain call, beside a direct one."""

import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import quantiles

import httpx

from bench.figures import Figure
from standins.platform_cluster import RELAYS, Cluster, running_cluster
from standins.processes import Process, free_port, wait_until

__all__ = ["measure"]

CALLS = 500
MAX_ADDED_MS = 5.0
START_S = 10.0
MS_PER_S = 1_000
US_PER_S = 1_000_000


def measure() -> list[Figure]:
    """Measure calls one after the other, over kept connections."""
    with (
        tempfile.TemporaryDirectory() as folder,
        running_cluster(Path(folder)) as cluster,
    ):
        relay = RELAYS[0]
        direct_ms = _p95_ms(f"http://127.0.0.1:{cluster.runner_port}/x/1")
        url = f"http://{cluster.ip[relay]}:{cluster.front}/x/1"
        relayed = _measure_relay(url, cluster.processes[relay].pid)
        port = free_port()
        script = ["bench.bare_cluster_relay", str(port), str(cluster.runner_port)]
        bare = Process("bare", script, Path(folder))
        bare.start()
        url = f"http://127.0.0.1:{port}/x/1"
        try:
            wait_until(lambda: _answers(url), "the bare relay answers", START_S)
            plain = _measure_relay(url, bare.pid)
        finally:
            bare.kill()
        return _figures(cluster, direct_ms, relayed, plain)


@dataclass(frozen=True, slots=True)
class _Relayed:
    """What calls through a relay took, and what they cost it."""

    p95_ms: float
    cpu_us: float


def _measure_relay(url: str, pid: int) -> _Relayed:
    before_s = _cpu_s(pid)
    p95_ms = _p95_ms(url)
    return _Relayed(p95_ms, (_cpu_s(pid) - before_s) * US_PER_S / CALLS)


def _answers(url: str) -> bool:
    try:
        return httpx.get(url, trust_env=False).is_success
    except httpx.TransportError:
        return False


def _figures(
    cluster: Cluster, direct_ms: float, relayed: _Relayed, bare: _Relayed
) -> list[Figure]:
    note = f"{CALLS} calls; direct {direct_ms:.2f} ms; {len(cluster.processes)} hosts"
    added, bare_added = relayed.p95_ms - direct_ms, bare.p95_ms - direct_ms
    ratio = relayed.cpu_us / max(bare.cpu_us, 1.0)
    return [
        Figure("cluster.added_p95", added, "ms", MAX_ADDED_MS, note=note),
        Figure("cluster.bare_added_p95", bare_added, "ms", note=note),
        Figure("cluster.relay_cpu", relayed.cpu_us, "us/request", note=note),
        Figure("cluster.bare_cpu", bare.cpu_us, "us/request", note=note),
        Figure("cluster.cpu_ratio", ratio, "x bare", note=note),
    ]


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _p95_ms(url: str) -> float:
    taken_ms = []
    with httpx.Client(trust_env=False, timeout=10) as client:
        for number in range(CALLS):
            headers = {
                "Host": "a.example",
                "Attempt-Id": f"call-{number}-{time.monotonic_ns()}",
                "Authorization": "Token k1",
            }
            started = time.perf_counter()
            client.get(url, headers=headers).raise_for_status()
            taken_ms.append((time.perf_counter() - started) * MS_PER_S)
    return quantiles(taken_ms, n=20)[-1]
