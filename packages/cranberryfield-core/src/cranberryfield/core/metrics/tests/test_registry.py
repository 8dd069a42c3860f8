import msgspec
import pytest

from cranberryfield.core.metrics import Metrics
from cranberryfield.core.metrics.counts import percentile_of_counts, subtract_counts
from cranberryfield.core.metrics.registry import MAX_SERIES, OVERFLOW_LABEL
from cranberryfield.core.metrics.views import MetricsView


@pytest.mark.parametrize(
    ("later", "earlier", "expected"),
    [
        ({}, {}, {}),
        ({10: 5}, {}, {10: 5}),
        ({10: 5}, {10: 5}, {}),
        ({10: 5, 20: 2}, {10: 3}, {10: 2, 20: 2}),
        ({10: 1}, {10: 3}, {10: 1}),
        ({20: 9}, {10: 3}, {20: 9}),
    ],
    ids=["none", "new", "still", "window", "restarted", "restarted elsewhere"],
)
def test_subtract_counts(later, earlier, expected):
    assert subtract_counts(later, earlier) == expected


@pytest.mark.parametrize(
    ("percentile", "expected"), [(0, 10), (50, 10), (51, 20), (100, 30)]
)
def test_percentile_is_the_upper_end_of_its_bucket(percentile, expected):
    assert percentile_of_counts({10: 50, 20: 40, 30: 10}, percentile) == expected


def test_percentile_without_observations_is_zero():
    assert percentile_of_counts({}, 95) == 0


def test_json_snapshot_contains_observations():
    metrics = Metrics()
    for seconds in (0.0, 0.010, 7200.0):
        metrics.observe("request", seconds, workspace="releve", priority="field")
    metrics.count("answered", 3, workspace="releve", priority="field")
    text = msgspec.json.encode(metrics.snapshot())
    view = msgspec.json.decode(text, type=MetricsView)
    (histogram,) = view.histograms
    assert sum(histogram.buckets.values()) == histogram.count == 3
    assert histogram.p50_ms == pytest.approx(10, rel=0.01)
    assert (view.counters[0].priority, view.counters[0].value) == ("field", 3)
    assert b'"class":"field"' in text


def test_series_beyond_the_limit_are_merged():
    metrics = Metrics()
    for number in range(MAX_SERIES + 20):
        metrics.observe("request", 0.1, workspace=f"w-{number}")
        metrics.count("answered", workspace=f"w-{number}")
    view = metrics.snapshot()
    assert len(view.histograms) == len(view.counters) == MAX_SERIES + 1
    assert view.histograms[-1].workspace == OVERFLOW_LABEL
    assert view.histograms[-1].count == view.counters[-1].value == 20
