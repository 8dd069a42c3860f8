"""Export of counters and histograms in the Prometheus text format."""

from collections import defaultdict
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from cranberryfield.core.metrics.registry import Metrics
from cranberryfield.core.metrics.views import CounterView, HistogramView, MetricsView

__all__ = ["render_metrics"]

PREFIX = "cranberryfield_"
LABELS = ("workspace", "class")
US_PER_S = 1_000_000
#: Upper bounds of the exported buckets, in seconds; the histograms themselves
#: have finer buckets.
BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class _Collector:
    """Prometheus collector for a snapshot of the metrics."""

    def __init__(self, view: MetricsView):
        self._view = view

    def collect(self) -> Iterator[Metric]:
        """Return all metric families."""
        counters: dict[str, list[CounterView]] = defaultdict(list)
        for counter in self._view.counters:
            counters[counter.name].append(counter)
        histograms: dict[str, list[HistogramView]] = defaultdict(list)
        for histogram in self._view.histograms:
            histograms[histogram.name].append(histogram)
        for name, rows in sorted(counters.items()):
            family = CounterMetricFamily(f"{PREFIX}{name}", name, labels=LABELS)
            for row in rows:
                family.add_metric((row.workspace, row.priority), row.value)
            yield family
        for name, rows in sorted(histograms.items()):
            full_name = f"{PREFIX}{name}_seconds"
            family = HistogramMetricFamily(full_name, name, labels=LABELS)
            for row in rows:
                labels = (row.workspace, row.priority)
                family.add_metric(labels, _cumulative_counts(row), _sum_s(row))
            yield family


def _cumulative_counts(row: HistogramView) -> list[tuple[str, int]]:
    counts = [
        sum(n for bound_us, n in row.buckets.items() if bound_us <= bound_s * US_PER_S)
        for bound_s in BUCKET_BOUNDS_S
    ]
    pairs = zip(map(str, BUCKET_BOUNDS_S), counts, strict=True)
    return [*pairs, ("+Inf", row.count)]


def _sum_s(row: HistogramView) -> float:
    """Return the sum of all observations, each at its bucket's upper end."""
    return sum(bound_us * n for bound_us, n in row.buckets.items()) / US_PER_S


def render_metrics(metrics: Metrics) -> bytes:
    """Return all counters and histograms as text.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process.

    Returns
    -------
    bytes
        Metrics in version 0.0.4 of the text format.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count("refusals", workspace="notary", priority="0")
    >>> print(render_metrics(metrics).decode().splitlines()[2])
    cranberryfield_refusals_total{class="0",workspace="notary"} 1.0
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics.snapshot()))
    return generate_latest(registry)
