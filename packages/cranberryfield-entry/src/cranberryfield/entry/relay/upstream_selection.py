"""Selects the upstream of a relay attempt by expected time to first event."""

from dataclasses import dataclass

import xxhash

from cranberryfield.core.ids import DataCentre, UpstreamId
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.loads import LoadSection, UpstreamLoad
from cranberryfield.entry.relay.request import RelayRequest, uncached_prompt_tokens
from cranberryfield.entry.relay.stated_loads import (
    choose_by_weight,
    estimate_in_flight,
    estimate_time_ratio,
    relative_speeds,
)

__all__ = ["RelayCostModel", "choose_relay_upstream", "expected_first_event_s"]

#: Number of values of the hash that breaks ties.
HASH_RANGE = 2.0**64
#: Least spread of a choice by stated load, as a fraction of the margin of ties. A
#: prompt of 12,000 tokens that one engine has cached is 4.8 spreads of 25 ms.
SPREAD_OF_MARGIN = 0.25


@dataclass(frozen=True, slots=True)
class RelayCostModel:
    """Parameters of the estimated time to the first event.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens that an engine prefills per second.
    run_duration_s : float
        Time that one run occupies a slot, in seconds.
    full_batch_delay_s : float
        Delay of the first event by a full batch, in seconds.
    cross_data_centre_s : float
        Round-trip time to another data centre, in seconds.
    failure_penalty_s : float
        Penalty for an upstream whose attempts all fail, in seconds.
    tie_margin_s, plain_tie_margin_s : float
        Margin within which expected times count as equal, in seconds, for
        requests with and without a prompt. Hosts see each other's load with a
        delay, so picking the single best upstream would make all of them pick
        the same one; a hash spreads requests over upstreams within the margin.
    cross_bytes_per_s : float
        Bytes per second on the way to another data centre, that is a relay's link of
        5 Mbit/s. Only used for upstreams that state their load.
    answer_bytes : int
        Bytes of a usual answer, for the same.
    """

    prefill_tokens_per_s: float = 100_000.0
    run_duration_s: float = 0.5
    full_batch_delay_s: float = 0.05
    cross_data_centre_s: float = 0.002
    failure_penalty_s: float = 1.0
    tie_margin_s: float = 0.1
    plain_tie_margin_s: float = 0.01
    cross_bytes_per_s: float = 625_000.0
    answer_bytes: int = 4_096


def expected_first_event_s(
    record: UpstreamRecord,
    load: UpstreamLoad,
    tokens_to_prefill: int,
    data_centre: DataCentre,
    now: float,
    model: RelayCostModel,
    in_flight: float | None = None,
    slots: int = 0,
) -> float:
    """Return the expected time to the first event of one more run, in seconds.

    Parameters
    ----------
    record : UpstreamRecord
        The upstream.
    load : UpstreamLoad
        Its known load and health.
    tokens_to_prefill : int
        Prompt tokens that it would have to prefill for the run.
    data_centre : DataCentre
        Data centre of this host.
    now : float
        Monotonic time in seconds.
    model : RelayCostModel
        Parameters of the estimate.
    in_flight : float, optional
        Expected number of its requests, if it is known better than from `load`.
    slots : int
        Its slots, if they are known better than from `record`.
    """
    slots = max(1, slots or record.capacity)
    if in_flight is None:
        in_flight = load.in_flight
    remote_prefill_s = load.remote_prefill_tokens / model.prefill_tokens_per_s
    expected_s = max(0.0, remote_prefill_s - max(0.0, now - load.remote_updated_at))
    expected_s += (
        load.own_prefill_tokens + tokens_to_prefill
    ) / model.prefill_tokens_per_s
    expected_s += model.full_batch_delay_s * in_flight / slots
    expected_s += model.run_duration_s * max(0, in_flight + 1 - slots) / slots
    expected_s += model.failure_penalty_s * load.failure_ratio
    if record.data_centre != data_centre:
        expected_s += model.cross_data_centre_s
    return expected_s


def choose_relay_upstream(
    candidates: list[UpstreamRecord],
    loads: LoadSection,
    request: RelayRequest,
    tried_upstreams: frozenset[UpstreamId],
    data_centre: DataCentre,
    now: float,
    model: RelayCostModel,
) -> UpstreamRecord | None:
    """Choose the upstream of the next attempt.

    Parameters
    ----------
    candidates : list of UpstreamRecord
        Upstreams of the service that are not leaving.
    loads : LoadSection
        Their known load and health.
    request : RelayRequest
        The request.
    tried_upstreams : frozenset of UpstreamId
        Upstreams that were attempted before.
    data_centre : DataCentre
        Data centre of this host.
    now : float
        Monotonic time in seconds.
    model : RelayCostModel
        Parameters of the estimate.

    Returns
    -------
    UpstreamRecord or None
        None if all candidates were tried. If all untried ones are in backoff,
        the one whose backoff ends first. Otherwise those with a free slot are
        preferred. Among these, of the upstreams whose expected times are within
        the margin, the one that has to prefill the fewest tokens; remaining
        ties are broken by a hash of the prompt and the upstream, which is the
        same on all hosts. If any states its load and how long work takes, the choice
        is spread over all by the same hash, more often to the sooner ones.
    """
    untried = [
        (record, loads.load_of(record.upstream))
        for record in candidates
        if record.upstream not in tried_upstreams
    ]
    if not untried:
        return None
    available = [
        (record, load) for record, load in untried if load.backoff_until <= now
    ]
    if not available:
        return min(untried, key=lambda pair: pair[1].backoff_until)[0]
    if any(record.process in loads.stated.speeds for record, _ in available):
        return _choose_by_stated_load(
            available, loads, request, data_centre, now, model
        )
    with_free_slot = [
        (record, load) for record, load in available if load.in_flight < record.capacity
    ]
    estimates = []
    for record, load in with_free_slot or available:
        tokens_to_prefill = uncached_prompt_tokens(request, load.prompt_parts)
        expected_s = expected_first_event_s(
            record, load, tokens_to_prefill, data_centre, now, model
        )
        estimates.append((record, tokens_to_prefill, expected_s))
    margin_s = model.tie_margin_s if request.prompt_tokens else model.plain_tie_margin_s
    limit_s = min(expected_s for _, _, expected_s in estimates) + margin_s
    ties = [
        (tokens_to_prefill, record)
        for record, tokens_to_prefill, expected_s in estimates
        if expected_s <= limit_s
    ]

    def selection_order(estimate: tuple[int, UpstreamRecord]) -> tuple[int, int]:
        tokens_to_prefill, record = estimate
        return tokens_to_prefill, _tie_break_hash(record.upstream, request)

    return min(ties, key=selection_order)[1]


def _choose_by_stated_load(
    available: list[tuple[UpstreamRecord, UpstreamLoad]],
    loads: LoadSection,
    request: RelayRequest,
    data_centre: DataCentre,
    now: float,
    model: RelayCostModel,
) -> UpstreamRecord:
    """Choose by the expected time from stated load, its age and measured speed."""
    speeds = [loads.stated.speeds.get(record.process) for record, _ in available]
    usual_s, fractions = relative_speeds(speeds)
    usual_s = usual_s or model.plain_tie_margin_s
    local, remote = [], []
    for (record, load), speed, fraction in zip(
        available, speeds, fractions, strict=True
    ):
        stated_slots = speed.stated.slots if speed is not None else record.capacity
        slots = max(1, stated_slots)
        in_flight = estimate_in_flight(
            speed, len(load.own_attempts), load.remote_in_flight, now
        )
        if request.prompt_tokens:
            tokens = uncached_prompt_tokens(request, load.prompt_parts)
            home = record.data_centre
            work_s = expected_first_event_s(
                record, load, tokens, home, now, model, in_flight, slots
            )
        else:
            work_s = usual_s * (1.0 + max(0.0, in_flight + 1 - slots) / slots)
            work_s += model.failure_penalty_s * load.failure_ratio
        expected_s = work_s * fraction * estimate_time_ratio(speed, now)
        if record.data_centre == data_centre:
            local.append((expected_s, record))
            continue
        transfer_s = (len(request.body) + model.answer_bytes) / model.cross_bytes_per_s
        expected_s += model.cross_data_centre_s + transfer_s
        remote.append((expected_s, record))
    # Bytes to another data centre must be paid for by time saved.
    least_s = min((expected_s for expected_s, _ in local), default=float("inf"))
    useful = local + [one for one in remote if one[0] < least_s]
    draws = [
        (_tie_break_hash(record.upstream, request) + 1) / HASH_RANGE
        for _, record in useful
    ]
    margin_s = model.tie_margin_s if request.prompt_tokens else model.plain_tie_margin_s
    times = [expected_s for expected_s, _ in useful]
    return useful[choose_by_weight(times, draws, SPREAD_OF_MARGIN * margin_s)][1]


def _tie_break_hash(upstream: UpstreamId, request: RelayRequest) -> int:
    text = f"{request.affinity_key or request.id}\0{upstream}"
    return xxhash.xxh64_intdigest(text.encode())
