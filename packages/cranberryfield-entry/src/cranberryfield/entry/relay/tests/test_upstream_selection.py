"""Upstream selection with full batches, long or shared prompts, and failures."""

import pytest

from cranberryfield.core.deployment import Route, RouteKind, WeightedService
from cranberryfield.core.http1 import RequestHead
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.loads import (
    InFlightAttempt,
    LoadSection,
    record_failure,
    record_success,
)
from cranberryfield.entry.relay.request import PromptPart, RelayRequest
from cranberryfield.entry.relay.upstream_selection import (
    RelayCostModel,
    choose_relay_upstream,
)

ROUTE = Route(
    "r",
    "a.example",
    "/x/",
    RouteKind.STREAM,
    (WeightedService("drafts", 1),),
    9_000.0,
    500.0,
)


def upstream(name, data_centre="fann", capacity=8):
    return UpstreamRecord(
        name, 1, 1, "drafts", data_centre, "10.0.0.1:80", "on-demand", (), capacity, 0
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
        RelayCostModel(),
    )
    return found and found.upstream


def test_upstream_with_long_prefill_is_avoided():
    loads = LoadSection()
    loads.load_of("a").own_attempts["r9"] = InFlightAttempt(50_000, 50_000)
    assert {choose(loads, "ab", request(n)) for n in range(20)} == {"b"}


def test_upstream_with_free_slots_is_preferred_to_full_batch():
    loads = LoadSection()
    loads.load_of("a").remote_in_flight = 8
    loads.load_of("b").remote_in_flight = 5
    assert {choose(loads, "ab", request(n)) for n in range(20)} == {"b"}


@pytest.mark.parametrize("hosts", [1, 9])
def test_all_hosts_choose_same_upstream_for_shared_prompt(hosts):
    one = request(shared=("p1", "p2"))
    assert len({choose(LoadSection(), "abcd", one) for _ in range(hosts)}) == 1


def test_different_requests_with_common_prompt_parts_choose_same_upstream():
    asked = [request(n, shared=("system", "subject", f"own{n}")) for n in range(20)]
    assert len({choose(LoadSection(), "abcd", one) for one in asked}) == 1


def test_upstream_with_cached_prompt_is_preferred_unless_busy():
    loads = LoadSection()
    one = request(shared=("p1", "p2"), prompt_tokens=9_000)
    other = next(name for name in "abcd" if name != choose(loads, "abcd", one))
    loads.load_of(other).record_prompt_parts(("p1", "p2"))
    assert choose(loads, "abcd", one) == other
    loads.load_of(other).remote_prefill_tokens = 100_000
    assert choose(loads, "abcd", one) != other


@pytest.mark.parametrize(
    ("tried", "expected"), [((), {"a", "b"}), ("a", {"b"}), ("ab", {None})]
)
def test_tried_upstreams_are_excluded(tried, expected):
    found = {choose(LoadSection(), "ab", request(n), tried) for n in range(40)}
    assert found == expected


@pytest.mark.parametrize(
    ("now", "expected"), [(10.0, {"b"}), (10.9, {"b"}), (11.5, {"a", "b"})]
)
def test_upstream_that_refuses_connections_is_in_backoff(now, expected):
    loads = LoadSection()
    record_failure(loads.load_of("a"), 10.0, is_down=True)
    record_failure(loads.load_of("a"), 10.0, is_down=True)
    loads.load_of("a").failure_ratio = 0.0
    found = {choose(loads, "ab", request(n), now=now) for n in range(40)}
    assert found == expected


def test_all_in_backoff_chooses_earliest_to_end():
    loads = LoadSection()
    for name, failures in (("a", 3), ("b", 2)):
        for _ in range(failures):
            record_failure(loads.load_of(name), 10.0, is_down=True)
    assert choose(loads, "ab", now=10.1) == "b"


def test_success_ends_backoff():
    loads = LoadSection()
    record_failure(loads.load_of("a"), 10.0, is_down=True)
    record_success(loads.load_of("a"))
    assert loads.load_of("a").backoff_until < 10.0
