"""Merging of the histograms of all nodes, over a time window or since start."""

import msgspec

from cranberryfield.core.metrics.counts import (
    join_counts,
    percentile_of_counts,
    subtract_counts,
)
from cranberryfield.core.metrics.views import HistogramView, MetricsView

__all__ = ["TopRow", "join_histograms"]

US_PER_MS = 1000

#: Metrics of several nodes by node id.
Readings = dict[str, MetricsView]


class TopRow(msgspec.Struct):
    """A histogram merged over all nodes.

    Attributes
    ----------
    histogram, workspace, priority : str
        Name of the histogram, its workspace and its priority class.
    count : int
        Number of observations.
    per_s : float or None
        Observations per second in the window; None without a window.
    p50_ms, p95_ms, p99_ms : float
        Percentiles in milliseconds.
    """

    histogram: str
    workspace: str
    priority: str = msgspec.field(name="class")
    count: int
    per_s: float | None
    p50_ms: float
    p95_ms: float
    p99_ms: float


_Name = tuple[str, str, str]


def join_histograms(
    later: Readings, earlier: Readings | None, window_s: float | None
) -> list[TopRow]:
    """Merge the histograms of all nodes.

    Parameters
    ----------
    later : dict
        Metrics by node at the end of the window.
    earlier : dict or None
        Metrics by node at the start of the window; None to include all
        observations since the nodes started.
    window_s : float or None
        Length of the window in seconds.

    Returns
    -------
    list of TopRow
        One row per histogram that has observations in the window.
    """
    counts: dict[_Name, list[dict[int, int]]] = {}
    for node, reading in later.items():
        before = _by_name(earlier.get(node) if earlier else None)
        for name, histogram in _by_name(reading).items():
            base = before[name].buckets if name in before else {}
            counts.setdefault(name, []).append(subtract_counts(histogram.buckets, base))
    rows = []
    for name, histograms in sorted(counts.items()):
        joined = join_counts(histograms)
        total = sum(joined.values())
        if total:
            percentiles = (
                percentile_of_counts(joined, percentile) / US_PER_MS
                for percentile in (50, 95, 99)
            )
            per_s = round(total / window_s, 3) if window_s else None
            rows.append(TopRow(*name, total, per_s, *percentiles))
    return rows


def _by_name(reading: MetricsView | None) -> dict[_Name, HistogramView]:
    if reading is None:
        return {}
    return {(one.name, one.workspace, one.priority): one for one in reading.histograms}
