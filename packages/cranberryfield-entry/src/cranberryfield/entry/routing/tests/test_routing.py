from random import Random

import pytest

from cranberryfield.core.messages.membership import LoadReport, UpstreamRecord
from cranberryfield.entry.membership import KnownUpstream
from cranberryfield.entry.requests.retry_policy import AttemptEnd, AttemptResult
from cranberryfield.entry.routing import DispatchSection, PrefixSection, make_observer
from cranberryfield.entry.routing.choose import (
    Dispatch,
    RoutingModel,
    choose_upstream,
    expected_first_token_s,
    note_own_dispatch,
)
from cranberryfield.entry.routing.prefix import (
    BLOCK_WORDS,
    MAX_UPSTREAM_BLOCKS,
    CacheEvent,
    PromptPrefix,
    hit_words,
    note_dispatch,
    prompt_prefix,
    take_cache_event,
)
from standins.batching import PrefixCache

MODEL = RoutingModel(prefill_tokens_per_s=1000.0)


def upstream(name="u", load=(0, 0, 0), data_centre="d", machine="standard"):
    record = UpstreamRecord(
        name, 1, 0, "s", data_centre, "a:1", machine, (), 4, 2000,
        load=LoadReport(*load),
    )  # fmt: skip
    return KnownUpstream(record, 10.0)


def chain(count, name="p"):
    body = " ".join(f"{name}{place}" for place in range(count * BLOCK_WORDS))
    return prompt_prefix(b'{"prompt": "%s"}' % body.encode())


SLOWER = [
    ("fuller batch", {"load": (2, 0, 0)}, (), 0),
    ("queue past its capacity", {"load": (4, 3, 0)}, (), 0),
    ("prefill before it", {"load": (0, 0, 500)}, (), 0),
    ("own runs since the report", {}, (Dispatch(9.9, 100),), 0),
    ("prefill of its own", {}, (), 50),
    ("other data centre", {"data_centre": "e"}, (), 0),
]


@pytest.mark.parametrize(
    ("fields", "dispatches", "prefill"),
    [row[1:] for row in SLOWER],
    ids=[row[0] for row in SLOWER],
)
def test_what_makes_the_first_token_later(fields, dispatches, prefill):
    section = DispatchSection()
    for one in dispatches:
        note_own_dispatch(section, "u", one)
    idle = expected_first_token_s(upstream(), DispatchSection(), 0, "d", MODEL)
    known = upstream(**fields)
    assert expected_first_token_s(known, section, prefill, "d", MODEL) > idle


def test_runs_that_the_report_shows_are_not_counted_twice():
    section = DispatchSection()
    note_own_dispatch(section, "u", Dispatch(9.0, 100))
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
    return chosen and chosen.known.record.upstream


def test_without_candidates_there_is_no_choice():
    assert choose([]) is None


@pytest.mark.parametrize("seed", range(5))
def test_new_prefix_goes_to_the_same_upstream_from_every_node(seed):
    candidates = [upstream(f"u{number}") for number in range(9)]
    assert choose(candidates, prefix=chain(8), seed=seed) == choose(
        candidates, prefix=chain(8), seed=99
    )


def test_prefixes_are_spread_over_all_upstreams():
    candidates = [upstream(f"u{number}") for number in range(4)]
    chosen = [choose(candidates, prefix=chain(4, f"p{n}x")) for n in range(200)]
    counts = [chosen.count(f"u{number}") for number in range(4)]
    assert min(counts) >= 30


def test_known_prefix_is_followed_unless_its_upstream_is_overloaded():
    prefixes, prefix = PrefixSection(), chain(8)
    candidates = [upstream(f"u{number}") for number in range(9)]
    first = choose(candidates, prefix=prefix)
    holder = next(one for one in candidates if one.record.upstream != first)
    note_dispatch(prefixes, holder.record.upstream, prefix)
    for one in candidates:
        if one is not holder:
            one.record = upstream(one.record.upstream, (4, 20, 900)).record
    assert choose(candidates, prefixes, prefix) == holder.record.upstream
    for one in candidates:
        busy = (4, 400, 90_000) if one is holder else (0, 0, 0)
        one.record = upstream(one.record.upstream, busy).record
    assert choose(candidates, prefixes, prefix) != holder.record.upstream


MACHINES = ("standard", "reclaimable")
TIES = [
    ("cheaper wins", MACHINES, ((0, 0, 0), (0, 0, 0)), "u1"),
    ("not at a cost in time", MACHINES, ((0, 0, 0), (4, 4, 0)), "u0"),
    ("only time above target", MACHINES, ((4, 0, 9000), (4, 0, 9001)), "u0"),
]


@pytest.mark.parametrize(
    ("machines", "loads", "chosen"),
    [row[1:] for row in TIES],
    ids=[row[0] for row in TIES],
)
def test_price_decides_only_between_equals(machines, loads, chosen):
    candidates = [
        upstream(f"u{number}", loads[number], machine=machines[number])
        for number in (0, 1)
    ]
    seeds = [seed for seed in range(20) if _draws_both(seed)]
    assert {choose(candidates, seed=seed) for seed in seeds} == {chosen}


def _draws_both(seed):
    rng = Random(seed)
    return {int(rng.random() * 2), int(rng.random() * 2)} == {0, 1}


def test_engine_and_entry_host_hash_blocks_alike():
    words = [f"w{place}" for place in range(40)]
    cache = PrefixCache(100)
    added = cache.add(words)
    body = b'{"prompt": "%s"}' % " ".join(words).encode()
    assert set(added) == set(prompt_prefix(body).blocks)
    (change,) = cache.changes
    section = PrefixSection()
    event = CacheEvent(change.sequence, tuple(change.added), tuple(change.removed))
    take_cache_event(section, "u", event)
    assert hit_words(section, "u", prompt_prefix(body)) == cache.hit_tokens(words) == 32


EVENTS = [
    ("added", [CacheEvent(1, (1, 2, 3))], 3),
    ("seen before", [CacheEvent(2, (1, 2, 3)), CacheEvent(2, (), (1,))], 3),
    ("removed", [CacheEvent(1, (1, 2, 3)), CacheEvent(2, (), (3,))], 2),
    ("removed from the start", [CacheEvent(1, (1, 2, 3)), CacheEvent(2, (), (1,))], 0),
    ("gap", [CacheEvent(1, (1, 2, 3, 4)), CacheEvent(5, ())], 2),
    ("engine restarted", [CacheEvent(7, (1, 2, 3)), CacheEvent(1, (1,))], 1),
]


@pytest.mark.parametrize(
    ("events", "blocks"), [row[1:] for row in EVENTS], ids=[row[0] for row in EVENTS]
)
def test_estimate_follows_late_and_missing_events(events, blocks):
    section = PrefixSection()
    for event in events:
        take_cache_event(section, "u", event)
    hit = hit_words(section, "u", PromptPrefix(64, (1, 2, 3, 4)))
    assert hit == blocks * BLOCK_WORDS


def test_estimate_is_bounded():
    section = PrefixSection()
    for number in range(40):
        note_dispatch(section, "u", chain(100, f"p{number}x"))
    assert len(section.caches["u"].blocks) == MAX_UPSTREAM_BLOCKS


@pytest.mark.parametrize(
    ("result", "failures"),
    [
        (AttemptResult.NOT_RUN, 2),
        (AttemptResult.BROKEN, 1),
        (AttemptResult.FINISHED, 0),
    ],
)
def test_observer_counts_attempts_that_were_not_run(result, failures):
    known = upstream()
    observe = make_observer(lambda: 0.0)
    observe(known, AttemptEnd(AttemptResult.NOT_RUN))
    observe(known, AttemptEnd(result))
    assert known.stability.failures == failures
