"""Merging of the histograms of all nodes, over a time window or since start."""

import msgspec

from cranberryfield.core.metrics.counts import (
    merge_counts,
    percentile_of_counts,
    subtract_counts,
)
from cranberryfield.core.metrics.views import HistogramView, MetricsView

__all__ = ["HistogramRow", "merge_histograms"]

US_PER_MS = 1000

#: Metrics of several nodes by node id.
MetricsByNode = dict[str, MetricsView]


class HistogramRow(msgspec.Struct):
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


_HistogramKey = tuple[str, str, str]


def merge_histograms(
    end_metrics: MetricsByNode,
    start_metrics: MetricsByNode | None,
    window_s: float | None,
) -> list[HistogramRow]:
    """Merge the histograms of all nodes.

    Parameters
    ----------
    end_metrics : dict
        Metrics by node at the end of the window.
    start_metrics : dict or None
        Metrics by node at the start of the window; None to include all
        observations since the nodes started.
    window_s : float or None
        Length of the window in seconds.

    Returns
    -------
    list of HistogramRow
        One row per histogram that has observations in the window.
    """
    counts_by_key: dict[_HistogramKey, list[dict[int, int]]] = {}
    for node, metrics in end_metrics.items():
        start_histograms = _histograms_by_key(
            start_metrics.get(node) if start_metrics else None
        )
        for key, histogram in _histograms_by_key(metrics).items():
            start_buckets = (
                start_histograms[key].buckets if key in start_histograms else {}
            )
            counts_by_key.setdefault(key, []).append(
                subtract_counts(histogram.buckets, start_buckets)
            )
    rows = []
    for key, histograms in sorted(counts_by_key.items()):
        merged = merge_counts(histograms)
        total = sum(merged.values())
        if total:
            percentiles = (
                percentile_of_counts(merged, percentile) / US_PER_MS
                for percentile in (50, 95, 99)
            )
            per_s = round(total / window_s, 3) if window_s else None
            rows.append(HistogramRow(*key, total, per_s, *percentiles))
    return rows


def _histograms_by_key(
    metrics: MetricsView | None,
) -> dict[_HistogramKey, HistogramView]:
    if metrics is None:
        return {}
    return {
        (histogram.name, histogram.workspace, histogram.priority): histogram
        for histogram in metrics.histograms
    }
