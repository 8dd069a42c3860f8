"""Aggregation of reports on the leader, with restarted and silent hosts."""

import sys
from random import Random

import pytest

from cranberryfield.core.messages.reports import (
    HostReport,
    LoadShare,
    ServiceDemand,
    UsageShare,
)
from cranberryfield.entry.relay.demand import (
    DemandSection,
    current_demand,
    record_arrival,
    record_end,
    record_prefill,
    record_stream,
)
from cranberryfield.entry.relay.loads import InFlightAttempt, LoadSection
from cranberryfield.entry.relay.usage import UsageSection
from cranberryfield.entry.reports.collector import (
    REPORT_TTL_S,
    CollectedReports,
    forget_silent_hosts,
    loads_of_other_hosts,
    record_report,
)
from cranberryfield.entry.reports.reporter import (
    REPORT_INTERVAL_S,
    REST_AFTER_S,
    REST_INTERVAL_S,
    HostReporter,
    unreported_usage,
)


def report(incarnation=1, loads=(), usage=(), demand=()):
    return HostReport(incarnation, loads, usage, demand)


def test_usage_of_a_window_is_summed_over_hosts_and_incarnations():
    reports = CollectedReports()
    for node, incarnation, count in [
        ("a", 1, 2),
        ("a", 1, 5),
        ("b", 1, 3),
        ("a", 2, 1),
    ]:
        share = UsageShare(7, "notary", count)
        record_report(reports, node, report(incarnation, usage=(share,)), 10.0)
    assert reports.usage_in_window(7) == {"notary": 9}
    assert reports.usage_in_window(8) == {}


@pytest.mark.parametrize(("age_s", "expected"), [(0.0, 4), (REPORT_TTL_S, 0)])
def test_loads_of_other_hosts_exclude_the_reporter_and_silent_hosts(age_s, expected):
    reports = CollectedReports()
    for node, runs in (("a", 4), ("b", 2)):
        loads = (LoadShare("u1", runs, 10 * runs),)
        record_report(reports, node, report(loads=loads), 10.0)
    found = loads_of_other_hosts(reports, "b", 10.0 + age_s)
    assert sum(one.in_flight for one in found) == expected


# Guards against loads that are counted twice or for ever as hosts restart, fall silent
# and come back.
@pytest.mark.parametrize("seed", range(5))
def test_running_totals_are_the_sums_of_the_latest_reports(seed):
    rng = Random(seed)
    reports, latest, now = CollectedReports(), {}, 0.0
    for _ in range(400):
        now += rng.expovariate(8.0)
        node = f"host-{rng.randrange(12)}"
        loads = tuple(
            LoadShare(f"u{one}", rng.randrange(1, 5), rng.randrange(0, 900))
            for one in rng.sample(range(6), rng.randrange(4))
        )
        record_report(reports, node, report(rng.randrange(3), loads), now)
        latest[node] = now, loads
        asker = f"host-{rng.randrange(12)}"
        expected = {}
        for other, (received_at, shares) in latest.items():
            if other != asker and now - received_at < REPORT_TTL_S:
                for share in shares:
                    runs, tokens = expected.get(share.upstream, (0, 0))
                    expected[share.upstream] = (
                        runs + share.in_flight,
                        tokens + share.prefill_tokens,
                    )
        found = loads_of_other_hosts(reports, asker, now)
        assert {
            one.upstream: (one.in_flight, one.prefill_tokens) for one in found
        } == expected
        assert len(reports.hosts) == sum(
            now - received_at < REPORT_TTL_S for received_at, _ in latest.values()
        )
    forget_silent_hosts(reports, now + REPORT_TTL_S)
    assert not reports.totals


def test_a_new_term_begins_without_reports():
    reports = CollectedReports()
    share = UsageShare(7, "notary", 2)
    loads = (LoadShare("u1", 1, 10),)
    record_report(reports, "a", report(loads=loads, usage=(share,)), 10.0)
    reports.clear()
    assert loads_of_other_hosts(reports, "b", 10.0) == ()
    assert reports.usage_in_window(7) == {}


@pytest.mark.parametrize("hosts", [10, 360])
def test_cost_of_a_report_does_not_depend_on_the_number_of_hosts(hosts):
    reports = CollectedReports()
    loads = (LoadShare("u1", 1, 10), LoadShare("u2", 1, 10))
    for number in range(hosts):
        record_report(reports, f"host-{number}", report(loads=loads), 10.0)
    steps = 0

    def count_steps(frame, event, arg):
        nonlocal steps
        steps += event == "line"
        return count_steps

    tracing = sys.gettrace()
    sys.settrace(count_steps)
    try:
        record_report(reports, "host-1", report(loads=loads), 10.1)
        loads_of_other_hosts(reports, "host-1", 10.1)
    finally:
        sys.settrace(tracing)
    assert steps < 100


def test_demand_is_summed_over_hosts():
    reports = CollectedReports()
    for node in "ab":
        demand = (ServiceDemand("drafts", 100.0, 2.0),)
        record_report(reports, node, report(demand=demand), 10.0)
    assert reports.demand_for("drafts", 10.5).prefill_tokens_per_s == 200.0
    assert reports.demand_for("other", 10.5).in_flight == 0


def test_only_unacknowledged_counts_are_sent():
    section = UsageSection(5.0, lambda: 0.0, {1: {"a": 3, "b": 1}})
    assert unreported_usage(section, {(1, "a"): 3}) == (UsageShare(1, "b", 1),)


def test_demand_follows_a_burst_and_its_end():
    section = DemandSection()
    for step in range(100):
        record_arrival(section, "drafts", step * 0.1)
        record_prefill(section, "drafts", 500, step * 0.1)
    (busy,) = current_demand(section, 10.0)
    assert 4_000 < busy.prefill_tokens_per_s < 6_000
    assert busy.in_flight > 50
    for _ in range(100):
        record_end(section, "drafts", 10.0)
    (calm,) = current_demand(section, 30.0)
    assert calm.prefill_tokens_per_s < 100
    assert calm.in_flight < 1


def test_paused_streams_are_reported_with_the_demand():
    section = DemandSection()
    for step in range(100):
        now = step * 0.1
        record_arrival(section, "drafts", now)
        record_stream(section, "drafts", step % 4 == 0, now)
        record_end(section, "drafts", now)
    (reported,) = current_demand(section, 10.0)
    assert reported.streams_per_s == pytest.approx(10.0, rel=0.1)
    assert reported.paused_per_s == pytest.approx(2.5, rel=0.3)


# Time since the last request and attempts in progress, and the interval of reports.
@pytest.mark.parametrize(
    ("idle_s", "attempts", "interval_s"),
    [
        (0.0, 0, REPORT_INTERVAL_S),
        (REST_AFTER_S, 0, REPORT_INTERVAL_S),
        (REST_AFTER_S + 0.1, 0, REST_INTERVAL_S),
        (60.0, 1, REPORT_INTERVAL_S),
    ],
)
def test_a_host_at_rest_reports_less_often(idle_s, attempts, interval_s):
    loads, demand = LoadSection(), DemandSection()
    record_arrival(demand, "drafts", 100.0)
    for number in range(attempts):
        loads.load_of("u1").own_attempts[str(number)] = InFlightAttempt(1, 1)
    reporter = HostReporter(
        None, lambda: None, loads, demand, None, None, lambda: 100.0 + idle_s
    )
    assert reporter._interval_s() == interval_s
    assert REST_INTERVAL_S < REPORT_TTL_S / 1.5
