"""Counters and histograms per workspace and class, mirrored to statsd."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

__all__ = ["Metrics"]

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)
US_PER_S = 1_000_000
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class _Series:
    """What one histogram or counter is kept for."""

    name: str
    workspace: str
    priority: str


class Metrics:
    """In-process counters and histograms of durations.

    Parameters
    ----------
    statsd : statsd.StatsClient, optional
        Where every observation is mirrored to; a lost packet is no error.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.observe("first_token", 0.012, workspace="releve", priority="field")
    >>> row = metrics.snapshot()["histograms"][0]
    >>> row["workspace"], row["count"]
    ('releve', 1)
    """

    def __init__(self, statsd: StatsClient | None = None):
        self._statsd = statsd
        self._counters: dict[_Series, int] = {}
        self._histograms: dict[_Series, HdrHistogram] = {}

    @classmethod
    def from_config(cls, address: str | None, node: str) -> "Metrics":
        """Build the metrics of one process.

        Parameters
        ----------
        address : str or None
            ``IP:PORT`` of the statsd daemon; None keeps metrics in process.
        node : str
            Id of this process, the prefix of every statsd name.

        Returns
        -------
        Metrics
            An empty set.
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
            How much to add.
        workspace, priority : str
            What the counter is kept for; ``-`` where neither applies.
        """
        series = _Series(name, workspace, priority)
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
            What the histogram is kept for.
        """
        series = _Series(name, workspace, priority)
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[series] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * US_PER_S)))
        if self._statsd is not None:
            self._statsd.timing(_statsd_name(series), seconds * MS_PER_S)

    def snapshot(self) -> dict:
        """Return every counter and histogram as plain data for JSON.

        Returns
        -------
        dict
            ``counters`` and ``histograms``; durations in milliseconds.
        """
        return {
            "counters": [
                {**_labels(series), "value": value}
                for series, value in self._counters.items()
            ],
            "histograms": [
                {
                    **_labels(series),
                    "count": histogram.get_total_count(),
                    **{
                        f"p{percentile:g}_ms": histogram.get_value_at_percentile(
                            percentile
                        )
                        / MS_PER_S
                        for percentile in PERCENTILES
                    },
                }
                for series, histogram in self._histograms.items()
            ],
        }


def _labels(series: _Series) -> dict[str, str]:
    return {
        "name": series.name,
        "workspace": series.workspace,
        "class": series.priority,
    }


def _statsd_name(series: _Series) -> str:
    return f"{series.name}.{series.workspace}.{series.priority}"
