"""Upstream selection with full batches, long or shared prompts, and failures."""

from collections import Counter
from random import Random

import msgspec
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


# Upstreams with a connection, in-flight attempts by upstream, prompt tokens, and the
# upstreams that requests may go to.
CONNECTED = [
    ("a connection is used", "a", {}, 0, "a"),
    ("one of two", "ab", {}, 0, "ab"),
    ("none is open", "", {}, 0, "abc"),
    ("an idle upstream before a busy one", "a", {"a": 4}, 0, "bc"),
    ("a prompt goes where it is cached, connected or not", "a", {}, 1_000, "abc"),
]


@pytest.mark.parametrize(
    ("connected", "in_flight", "prompt_tokens", "expected"),
    [row[1:] for row in CONNECTED],
    ids=[row[0] for row in CONNECTED],
)
def test_requests_without_a_prompt_use_open_connections(
    connected, in_flight, prompt_tokens, expected
):
    loads = LoadSection()
    for name, count in in_flight.items():
        loads.load_of(name).remote_in_flight = count
    candidates = [
        msgspec.structs.replace(upstream(name), address=f"{name}:1") for name in "abc"
    ]
    chosen = {
        choose_relay_upstream(
            candidates,
            loads,
            request(number, prompt_tokens=prompt_tokens),
            frozenset(),
            "fann",
            0.0,
            RelayCostModel(),
            frozenset(f"{name}:1" for name in connected),
        ).upstream
        for number in range(60)
    }
    assert chosen == set(expected)


# Hundreds of hosts with a request every two seconds each, before six upstreams that
# close idle connections after four: few connections are opened, and none is crowded.
def test_many_hosts_with_few_requests_open_few_connections():
    rng, hosts, keep_alive_s = Random(1), 195, 4.0
    candidates = [
        msgspec.structs.replace(upstream(f"u{one}", capacity=6), address=f"u{one}:1")
        for one in range(6)
    ]
    used_at = [{} for _ in range(hosts)]
    counts, opened, now, total = Counter(), 0, 0.0, 6_000
    for number in range(total):
        now += rng.expovariate(108.0)
        host = used_at[rng.randrange(hosts)]
        idle = {name for name, at in host.items() if now - at < keep_alive_s}
        record = choose_relay_upstream(
            candidates,
            LoadSection(),
            request(number, prompt_tokens=0),
            frozenset(),
            "fann",
            now,
            RelayCostModel(),
            idle,
        )
        opened += record.address not in idle
        host[record.address] = now
        counts[record.upstream] += 1
    assert opened < 0.2 * total
    assert max(counts.values()) < 1.4 * total / len(candidates)
