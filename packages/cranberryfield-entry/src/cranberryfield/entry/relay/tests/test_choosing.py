"""Upstream selection with full batches, long or shared prompts, and failures."""

import pytest

from cranberryfield.core.deployment import Route, RouteKind, WeightedService
from cranberryfield.core.http1 import RequestHead
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.budget import RetryBudget, note_request, take_retry
from cranberryfield.entry.relay.choose import RelayModel, choose_relay_upstream
from cranberryfield.entry.relay.loads import (
    InFlight,
    LoadSection,
    note_failure,
    note_success,
)
from cranberryfield.entry.relay.request import PromptPart, RelayRequest

ROUTE = Route(
    "r",
    "a.example",
    "/x/",
    RouteKind.STREAM,
    (WeightedService("drafts", 1),),
    9_000.0,
    500.0,
)


def upstream(name, data_centre="fann", places=8):
    return UpstreamRecord(
        name, 1, 1, "drafts", data_centre, "10.0.0.1:80", "on-demand", (), places, 0
    )


def request(number=0, shared=(), prompt_tokens=1_000):
    parts = tuple(PromptPart(part, 800) for part in shared)
    head = RequestHead(b"POST", b"/x/", [])
    return RelayRequest(
        f"r{number}",
        head,
        b"",
        ROUTE,
        "drafts",
        None,
        0.0,
        9.0,
        parts,
        prompt_tokens,
    )


def choose(loads, candidates, one=None, tried=(), now=0.0):
    found = choose_relay_upstream(
        [upstream(name) for name in candidates],
        loads,
        one or request(),
        frozenset(tried),
        "fann",
        now,
        RelayModel(),
    )
    return found and found.upstream


def test_long_prompts_at_one_upstream_send_the_next_request_elsewhere():
    loads = LoadSection()
    loads.of("a").own["r9"] = InFlight(50_000, 50_000)
    assert {choose(loads, "ab", request(n)) for n in range(20)} == {"b"}


def test_a_full_batch_is_passed_over_for_one_with_places():
    loads = LoadSection()
    loads.of("a").others = 8
    loads.of("b").others = 5
    assert {choose(loads, "ab", request(n)) for n in range(20)} == {"b"}


@pytest.mark.parametrize("hosts", [1, 9])
def test_requests_that_share_a_prompt_meet_at_one_upstream_from_all_hosts(hosts):
    one = request(shared=("p1", "p2"))
    assert len({choose(LoadSection(), "abcd", one) for _ in range(hosts)}) == 1


def test_requests_of_their_own_about_one_subject_meet_at_one_upstream():
    asked = [request(n, shared=("system", "subject", f"own{n}")) for n in range(20)]
    assert len({choose(LoadSection(), "abcd", one) for one in asked}) == 1


def test_a_shared_prompt_follows_what_has_read_it_unless_that_is_busy():
    loads = LoadSection()
    one = request(shared=("p1", "p2"), prompt_tokens=9_000)
    other = next(name for name in "abcd" if name != choose(loads, "abcd", one))
    loads.of(other).note_parts(("p1", "p2"))
    assert choose(loads, "abcd", one) == other
    loads.of(other).others_prefill = 100_000
    assert choose(loads, "abcd", one) != other


@pytest.mark.parametrize(
    ("tried", "expected"), [((), {"a", "b"}), ("a", {"b"}), ("ab", {None})]
)
def test_what_was_tried_is_not_tried_again(tried, expected):
    found = {choose(LoadSection(), "ab", request(n), tried) for n in range(40)}
    assert found == expected


@pytest.mark.parametrize(
    ("now", "expected"), [(10.0, {"b"}), (10.9, {"b"}), (11.5, {"a", "b"})]
)
def test_an_upstream_that_refuses_connections_is_passed_over_for_a_while(now, expected):
    loads = LoadSection()
    note_failure(loads.of("a"), 10.0, is_certain=True)
    note_failure(loads.of("a"), 10.0, is_certain=True)
    loads.of("a").failure_ratio = 0.0
    found = {choose(loads, "ab", request(n), now=now) for n in range(40)}
    assert found == expected


def test_with_all_failing_the_one_that_is_to_return_first_is_tried():
    loads = LoadSection()
    for name, failures in (("a", 3), ("b", 2)):
        for _ in range(failures):
            note_failure(loads.of(name), 10.0, is_certain=True)
    assert choose(loads, "ab", now=10.1) == "b"


def test_a_success_ends_the_pause():
    loads = LoadSection()
    note_failure(loads.of("a"), 10.0, is_certain=True)
    note_success(loads.of("a"))
    assert loads.of("a").paused_until < 10.0


def test_retries_of_all_hosts_stay_within_the_bound_of_a_window():
    ratio, allowance, window_s, hosts, per_s = 0.2, 54.0, 10.0, 9, 4
    budgets = [
        RetryBudget(ratio, allowance, window_s, lambda: hosts) for _ in range(hosts)
    ]
    spent = 0
    for step in range(int(window_s * per_s)):
        now = step / per_s
        for budget in budgets:
            note_request(budget, "drafts", now)
            spent += take_retry(budget, "drafts", now)
    assert 0 < spent <= ratio * hosts * window_s * per_s + allowance
