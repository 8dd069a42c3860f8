"""Processor time and latency of ordinary requests at a relay."""

import os
import tempfile
import time
from pathlib import Path
from statistics import quantiles

import httpx

from bench.figures import Figure
from standins.platform_cluster import RELAYS, Cluster, running_cluster

__all__ = ["measure"]

REQUESTS = 1_500
#: Requests before the measurement.
WARM_UP = 200
LARGE_BODY = b"b" * (1 << 20)
LARGE_REQUESTS = 100
OK = 200
US_PER_S = 1_000_000
MS_PER_S = 1_000


def measure() -> list[Figure]:
    """Measure requests on a kept connection, on new ones, and with large bodies."""
    figures = []
    with (
        tempfile.TemporaryDirectory() as folder,
        running_cluster(Path(folder)) as cluster,
        httpx.Client(trust_env=False, timeout=10) as kept,
    ):
        _send(cluster, WARM_UP, client=kept)
        for name, count, options in (
            ("kept connection", REQUESTS, {"client": kept}),
            ("new connections", REQUESTS, {}),
            ("body of 1 MiB", LARGE_REQUESTS, {"client": kept, "body": LARGE_BODY}),
        ):
            cpu_s, latencies_s = _send(cluster, count, **options)
            percentiles = quantiles(latencies_s, n=100)
            figures += [
                Figure(f"{name}: processor time", cpu_s / count * US_PER_S, "us"),
                Figure(f"{name}: latency, median", percentiles[49] * MS_PER_S, "ms"),
                Figure(f"{name}: latency, 99th", percentiles[98] * MS_PER_S, "ms"),
            ]
    return figures


def _send(cluster: Cluster, count: int, **options) -> tuple[float, list[float]]:
    """Send requests in sequence.

    Returns
    -------
    cpu_s : float
        Processor time of the relay, in seconds.
    latencies_s : list of float
        Latency of each request, in seconds.
    """
    relay = RELAYS[0]
    pid = cluster.processes[relay].pid
    before_s, latencies_s = _processor_time_s(pid), []
    for _ in range(count):
        sent_at = time.perf_counter()
        response = cluster.send_request(relay, **options)
        latencies_s.append(time.perf_counter() - sent_at)
        assert response is not None and response.status_code == OK
    return _processor_time_s(pid) - before_s, latencies_s


def _processor_time_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")
