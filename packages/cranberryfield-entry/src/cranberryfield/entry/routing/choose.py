"""Chooses the upstream with the least expected time to the first token."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cranberryfield.core.ids import DataCentre, UpstreamId
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.membership import KnownUpstream
from cranberryfield.entry.routing.prefix import (
    BLOCK_WORDS,
    PrefixSection,
    PromptPrefix,
    hit_words,
)

__all__ = [
    "Candidate",
    "Dispatch",
    "DispatchSection",
    "RoutingModel",
    "choose_upstream",
    "expected_first_token_s",
    "machine_price",
    "note_own_dispatch",
]

RANDOM_CHOICES = 2
#: Reports of load are about this old when they arrive, in seconds.
REPORT_LAG_S = 0.3
MAX_RECENT_DISPATCHES = 256
RECLAIMABLE = "reclaimable"
_MIX_FACTOR = 0x9E3779B97F4A7C15
_MIX_MASK = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class Dispatch:
    """One run sent to an upstream: when, in seconds, and its prefill."""

    at: float
    prefill_tokens: int


@dataclass(slots=True)
class DispatchSection:
    """Section of the blackboard: this node's own runs on each upstream.

    Attributes
    ----------
    in_flight : dict
        Runs that have not ended.
    recent : dict
        Runs sent lately, which reports of load may not show yet.
    """

    in_flight: dict[UpstreamId, int] = field(default_factory=dict)
    recent: dict[UpstreamId, deque[Dispatch]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RoutingModel:
    """What the expected time to the first token is computed from.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens that an upstream processes in a second.
    run_s : float
        Time that a run holds one place of an upstream's capacity.
    step_s : float
        Time of one step of a batch; grows with how full the batch is.
    distance_s : float
        Round trip to another data centre.
    tie_ratio : float
        Part of the latency target within which price decides.
    prefill_weight : float
        Times that a run's own prefill counts, since it delays others too.
    """

    prefill_tokens_per_s: float = 100_000.0
    run_s: float = 0.5
    step_s: float = 0.003
    distance_s: float = 0.001
    tie_ratio: float = 0.003
    prefill_weight: float = 8.0


@dataclass(slots=True)
class Candidate:
    """An upstream and what is expected of it.

    Attributes
    ----------
    first_token_s : float
        Expected time to the first token, in seconds.
    prefill_tokens : int
        Prompt tokens left after the expected prefix hit.
    """

    known: KnownUpstream
    first_token_s: float
    prefill_tokens: int


def machine_price(record: UpstreamRecord) -> float:
    """Return a relative price where nothing better is known of the class."""
    return 0.3 if record.machine_class.startswith(RECLAIMABLE) else 1.0


def note_own_dispatch(
    section: DispatchSection, upstream: UpstreamId, dispatch: Dispatch
) -> None:
    """Remember a run that reports of load do not show yet."""
    recent = section.recent.get(upstream)
    if recent is None:
        recent = section.recent[upstream] = deque(maxlen=MAX_RECENT_DISPATCHES)
    recent.append(dispatch)


def _unreported(section: DispatchSection, known: KnownUpstream) -> tuple[int, int]:
    recent = section.recent.get(known.record.upstream)
    if not recent:
        return 0, 0
    reported_at = known.heard_at - REPORT_LAG_S
    while recent and recent[0].at <= reported_at:
        recent.popleft()
    return len(recent), sum(one.prefill_tokens for one in recent)


def expected_first_token_s(
    known: KnownUpstream,
    dispatched: DispatchSection,
    prefill_tokens: int,
    own_data_centre: DataCentre,
    model: RoutingModel,
) -> float:
    """Return the expected time to the first token of one more run.

    Parameters
    ----------
    known : KnownUpstream
        The upstream with its latest, lagging report of load.
    dispatched : DispatchSection
        This node's own runs; those since that report are added to it.
    prefill_tokens : int
        Prompt tokens of the new run that are not cached there.
    own_data_centre : DataCentre
        Where this node runs.
    model : RoutingModel
        Speeds and distances.

    Returns
    -------
    float
        Seconds.
    """
    record = known.record
    runs, unreported_tokens = _unreported(dispatched, known)
    runs += record.load.running + record.load.queued
    ahead = record.load.prefill_tokens + unreported_tokens
    ahead += model.prefill_weight * prefill_tokens
    excess = max(0, runs + 1 - record.capacity)
    expected_s = ahead / model.prefill_tokens_per_s
    expected_s += excess / record.capacity * model.run_s
    expected_s += model.step_s * runs / record.capacity
    if record.data_centre != own_data_centre:
        expected_s += model.distance_s
    return expected_s


def _affine_place(candidates: list[KnownUpstream], first_block: int) -> int:
    """Return the place at which all nodes look first for a new prefix."""
    weights = [
        ((known.id_hash ^ first_block) * _MIX_FACTOR) & _MIX_MASK
        for known in candidates
    ]
    return weights.index(max(weights))


def _other_holder(
    candidates: list[KnownUpstream],
    prefixes: PrefixSection,
    first_block: int,
    affine: int,
    rng: Random,
) -> int | None:
    """Return a place, from a random one on, known to have the first block."""
    count = len(candidates)
    start = int(rng.random() * count)
    caches = prefixes.caches
    for place in (*range(start, count), *range(start)):
        cache = caches.get(candidates[place].record.upstream)
        if cache is not None and first_block in cache.blocks and place != affine:
            return place
    return None


def _shortlist(
    candidates: list[KnownUpstream],
    prefixes: PrefixSection,
    prefix: PromptPrefix,
    rng: Random,
) -> list[tuple[KnownUpstream, int]]:
    """Return upstreams that may have the prefix, and two others at random."""
    count = len(candidates)
    hit_of = {int(rng.random() * count): 0 for _ in range(RANDOM_CHOICES)}
    if prefix.blocks:
        first = prefix.blocks[0]
        affine = _affine_place(candidates, first)
        # Other nodes send this prefix there, so all of it is expected there.
        hit_of[affine] = len(prefix.blocks) * BLOCK_WORDS
        holder = _other_holder(candidates, prefixes, first, affine, rng)
        if holder is not None:
            upstream = candidates[holder].record.upstream
            hit_of[holder] = hit_words(prefixes, upstream, prefix)
    return [(candidates[place], hit) for place, hit in hit_of.items()]


def choose_upstream(
    candidates: list[KnownUpstream],
    dispatched: DispatchSection,
    prefixes: PrefixSection,
    prefix: PromptPrefix,
    own_data_centre: DataCentre,
    rng: Random,
    target_s: float,
    model: RoutingModel,
    price: Callable[[UpstreamRecord], float] = machine_price,
) -> Candidate | None:
    """Choose where the next attempt runs.

    Compared are one upstream known to have the beginning of the prompt, the one
    to which its hash points on all nodes, and two others at random, so that
    nodes with the same lagging reports don't all choose the same one.

    Parameters
    ----------
    candidates : list of KnownUpstream
        Upstreams that may be given new work.
    dispatched : DispatchSection
        This node's own runs.
    prefixes : PrefixSection
        What is held to be cached.
    prefix : PromptPrefix
        The request's prompt.
    own_data_centre : DataCentre
        Where this node runs.
    rng : random.Random
        Seeded generator.
    target_s : float
        Latency target of the first token, in seconds.
    model : RoutingModel
        Speeds and distances.
    price : callable
        Price of an upstream's host, in any unit.

    Returns
    -------
    Candidate or None
        None without candidates. Among those that need no more prefill and
        are hardly slower than the fastest, the cheapest; of equal prices the
        one that cannot be reclaimed.
    """
    if not candidates:
        return None
    compared = []
    best = None
    for known, hit in _shortlist(candidates, prefixes, prefix, rng):
        left = max(0, prefix.words - hit)
        first_token_s = expected_first_token_s(
            known, dispatched, left, own_data_centre, model
        )
        candidate = Candidate(known, first_token_s, left)
        compared.append(candidate)
        if best is None or first_token_s < best.first_token_s:
            best = candidate
    limit_s = min(target_s, best.first_token_s + model.tie_ratio * target_s)
    ties = [
        one
        for one in compared
        if one.first_token_s <= limit_s and one.prefill_tokens <= best.prefill_tokens
    ]
    if len(ties) <= 1:
        return best
    return min(ties, key=lambda one: _tie_order(one, price))


def _tie_order(
    candidate: Candidate, price: Callable[[UpstreamRecord], float]
) -> tuple[float, bool, float]:
    record = candidate.known.record
    at_risk = record.machine_class.startswith(RECLAIMABLE)
    return (price(record), at_risk, candidate.first_token_s)
