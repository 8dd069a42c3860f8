"""Steps that hold the event loop, and what is logged of them."""

import pytest
from structlog.testing import capture_logs

from cranberryfield.core.loop_monitor import (
    HELD_S,
    SLOW_STEP_S,
    LoopMonitor,
    timed_step,
)
from cranberryfield.core.metrics import Metrics


def run_step(name, duration_s):
    readings = iter([5.0, 5.0 + duration_s])
    with timed_step(name, lambda: next(readings)):
        pass


@pytest.mark.parametrize(
    ("duration_s", "logged"),
    [(0.0, []), (0.9 * SLOW_STEP_S, []), (1.5 * SLOW_STEP_S, ["plan"])],
)
def test_slow_steps_are_logged(duration_s, logged):
    with capture_logs() as lines:
        run_step("plan", duration_s)
    assert [line["step"] for line in lines] == logged


@pytest.mark.parametrize(
    ("steps", "lateness_s", "named"),
    [
        ([("plan", 0.3), ("decode", 0.1)], 2 * HELD_S, ["plan"]),
        ([], 2 * HELD_S, [None]),
        ([("plan", 0.3)], 0.5 * HELD_S, []),
    ],
)
def test_a_held_loop_is_logged_with_its_slowest_step(steps, lateness_s, named):
    metrics = Metrics()
    monitor = LoopMonitor(metrics)
    monitor.record(0.0)
    for name, duration_s in steps:
        run_step(name, duration_s)
    with capture_logs() as lines:
        monitor.record(lateness_s)
    assert [line["slowest_step"] for line in lines] == named
    (histogram,) = metrics.snapshot().histograms
    assert (histogram.name, histogram.count) == ("loop_lateness", 2)


def test_a_step_is_timed_although_it_fails():
    with capture_logs() as lines, pytest.raises(ValueError, match="fault"):
        readings = iter([0.0, 1.0])
        with timed_step("decode", lambda: next(readings)):
            raise ValueError("fault")
    assert [line["step"] for line in lines] == ["decode"]
