"""Scores upstreams by expected time to first token and chooses the best one."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cranberryfield.core.ids import DataCentre, UpstreamId
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.membership import KnownUpstream
from cranberryfield.entry.routing.prefix_cache import (
    BLOCK_WORDS,
    PrefixSection,
    PromptPrefix,
    cached_word_count,
)

__all__ = [
    "Candidate",
    "DispatchSection",
    "DispatchedRun",
    "RoutingCostModel",
    "choose_upstream",
    "default_machine_price",
    "expected_first_token_s",
    "record_dispatched_run",
]

RANDOM_CANDIDATES = 2
#: Approximate age of a load report when it arrives, in seconds.
REPORT_LAG_S = 0.3
MAX_RECENT_DISPATCHES = 256
RECLAIMABLE_CLASS_PREFIX = "reclaimable"
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_HASH_MASK = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class DispatchedRun:
    """Monotonic time in seconds at which a run was sent, and its prefill tokens."""

    sent_at: float
    prefill_tokens: int


@dataclass(slots=True)
class DispatchSection:
    """Section of the blackboard: runs that this host sent to each upstream.

    Attributes
    ----------
    in_flight : dict
        Number of runs that have not ended, by upstream.
    recent_runs : dict
        Recently sent runs that load reports may not include yet, by upstream.
    """

    in_flight: dict[UpstreamId, int] = field(default_factory=dict)
    recent_runs: dict[UpstreamId, deque[DispatchedRun]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RoutingCostModel:
    """Parameters of the estimated time to the first token.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens that an upstream prefills per second.
    run_duration_s : float
        Time that a run occupies one slot of an upstream, in seconds.
    full_batch_step_s : float
        Time of one step of a full batch, in seconds; scaled by how full the
        batch is.
    cross_data_centre_s : float
        Round-trip time to another data centre, in seconds.
    tie_ratio : float
        Fraction of the latency target within which the price decides.
    prefill_weight : float
        Factor on the prefill of the run itself, because it delays other runs too.
    """

    prefill_tokens_per_s: float = 100_000.0
    run_duration_s: float = 0.5
    full_batch_step_s: float = 0.003
    cross_data_centre_s: float = 0.001
    tie_ratio: float = 0.003
    prefill_weight: float = 8.0


@dataclass(slots=True)
class Candidate:
    """An upstream with its estimate for one run.

    Attributes
    ----------
    known_upstream : KnownUpstream
        The upstream.
    first_token_s : float
        Expected time to the first token, in seconds.
    prefill_tokens : int
        Prompt tokens to prefill after the expected prefix cache hit.
    """

    known_upstream: KnownUpstream
    first_token_s: float
    prefill_tokens: int


def default_machine_price(record: UpstreamRecord) -> float:
    """Return the default relative price of an upstream's machine class."""
    return 0.3 if record.machine_class.startswith(RECLAIMABLE_CLASS_PREFIX) else 1.0


def record_dispatched_run(
    section: DispatchSection, upstream: UpstreamId, run: DispatchedRun
) -> None:
    """Record a run that load reports do not include yet."""
    recent_runs = section.recent_runs.get(upstream)
    if recent_runs is None:
        recent_runs = section.recent_runs[upstream] = deque(
            maxlen=MAX_RECENT_DISPATCHES
        )
    recent_runs.append(run)


def _unreported_load(
    section: DispatchSection, known_upstream: KnownUpstream
) -> tuple[int, int]:
    recent_runs = section.recent_runs.get(known_upstream.record.upstream)
    if not recent_runs:
        return 0, 0
    reported_at = known_upstream.heard_at - REPORT_LAG_S
    while recent_runs and recent_runs[0].sent_at <= reported_at:
        recent_runs.popleft()
    return len(recent_runs), sum(run.prefill_tokens for run in recent_runs)


def expected_first_token_s(
    known_upstream: KnownUpstream,
    dispatches: DispatchSection,
    prefill_tokens: int,
    own_data_centre: DataCentre,
    model: RoutingCostModel,
) -> float:
    """Return the expected time to the first token of one more run.

    Parameters
    ----------
    known_upstream : KnownUpstream
        The upstream with its latest load report, which may be outdated.
    dispatches : DispatchSection
        Runs that this host sent; those since the report are added to its load.
    prefill_tokens : int
        Prompt tokens of the new run that the upstream has not cached.
    own_data_centre : DataCentre
        Data centre of this host.
    model : RoutingCostModel
        Parameters of the estimate.

    Returns
    -------
    float
        Seconds.
    """
    record = known_upstream.record
    runs, unreported_tokens = _unreported_load(dispatches, known_upstream)
    runs += record.load.running + record.load.queued
    pending_tokens = record.load.prefill_tokens + unreported_tokens
    pending_tokens += model.prefill_weight * prefill_tokens
    runs_over_capacity = max(0, runs + 1 - record.capacity)
    expected_s = pending_tokens / model.prefill_tokens_per_s
    expected_s += runs_over_capacity / record.capacity * model.run_duration_s
    expected_s += model.full_batch_step_s * runs / record.capacity
    if record.data_centre != own_data_centre:
        expected_s += model.cross_data_centre_s
    return expected_s


def _affine_index(candidates: list[KnownUpstream], first_block: int) -> int:
    """Return the index of the upstream to which all hosts send a new prefix.

    Rendezvous hashing: the highest weight of upstream and first block wins.
    """
    hash_weights = [
        ((known_upstream.id_hash ^ first_block) * _HASH_MULTIPLIER) & _HASH_MASK
        for known_upstream in candidates
    ]
    return hash_weights.index(max(hash_weights))


def _other_cached_index(
    candidates: list[KnownUpstream],
    prefixes: PrefixSection,
    first_block: int,
    affine_index: int,
    rng: Random,
) -> int | None:
    """Return the index of another upstream that has the first block cached.

    The search starts at a random index.
    """
    count = len(candidates)
    start = int(rng.random() * count)
    caches = prefixes.caches
    for index in (*range(start, count), *range(start)):
        cache = caches.get(candidates[index].record.upstream)
        if cache is not None and first_block in cache.blocks and index != affine_index:
            return index
    return None


def _shortlist(
    candidates: list[KnownUpstream],
    prefixes: PrefixSection,
    prefix: PromptPrefix,
    rng: Random,
) -> list[tuple[KnownUpstream, int]]:
    """Return upstreams to compare, each with its expected prefix hit in words.

    These are up to two that may have the prefix cached and two random ones.
    """
    count = len(candidates)
    hit_by_index = {int(rng.random() * count): 0 for _ in range(RANDOM_CANDIDATES)}
    if prefix.blocks:
        first = prefix.blocks[0]
        affine_index = _affine_index(candidates, first)
        # Other hosts send this prefix there, so a full cache hit is expected.
        hit_by_index[affine_index] = len(prefix.blocks) * BLOCK_WORDS
        cached_index = _other_cached_index(
            candidates, prefixes, first, affine_index, rng
        )
        if cached_index is not None:
            upstream = candidates[cached_index].record.upstream
            hit_by_index[cached_index] = cached_word_count(prefixes, upstream, prefix)
    return [(candidates[index], hit) for index, hit in hit_by_index.items()]


def choose_upstream(
    candidates: list[KnownUpstream],
    dispatches: DispatchSection,
    prefixes: PrefixSection,
    prefix: PromptPrefix,
    own_data_centre: DataCentre,
    rng: Random,
    target_s: float,
    model: RoutingCostModel,
    price: Callable[[UpstreamRecord], float] = default_machine_price,
) -> Candidate | None:
    """Choose the upstream of the next attempt.

    It compares an upstream known to have the start of the prompt cached, the one
    to which the hash of the prompt maps on all hosts, and two random ones. The
    random ones keep hosts with the same outdated reports from all choosing the
    same upstream.

    Parameters
    ----------
    candidates : list of KnownUpstream
        Upstreams that accept new runs.
    dispatches : DispatchSection
        Runs that this host sent.
    prefixes : PrefixSection
        Estimated contents of the prefix caches.
    prefix : PromptPrefix
        Prefix of the request's prompt.
    own_data_centre : DataCentre
        Data centre of this host.
    rng : random.Random
        Seeded generator.
    target_s : float
        Latency target of the first token, in seconds.
    model : RoutingCostModel
        Parameters of the estimate.
    price : callable
        Returns the price of an upstream's host, in any unit.

    Returns
    -------
    Candidate or None
        None without candidates. Otherwise the cheapest of those that meet the
        target, need no more prefill than the fastest and are slower than it by
        at most the tie margin; at equal prices one that cannot be reclaimed.
        The fastest if none meets the target.
    """
    if not candidates:
        return None
    compared_candidates = []
    best = None
    for known_upstream, hit in _shortlist(candidates, prefixes, prefix, rng):
        tokens_to_prefill = max(0, prefix.word_count - hit)
        first_token_s = expected_first_token_s(
            known_upstream, dispatches, tokens_to_prefill, own_data_centre, model
        )
        candidate = Candidate(known_upstream, first_token_s, tokens_to_prefill)
        compared_candidates.append(candidate)
        if best is None or first_token_s < best.first_token_s:
            best = candidate
    limit_s = min(target_s, best.first_token_s + model.tie_ratio * target_s)
    ties = [
        one
        for one in compared_candidates
        if one.first_token_s <= limit_s and one.prefill_tokens <= best.prefill_tokens
    ]
    if len(ties) <= 1:
        return best
    return min(ties, key=lambda one: _tie_order(one, price))


def _tie_order(
    candidate: Candidate, price: Callable[[UpstreamRecord], float]
) -> tuple[float, bool, float]:
    record = candidate.known_upstream.record
    is_reclaimable = record.machine_class.startswith(RECLAIMABLE_CLASS_PREFIX)
    return (price(record), is_reclaimable, candidate.first_token_s)
