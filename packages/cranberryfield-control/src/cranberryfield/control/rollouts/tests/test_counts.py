"""Sums over relays that restart, repeat themselves or report nonsense."""

import pytest

from cranberryfield.control.rollouts import counts as counts_module
from cranberryfield.control.rollouts.counts import CollectedCounts, record_counts
from cranberryfield.core.messages.rollouts import RolloutCounts, VersionCounts


def cell(attempts, failures, durations, is_target=True, route="r", place="d"):
    return VersionCounts(route, place, is_target, attempts, failures, durations)


def report(arrivals, target_attempts, *cells):
    return RolloutCounts(1, arrivals, target_attempts, 0, cells)


def record(collected, counts, node="relay", incarnation=1, now=1.0, share=0.1):
    return record_counts(collected, node, incarnation, 1, counts, share, now)


#: Reports of one relay by incarnation, and the sums. A report that is repeated or late
#: must not count twice, and the counts of an ended start must stay.
REPORTS = {
    "grows": ([(1, 10, 1), (1, 30, 4)], (30, 4)),
    "repeated": ([(1, 10, 1), (1, 10, 1)], (10, 1)),
    "restarted": ([(1, 10, 3), (2, 5, 1)], (15, 4)),
    "late from before a restart": ([(2, 5, 1), (1, 10, 3)], (5, 1)),
    "decreasing": ([(1, 10, 3), (1, 9, 3)], (10, 3)),
    "negative": ([(1, -10, 3)], (0, 0)),
    "huge": ([(1, 1 << 50, 3)], (0, 0)),
}


@pytest.mark.parametrize(("reports", "sums"), REPORTS.values(), ids=REPORTS.keys())
def test_sums_over_reports_of_a_relay(reports, sums):
    collected = CollectedCounts()
    for number, (incarnation, arrivals, attempts) in enumerate(reports):
        record(collected, report(arrivals, attempts), "relay", incarnation, number)
    assert (collected.arrivals, collected.target_attempts) == sums
    assert collected.earned == pytest.approx(0.1 * sums[0])


#: Cells of a second report that are ignored with all of the report.
BAD_CELLS = [
    cell(4, 1, (0, 2)),
    cell(6, 0, (0, 3)),
    cell(6, 1, (0, 1)),
    cell(6, 1, (0,)),
    cell(6, -1, (0, 3)),
    cell(6, 1, (-1, 3)),
    cell(6, 1, (0,) * 41),
    cell(6, 1, (0, 3), route="r" * 201),
]


@pytest.mark.parametrize("second", BAD_CELLS)
def test_an_impossible_report_changes_nothing(second):
    collected = CollectedCounts()
    first = cell(5, 1, (0, 3))
    assert record(collected, report(10, 5, first)) is None
    assert record(collected, report(12, 6, second)) is not None
    assert collected.arrivals == 10
    [(old, new)] = collected.take_slice().values()
    assert (new.attempts, new.failures, new.durations[:2]) == (5, 1, [0, 3])
    assert old.attempts == 0


def test_a_slice_has_what_was_counted_since_the_last_one():
    collected = CollectedCounts()
    record(collected, report(10, 5, cell(5, 1, (0, 3)), cell(9, 0, (9,), False)))
    collected.take_slice()
    record(collected, report(20, 7, cell(7, 1, (1, 4)), cell(9, 0, (9,), False)))
    record(collected, report(5, 1, cell(1, 1, ())), "another relay")
    [(old, new)] = collected.take_slice().values()
    assert (new.attempts, new.failures, new.durations[:2]) == (3, 1, [1, 1])
    assert old.attempts == 0


def test_the_number_of_relays_and_routes_is_bounded(monkeypatch):
    monkeypatch.setattr(counts_module, "MAX_HOSTS", 1)
    monkeypatch.setattr(counts_module, "MAX_CELLS_PER_HOST", 1)
    collected = CollectedCounts()
    two = report(1, 0, cell(1, 0, ()), cell(1, 0, (), route="s"))
    assert record(collected, two) == "too many routes"
    assert record(collected, report(1, 0)) is None
    assert record(collected, report(1, 0), "another relay") == "too many relays report"


def test_attempts_on_earlier_grants_are_expected_of_silent_relays():
    collected = CollectedCounts()
    for number in range(21):
        record(collected, report(number * 10, 0), now=0.5 * number)
    assert collected.rate_per_s() == pytest.approx(20.0, rel=0.05)
    assert collected.unreported(0.1, 3.0, 11.0) == pytest.approx(2.0, rel=0.05)
    assert collected.unreported(0.1, 3.0, 60.0) == pytest.approx(6.0, rel=0.05)
