"""Latency that a relay adds to a direct plain call, and its processor time."""

import os
import tempfile
import time
from pathlib import Path
from statistics import quantiles

import httpx

from bench.figures import Figure
from standins.platform_cluster import RELAYS, Cluster, running_cluster

__all__ = ["measure"]

CALLS = 500
TARGET_ADDED_MS = 5.0
MS_PER_S = 1_000
US_PER_S = 1_000_000


def measure() -> list[Figure]:
    """Measure sequential calls over persistent connections."""
    with (
        tempfile.TemporaryDirectory() as folder,
        running_cluster(Path(folder)) as cluster,
    ):
        relay = RELAYS[0]
        direct_ms = _p95_ms(f"http://127.0.0.1:{cluster.runner_port}/x/1")
        pid = cluster.processes[relay].pid
        before_s = _cpu_s(pid)
        relayed_ms = _p95_ms(
            f"http://{cluster.ip_addresses[relay]}:{cluster.relay_port}/x/1"
        )
        cpu_us = (_cpu_s(pid) - before_s) * US_PER_S / CALLS
        return _figures(cluster, direct_ms, relayed_ms, cpu_us)


def _figures(
    cluster: Cluster, direct_ms: float, relayed_ms: float, cpu_us: float
) -> list[Figure]:
    note = f"{CALLS} calls; direct {direct_ms:.2f} ms; {len(cluster.processes)} hosts"
    added_ms = relayed_ms - direct_ms
    return [
        Figure("cluster.added_p95", added_ms, "ms", TARGET_ADDED_MS, note=note),
        Figure("cluster.relay_cpu", cpu_us, "us/request", note=note),
    ]


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _p95_ms(url: str) -> float:
    latencies_ms = []
    with httpx.Client(trust_env=False, timeout=10) as client:
        for number in range(CALLS):
            headers = {
                "Host": "a.example",
                "Attempt-Id": f"call-{number}-{time.monotonic_ns()}",
                "Authorization": "Token k1",
            }
            started = time.perf_counter()
            client.get(url, headers=headers).raise_for_status()
            latencies_ms.append((time.perf_counter() - started) * MS_PER_S)
    return quantiles(latencies_ms, n=20)[-1]
