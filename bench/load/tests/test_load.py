from collections import Counter

import pytest

from bench.load.arrivals import draw_arrivals
from bench.load.generator import RequestResult
from bench.load.results import recomputed_by_cause, summarise
from bench.load.scenario import SCENARIOS, LoadKind, Scenario
from standins.journal import JournalEntry

FILES = sorted(SCENARIOS.glob("*.yaml"))


@pytest.mark.parametrize("path", FILES, ids=[path.stem for path in FILES])
def test_scenario_has_the_fleet_size_and_reproducible_arrivals(path):
    scenario = Scenario.from_file(path)
    assert scenario.name == path.stem
    assert sum(service.runners for service in scenario.services) in (10, 13)
    assert (len(scenario.data_centres), len(scenario.workspaces)) == (4, 5)
    assert draw_arrivals(scenario) == draw_arrivals(scenario)


def scenario(kind="steady"):
    return Scenario.from_file(SCENARIOS / f"releve-{kind}-small.yaml")


def test_overload_doubles_arrivals_in_its_second_half():
    overload = scenario("overload")
    half_s = overload.duration_s / 2
    assert overload.kind is LoadKind.OVERLOAD
    late = Counter(arrival.at_s >= half_s for arrival in draw_arrivals(overload))
    assert 1.6 < late[True] / late[False] < 2.4


JOURNALS = [
    ("reclaim", [("started", "a"), ("leaving", "a"), ("resumed", "b")]),
    ("crash", [("started", "a"), ("crashed", "a"), ("resumed", "b")]),
    ("other", [("started", "a"), ("resumed", "b")]),
]


@pytest.mark.parametrize(("cause", "rows"), JOURNALS, ids=[row[0] for row in JOURNALS])
def test_recomputed_tokens_are_counted_by_cause(cause, rows):
    journal = [
        JournalEntry(
            event, upstream, 1, "r", recomputed_tokens=7 * (event == "resumed")
        )
        for event, upstream in rows
    ]
    assert recomputed_by_cause(journal) == {cause: 7}


def test_latency_is_measured_from_the_intended_arrival():
    steady = scenario()
    first, second = draw_arrivals(steady)[:2]
    completed, refused = RequestResult(first), RequestResult(second)
    for token in range(3):
        completed.record_token(first.at_s + 0.1 + token * 0.02)
    completed.completed_at_s = first.at_s + 0.2
    refused.refusals["queue_full"] += 2
    result = summarise(steady, "system", [completed, refused], [], 36.0)
    assert (result.requests, result.whole) == (2, 1)
    assert result.first_token.p50_ms == pytest.approx(100)
    assert result.token_gap.p95_ms == pytest.approx(20)
    assert result.refusals == {"queue_full": 2}
    assert result.cost == pytest.approx((13 + 6 * 0.05) * 36 / 3600)
    assert result.goodput_per_s == pytest.approx(1 / steady.duration_s)
