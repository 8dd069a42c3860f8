"""Joins the histograms of all nodes, over a window or since their start."""

import msgspec

from cranberryfield.core.metrics.counts import (
    merge_counts,
    percentile_of_counts,
    subtract_counts,
)
from cranberryfield.core.metrics.views import HistogramView, MetricsView

__all__ = ["TopRow", "join_histograms"]

US_PER_MS = 1000

#: Readings of several nodes, by node.
Readings = dict[str, MetricsView]


class TopRow(msgspec.Struct):
    """One histogram over all nodes.

    Attributes
    ----------
    histogram, workspace, priority : str
        What was observed, for which workspace and class.
    count : int
        Observations.
    per_s : float or None
        Observations a second, over a window.
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
    """Join the readings of all nodes.

    Parameters
    ----------
    later : dict
        Readings by node.
    earlier : dict or None
        Readings from the window's beginning; None for all since the start.
    window_s : float or None
        Length of the window in seconds.

    Returns
    -------
    list of TopRow
        One for each histogram with any observation in the window.
    """
    counts: dict[_Name, list[dict[int, int]]] = {}
    for node, reading in later.items():
        before = _by_name(earlier.get(node) if earlier else None)
        for name, histogram in _by_name(reading).items():
            base = before[name].buckets if name in before else {}
            counts.setdefault(name, []).append(subtract_counts(histogram.buckets, base))
    rows = []
    for name, histograms in sorted(counts.items()):
        joined = merge_counts(histograms)
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
