"""What ``GET /metrics.json`` answers with."""

import msgspec

__all__ = ["CounterView", "HistogramView", "MetricsView"]


class CounterView(msgspec.Struct):
    """One counter.

    Attributes
    ----------
    name, workspace : str
        What is counted, and for which workspace; ``-`` for none.
    priority : str
        The priority class; ``class`` in JSON.
    value : int
        Its value since the process started.
    """

    name: str
    workspace: str
    priority: str = msgspec.field(name="class")
    value: int


class HistogramView(msgspec.Struct):
    """One histogram of durations.

    Attributes
    ----------
    name, workspace, priority : str
        As for `CounterView`.
    count : int
        Observations since the process started.
    p50_ms, p95_ms, p99_ms : float
        Percentiles in milliseconds.
    buckets : dict
        Observations by the upper end of their bucket in microseconds; empty
        buckets are left out.
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
