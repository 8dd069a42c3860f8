from random import Random

import pytest

from cranberryfield.core.messages.membership import LoadReport, UpstreamRecord
from cranberryfield.entry.membership import KnownUpstream
from cranberryfield.entry.requests.retry_policy import AttemptEnd, AttemptResult
from cranberryfield.entry.routing import (
    DispatchSection,
    PrefixSection,
    make_attempt_observer,
)
from cranberryfield.entry.routing.prefix_cache import (
    BLOCK_WORDS,
    MAX_UPSTREAM_BLOCKS,
    CacheEvent,
    PromptPrefix,
    apply_cache_event,
    cached_word_count,
    mark_prompt_cached,
    prompt_prefix,
)
from cranberryfield.entry.routing.scoring import (
    DispatchedRun,
    RoutingCostModel,
    choose_upstream,
    expected_first_token_s,
    record_dispatched_run,
)
from standins.batching import PrefixCache

MODEL = RoutingCostModel(prefill_tokens_per_s=1000.0)


def upstream(name="u", load=(0, 0, 0), data_centre="d", machine="standard"):
    record = UpstreamRecord(
        name, 1, 0, "s", data_centre, "a:1", machine, (), 4, 2000,
        load=LoadReport(*load),
    )  # fmt: skip
    return KnownUpstream(record, 10.0)


def prompt_of_blocks(count, name="p"):
    body = " ".join(f"{name}{index}" for index in range(count * BLOCK_WORDS))
    return prompt_prefix(b'{"prompt": "%s"}' % body.encode())


SLOWER_UPSTREAMS = [
    ("fuller batch", {"load": (2, 0, 0)}, (), 0),
    ("queue past its capacity", {"load": (4, 3, 0)}, (), 0),
    ("prefill before it", {"load": (0, 0, 500)}, (), 0),
    ("own runs since the report", {}, (DispatchedRun(9.9, 100),), 0),
    ("prefill of its own", {}, (), 50),
    ("other data centre", {"data_centre": "e"}, (), 0),
]


@pytest.mark.parametrize(
    ("fields", "dispatches", "prefill"),
    [row[1:] for row in SLOWER_UPSTREAMS],
    ids=[row[0] for row in SLOWER_UPSTREAMS],
)
def test_load_and_distance_raise_expected_first_token_time(fields, dispatches, prefill):
    section = DispatchSection()
    for one in dispatches:
        record_dispatched_run(section, "u", one)
    idle = expected_first_token_s(upstream(), DispatchSection(), 0, "d", MODEL)
    known = upstream(**fields)
    assert expected_first_token_s(known, section, prefill, "d", MODEL) > idle


def test_reported_runs_are_not_counted_twice():
    section = DispatchSection()
    record_dispatched_run(section, "u", DispatchedRun(9.0, 100))
    idle = expected_first_token_s(upstream(), DispatchSection(), 0, "d", MODEL)
    assert expected_first_token_s(upstream(), section, 0, "d", MODEL) == idle


def choose(candidates, prefixes=None, prefix=None, seed=1):
    chosen = choose_upstream(
        candidates,
        DispatchSection(),
        prefixes or PrefixSection(),
        prefix or PromptPrefix(),
        "d",
        Random(seed),
        0.34,
        MODEL,
    )
    return chosen and chosen.known_upstream.record.upstream


def test_no_candidates_gives_none():
    assert choose([]) is None


@pytest.mark.parametrize("seed", range(5))
def test_all_hosts_choose_same_upstream_for_new_prefix(seed):
    candidates = [upstream(f"u{number}") for number in range(9)]
    assert choose(candidates, prefix=prompt_of_blocks(8), seed=seed) == choose(
        candidates, prefix=prompt_of_blocks(8), seed=99
    )


def test_prefixes_are_spread_over_all_upstreams():
    candidates = [upstream(f"u{number}") for number in range(4)]
    chosen = [
        choose(candidates, prefix=prompt_of_blocks(4, f"p{n}x")) for n in range(200)
    ]
    counts = [chosen.count(f"u{number}") for number in range(4)]
    assert min(counts) >= 30


def test_upstream_with_cached_prefix_is_chosen_unless_overloaded():
    prefixes, prefix = PrefixSection(), prompt_of_blocks(8)
    candidates = [upstream(f"u{number}") for number in range(9)]
    first = choose(candidates, prefix=prefix)
    cached_upstream = next(one for one in candidates if one.record.upstream != first)
    mark_prompt_cached(prefixes, cached_upstream.record.upstream, prefix)
    for one in candidates:
        if one is not cached_upstream:
            one.record = upstream(one.record.upstream, (4, 20, 900)).record
    assert choose(candidates, prefixes, prefix) == cached_upstream.record.upstream
    for one in candidates:
        busy = (4, 400, 90_000) if one is cached_upstream else (0, 0, 0)
        one.record = upstream(one.record.upstream, busy).record
    assert choose(candidates, prefixes, prefix) != cached_upstream.record.upstream


MACHINES = ("standard", "reclaimable")
PRICE_TIES = [
    ("cheaper wins", MACHINES, ((0, 0, 0), (0, 0, 0)), "u1"),
    ("not at a cost in time", MACHINES, ((0, 0, 0), (4, 4, 0)), "u0"),
    ("only time above target", MACHINES, ((4, 0, 9000), (4, 0, 9001)), "u0"),
]


@pytest.mark.parametrize(
    ("machines", "loads", "chosen"),
    [row[1:] for row in PRICE_TIES],
    ids=[row[0] for row in PRICE_TIES],
)
def test_price_decides_only_between_ties(machines, loads, chosen):
    candidates = [
        upstream(f"u{number}", loads[number], machine=machines[number])
        for number in (0, 1)
    ]
    seeds = [seed for seed in range(20) if _draws_both_candidates(seed)]
    assert {choose(candidates, seed=seed) for seed in seeds} == {chosen}


def _draws_both_candidates(seed):
    rng = Random(seed)
    return {int(rng.random() * 2), int(rng.random() * 2)} == {0, 1}


def test_engine_and_entry_host_compute_same_block_hashes():
    words = [f"w{index}" for index in range(40)]
    cache = PrefixCache(100)
    added = cache.add(words)
    body = b'{"prompt": "%s"}' % " ".join(words).encode()
    assert set(added) == set(prompt_prefix(body).blocks)
    (change,) = cache.changes
    section = PrefixSection()
    event = CacheEvent(change.sequence, tuple(change.added), tuple(change.removed))
    apply_cache_event(section, "u", event)
    assert (
        cached_word_count(section, "u", prompt_prefix(body))
        == cache.count_cached_tokens(words)
        == 32
    )


EVENT_SEQUENCES = [
    ("added", [CacheEvent(1, (1, 2, 3))], 3),
    ("seen before", [CacheEvent(2, (1, 2, 3)), CacheEvent(2, (), (1,))], 3),
    ("removed", [CacheEvent(1, (1, 2, 3)), CacheEvent(2, (), (3,))], 2),
    ("removed from the start", [CacheEvent(1, (1, 2, 3)), CacheEvent(2, (), (1,))], 0),
    ("gap", [CacheEvent(1, (1, 2, 3, 4)), CacheEvent(5, ())], 2),
    ("engine restarted", [CacheEvent(7, (1, 2, 3)), CacheEvent(1, (1,))], 1),
]


@pytest.mark.parametrize(
    ("events", "blocks"),
    [row[1:] for row in EVENT_SEQUENCES],
    ids=[row[0] for row in EVENT_SEQUENCES],
)
def test_cache_estimate_with_repeated_and_missing_events(events, blocks):
    section = PrefixSection()
    for event in events:
        apply_cache_event(section, "u", event)
    hit = cached_word_count(section, "u", PromptPrefix(64, (1, 2, 3, 4)))
    assert hit == blocks * BLOCK_WORDS


def test_cache_estimate_is_bounded():
    section = PrefixSection()
    for number in range(40):
        mark_prompt_cached(section, "u", prompt_of_blocks(100, f"p{number}x"))
    assert len(section.caches["u"].blocks) == MAX_UPSTREAM_BLOCKS


@pytest.mark.parametrize(
    ("result", "failures"),
    [
        (AttemptResult.NOT_RUN, 2),
        (AttemptResult.BROKEN, 1),
        (AttemptResult.FINISHED, 0),
    ],
)
def test_only_attempts_that_were_not_run_count_as_failures(result, failures):
    known = upstream()
    observe = make_attempt_observer(lambda: 0.0)
    observe(known, AttemptEnd(AttemptResult.NOT_RUN))
    observe(known, AttemptEnd(result))
    assert known.stability.failures == failures
