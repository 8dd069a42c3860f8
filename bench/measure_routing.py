"""Scored routing against other policies, on simulated engines in virtual time."""

import os
import subprocess
import sys
import time
from collections import deque
from dataclasses import dataclass, field
from random import Random

from bench.figures import Figure
from cranberryfield.core.messages.membership import LoadReport, UpstreamRecord
from cranberryfield.entry.membership import (
    KnownUpstream,
    UpstreamsSection,
    leased_upstreams,
    merge_upstream,
    preferred_upstreams,
)
from cranberryfield.entry.membership.following import followed_upstreams
from cranberryfield.entry.routing.prefix_cache import (
    CacheEvent,
    PrefixSection,
    apply_cache_event,
    mark_prompt_cached,
    prompt_prefix,
)
from cranberryfield.entry.routing.scoring import (
    DispatchedRun,
    DispatchSection,
    RoutingCostModel,
    choose_upstream,
    record_dispatched_run,
)
from standins.batching import Batcher, PrefixCache, Run, new_run
from standins.tokens import CompletionRequest

SEED = 20
UPSTREAMS = 9
HOSTS = 3
STEP_S = 0.002
CAPACITY = 16
CACHE_BLOCKS = 1500
REQUESTS = 5000
RATE_PER_S = 1300.0
SHARED_PREFIXES = 60
SHARED_WORDS = 1600
UNIQUE_WORDS = 100
MAX_TOKENS = 24
REPORT_INTERVAL_S = 0.33
REPORT_LAG_S = 0.2
EVENT_LAG_S = 0.3
EVENT_LOSS = 0.2
FIRST_TOKEN_TARGET_S = 0.34
ROUND_TRIP_S = 0.001
PRICES = (0.3, 0.3, 1.0)
POLICIES = ("round_robin", "least_connections", "prefix_only", "scored")
KNOWN_UPSTREAMS = 930
DECISIONS_PER_BATCH = 3000
DECISION_BATCHES = 5


@dataclass
class _Engine:
    known: KnownUpstream
    price: float
    batcher: Batcher = field(default_factory=lambda: Batcher(STEP_S, CAPACITY))
    cache: PrefixCache = field(default_factory=lambda: PrefixCache(CACHE_BLOCKS))
    open_runs: list = field(default_factory=list)
    busy_steps: int = 0
    prefill_tokens: int = 0
    reports: deque = field(default_factory=deque)
    events_read: int = 0


@dataclass
class _HostView:
    """Delayed view that one entry host has of the engines."""

    known: list[KnownUpstream]
    dispatched: DispatchSection = field(default_factory=DispatchSection)
    prefixes: PrefixSection = field(default_factory=PrefixSection)
    in_flight: list[int] = field(default_factory=lambda: [0] * UPSTREAMS)
    next_engine: int = 0
    data_centre: str = "d0"


def _record(number: int) -> UpstreamRecord:
    on_demand = PRICES[number % len(PRICES)] == max(PRICES)
    return UpstreamRecord(
        f"u{number}",
        1,
        0,
        "redacteur",
        f"d{number % 3}",
        "127.0.0.1:9",
        "on-demand" if on_demand else "reclaimable",
        (),
        CAPACITY,
        2000,
    )


def _requests(rng: Random) -> list[tuple[float, bytes, CompletionRequest]]:
    """Return arrival time, body and request; prompts share prefixes, skewed (Zipf)."""
    shared_prefixes = [
        " ".join(f"p{stem}w{place}" for place in range(SHARED_WORDS))
        for stem in range(SHARED_PREFIXES)
    ]
    weights = [1 / (place + 1) ** 0.8 for place in range(SHARED_PREFIXES)]
    found = []
    at = 0.0
    for number in range(REQUESTS):
        at += rng.expovariate(RATE_PER_S)
        shared_prefix = rng.choices(shared_prefixes, weights)[0]
        unique_words = " ".join(f"r{number}t{place}" for place in range(UNIQUE_WORDS))
        request = CompletionRequest(
            "redacteur", f"{shared_prefix} {unique_words}", max_tokens=MAX_TOKENS
        )
        body = b'{"prompt": "%s"}' % request.prompt.encode()
        found.append((at, body, request))
    return found


def _choose_engine(
    policy: str, host: _HostView, body: bytes, now: float, rng: Random
) -> int:
    if policy == "round_robin":
        host.next_engine += 1
        return host.next_engine % UPSTREAMS
    if policy == "least_connections":
        return min(
            range(UPSTREAMS), key=lambda engine: (host.in_flight[engine], engine)
        )
    prefix = prompt_prefix(body)
    if policy == "prefix_only":
        # The hash of the first block selects the engine, so equal prefixes share one.
        return prefix.blocks[0] % UPSTREAMS
    model = RoutingCostModel(
        prefill_tokens_per_s=512 / STEP_S,
        run_duration_s=MAX_TOKENS * STEP_S,
        full_batch_step_s=STEP_S,
    )
    chosen = choose_upstream(
        host.known,
        host.dispatched,
        host.prefixes,
        prefix,
        host.data_centre,
        rng,
        FIRST_TOKEN_TARGET_S,
        model,
    )
    upstream = chosen.known_upstream.record.upstream
    record_dispatched_run(
        host.dispatched, upstream, DispatchedRun(now, chosen.prefill_tokens)
    )
    mark_prompt_cached(host.prefixes, upstream, prefix)
    return int(upstream[1:])


def _deliver_reports(
    engines: list[_Engine], hosts: list[_HostView], now: float, rng: Random
):
    for number, engine in enumerate(engines):
        engine.reports.append((now, LoadReport(**engine.batcher.load)))
        while len(engine.reports) > 1 and engine.reports[1][0] <= now - REPORT_LAG_S:
            engine.reports.popleft()
        at, load = engine.reports[0]
        for host in hosts:
            known = host.known[number]
            record = known.record
            host.known[number].record = UpstreamRecord(
                *[getattr(record, name) for name in record.__struct_fields__[:11]],
                load,
            )
            known.heard_at = at + 0.3
        for change in list(engine.cache.changes):
            if change.sequence <= engine.events_read:
                continue
            engine.events_read = change.sequence
            for host in hosts:
                if rng.random() >= EVENT_LOSS:
                    event = CacheEvent(
                        change.sequence, tuple(change.added), tuple(change.removed)
                    )
                    apply_cache_event(
                        host.prefixes, host.known[number].record.upstream, event
                    )


def _run_policy(policy: str) -> dict[str, float]:
    rng = Random(SEED)
    requests = deque(_requests(Random(SEED)))
    engines = [
        _Engine(KnownUpstream(_record(number), 0.0), PRICES[number % len(PRICES)])
        for number in range(UPSTREAMS)
    ]
    hosts = [
        _HostView(
            [KnownUpstream(_record(number), 0.0) for number in range(UPSTREAMS)],
            data_centre=f"d{place}",
        )
        for place in range(HOSTS)
    ]
    first_token_latencies_s: list[float] = []
    prefill = 0
    now, next_report = 0.0, 0.0
    while requests or any(engine.open_runs for engine in engines):
        now += STEP_S
        if now >= next_report:
            _deliver_reports(engines, hosts, now, rng)
            next_report += REPORT_INTERVAL_S
        while requests and requests[0][0] <= now:
            at, body, request = requests.popleft()
            host = hosts[rng.randrange(HOSTS)]
            number = _choose_engine(policy, host, body, now, rng)
            engine = engines[number]
            run = new_run(str(at), request, engine.cache)
            prefill += run.prefill_left
            engine.batcher.add(run)
            engine.open_runs.append((at, run, host))
            host.in_flight[number] += 1
        for number, engine in enumerate(engines):
            if engine.open_runs:
                engine.busy_steps += 1
                engine.batcher.step(lambda run: None)
                _collect_first_tokens(engine, number, now, first_token_latencies_s)
    first_token_latencies_s.sort()
    cost = sum(engine.busy_steps * engine.price for engine in engines)
    return {
        "first_token_p95": first_token_latencies_s[
            int(0.95 * len(first_token_latencies_s))
        ]
        * 1000,
        "prefill_tokens": prefill / REQUESTS,
        "cost": cost * STEP_S / REQUESTS * 1000,
    }


def _collect_first_tokens(
    engine: _Engine, number: int, now: float, first_token_latencies_s: list[float]
) -> None:
    still_open: list[tuple[float, Run, _HostView]] = []
    for at, run, host in engine.open_runs:
        if run.produced and not run.cancelled and at >= 0:
            near = engine.known.record.data_centre == host.data_centre
            first_token_latencies_s.append(now - at + (0.0 if near else ROUND_TRIP_S))
            at = -1.0
        if run.is_done:
            host.in_flight[number] -= 1
        else:
            still_open.append((at, run, host))
    engine.open_runs = still_open


def measure() -> list[Figure]:
    """Run all policies on the same requests, then time single routing decisions."""
    results = {policy: _run_policy(policy) for policy in POLICIES}
    others = [results[policy] for policy in POLICIES[:-1]]
    targets = {
        "first_token_p95": min(result["first_token_p95"] for result in others),
        "prefill_tokens": 0.7 * results["least_connections"]["prefill_tokens"],
        "cost": None,
    }
    units = {"first_token_p95": "ms", "prefill_tokens": "a request", "cost": "/1000"}
    note = f"{REQUESTS} requests, {UPSTREAMS} engines, seed {SEED}"
    figures = [
        Figure(
            f"routing.{policy}.{name}",
            value,
            units[name],
            targets[name] if policy == POLICIES[-1] else None,
            note=note,
        )
        for policy, values in results.items()
        for name, value in values.items()
    ]
    return [*figures, *_measure_decision_time(), _measure_resident_memory()]


def _measure_decision_time() -> list[Figure]:
    rng = Random(SEED)
    section, dispatched, prefixes = (
        UpstreamsSection(),
        DispatchSection(),
        PrefixSection(),
    )
    for number in range(KNOWN_UPSTREAMS):
        merge_upstream(section, _record(number), 0.0)
    followed = followed_upstreams(
        "entry-0", "d0", [known.record for known in section.upstreams.values()]
    )
    section.followed = {"redacteur": tuple(sorted(followed))}
    bodies = [body for _, body, _ in _requests(rng)[:200]]
    parsed = [prompt_prefix(body) for body in bodies]
    for number in range(2000):
        upstream = section.followed["redacteur"][number % len(followed)]
        mark_prompt_cached(prefixes, upstream, parsed[number % 200])
    batch_times_us = [
        _time_decisions(section, dispatched, prefixes, parsed, rng)
        for _ in range(DECISION_BATCHES)
    ]
    taken_us = min(batch_times_us)
    note = (
        f"{KNOWN_UPSTREAMS} known, {len(followed)} followed, "
        "prompt hashed, least of 5 batches"
    )
    figures = [Figure("routing.decision", taken_us, "us", 50, note=note)]
    started = time.process_time()
    for body in bodies:
        prompt_prefix(body)
    taken_us = (time.process_time() - started) / len(bodies) * 1e6
    note = f"prompt of {SHARED_WORDS + UNIQUE_WORDS} words"
    return [*figures, Figure("routing.hash_prompt", taken_us, "us", note=note)]


def _time_decisions(section, dispatched, prefixes, parsed, rng) -> float:
    """Return the processor time per routing decision, in microseconds."""
    started = time.process_time()
    for number in range(DECISIONS_PER_BATCH):
        choose_upstream(
            preferred_upstreams(leased_upstreams(section, "redacteur", 1.0), 1.0),
            dispatched,
            prefixes,
            parsed[number % 200],
            "d0",
            rng,
            FIRST_TOKEN_TARGET_S,
            RoutingCostModel(),
        )
    return (time.process_time() - started) / DECISIONS_PER_BATCH * 1e6


_MEMORY_PROGRAM = """
from bench.measure_routing import _record, KNOWN_UPSTREAMS
import cranberryfield.daemon.process
from cranberryfield.core.messages.membership import PeerRecord, PeerState
from cranberryfield.entry.membership import *
from cranberryfield.entry.membership.peers import merge_peer
from cranberryfield.entry.routing.prefix_cache import PrefixSection, mark_prompt_cached
from cranberryfield.entry.routing.prefix_cache import PromptPrefix
import msgspec
upstreams, prefixes = UpstreamsSection(), PrefixSection()
for number in range(KNOWN_UPSTREAMS):
    merge_upstream(upstreams, _record(number), 0.0)
peers = PeersSection("entry-0")
for number in range(360):
    address = f"127.0.0.1:{number}"
    record = PeerRecord(
        f"entry-{number}", 1, 0, PeerState.ALIVE, "d", address, address
    )
    merge_peer(peers, record, 0.0)
for number in range(24):
    for block in range(2048):
        prefix = PromptPrefix(16, ((number << 40) + block,))
        mark_prompt_cached(prefixes, f"u{number}", prefix)
fields = dict(line.split(":") for line in open("/proc/self/status"))
print(fields["VmRSS"].split()[0])
"""


def _measure_resident_memory() -> Figure:
    output = subprocess.run(
        [sys.executable, "-c", _MEMORY_PROGRAM],
        capture_output=True,
        check=True,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(p for p in sys.path if p)},
    ).stdout
    note = (
        f"{KNOWN_UPSTREAMS} upstreams, 360 peers, 24 full prefix tables; no request yet"
    )
    return Figure("routing.resident_memory", int(output) / 1024, "MB", 64, note=note)
