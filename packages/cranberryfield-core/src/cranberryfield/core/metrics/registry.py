"""Counters and histograms by workspace and priority class, mirrored to statsd."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from cranberryfield.core.metrics.counts import percentile_of_counts
from cranberryfield.core.metrics.views import (
    CounterView,
    HistogramView,
    MetricsView,
)

__all__ = ["Metrics"]

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4
US_PER_S = 1_000_000
US_PER_MS = 1_000
MS_PER_S = 1_000
#: Maximum number of counters, and of histograms, to bound their memory. Further
#: series of a name are counted together under `OVERFLOW_LABEL`.
MAX_SERIES = 512
OVERFLOW_LABEL = "(others)"


@dataclass(frozen=True, slots=True)
class _SeriesKey:
    """Key of a counter or histogram."""

    name: str
    workspace: str
    priority: str


class Metrics:
    """In-process counters and histograms of durations.

    Parameters
    ----------
    statsd : statsd.StatsClient, optional
        Client to which every observation is also sent; lost packets are ignored.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.observe("first_token", 0.012, workspace="releve", priority="field")
    >>> row = metrics.snapshot().histograms[0]
    >>> row.workspace, row.count
    ('releve', 1)
    """

    def __init__(self, statsd: StatsClient | None = None):
        self._statsd = statsd
        self._counters: dict[_SeriesKey, int] = {}
        self._histograms: dict[_SeriesKey, HdrHistogram] = {}

    @classmethod
    def from_config(cls, address: str | None, node: str) -> "Metrics":
        """Build the metrics of one process.

        Parameters
        ----------
        address : str or None
            ``IP:PORT`` of the statsd daemon; None to send nothing to statsd.
        node : str
            Id of this process, part of the prefix of every statsd name.

        Returns
        -------
        Metrics
            Metrics without any observations.
        """
        if address is None:
            return cls()
        host, _, port = address.rpartition(":")
        return cls(StatsClient(host, int(port), prefix=f"cranberryfield.{node}"))

    def count(
        self, name: str, by: int = 1, *, workspace: str = "-", priority: str = "-"
    ) -> None:
        """Add `by` to a counter.

        Parameters
        ----------
        name : str
            Name of the counter.
        by : int
            Amount to add.
        workspace, priority : str
            Labels of the counter; ``-`` for a label that does not apply.
        """
        series = _limit_series(self._counters, _SeriesKey(name, workspace, priority))
        self._counters[series] = self._counters.get(series, 0) + by
        if self._statsd is not None:
            self._statsd.incr(_statsd_name(series), by)

    def observe(
        self, name: str, seconds: float, *, workspace: str = "-", priority: str = "-"
    ) -> None:
        """Record one duration.

        Parameters
        ----------
        name : str
            Name of the histogram.
        seconds : float
            The duration in seconds.
        workspace, priority : str
            Labels of the histogram; ``-`` for a label that does not apply.
        """
        series = _limit_series(self._histograms, _SeriesKey(name, workspace, priority))
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS, COUNTER_BYTES
            )
            self._histograms[series] = histogram
        duration_us = int(seconds * US_PER_S)
        histogram.record_value(min(HIGHEST_US, max(LOWEST_US, duration_us)))
        if self._statsd is not None:
            self._statsd.timing(_statsd_name(series), seconds * MS_PER_S)

    def snapshot(self) -> MetricsView:
        """Return every counter and histogram.

        Returns
        -------
        MetricsView
            Body of the response to ``GET /metrics.json``.
        """
        return MetricsView(
            [
                CounterView(series.name, series.workspace, series.priority, value)
                for series, value in self._counters.items()
            ],
            [
                _histogram_view(series, histogram)
                for series, histogram in self._histograms.items()
            ],
        )


def _limit_series(existing: dict[_SeriesKey, object], series: _SeriesKey) -> _SeriesKey:
    if series in existing or len(existing) < MAX_SERIES:
        return series
    return _SeriesKey(series.name, OVERFLOW_LABEL, OVERFLOW_LABEL)


def _histogram_view(series: _SeriesKey, histogram: HdrHistogram) -> HistogramView:
    buckets = {
        item.value_iterated_to: item.count_added_in_this_iter_step
        for item in histogram.get_recorded_iterator()
    }
    p50, p95, p99 = (
        percentile_of_counts(buckets, percentile) / US_PER_MS
        for percentile in (50, 95, 99)
    )
    return HistogramView(
        series.name,
        series.workspace,
        series.priority,
        histogram.get_total_count(),
        p50,
        p95,
        p99,
        buckets,
    )


def _statsd_name(series: _SeriesKey) -> str:
    return f"{series.name}.{series.workspace}.{series.priority}"
