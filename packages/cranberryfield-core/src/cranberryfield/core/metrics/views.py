"""Types of the response to ``GET /metrics.json``."""

import msgspec

__all__ = ["CounterView", "HistogramView", "MetricsView"]


class CounterView(msgspec.Struct):
    """Value of one counter.

    Attributes
    ----------
    name, workspace : str
        Name of the counter and workspace; ``-`` for no workspace.
    priority : str
        Priority class, ``-`` for none; the field is ``class`` in JSON.
    value : int
        Count since the process started.
    """

    name: str
    workspace: str
    priority: str = msgspec.field(name="class")
    value: int


class HistogramView(msgspec.Struct):
    """Counts and percentiles of one histogram of durations.

    Attributes
    ----------
    name, workspace, priority : str
        As for `CounterView`.
    count : int
        Number of observations since the process started.
    p50_ms, p95_ms, p99_ms : float
        Percentiles in milliseconds.
    buckets : dict
        Number of observations by upper end of the bucket in microseconds;
        empty buckets are omitted.
    """

    name: str
    workspace: str
    priority: str = msgspec.field(name="class")
    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    buckets: dict[int, int]


class MetricsView(msgspec.Struct):
    """All counters and histograms of one process."""

    counters: list[CounterView] = msgspec.field(default_factory=list)
    histograms: list[HistogramView] = msgspec.field(default_factory=list)
