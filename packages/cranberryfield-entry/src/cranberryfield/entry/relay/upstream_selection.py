"""Selects the upstream of a relay attempt by expected time to first event."""

from dataclasses import dataclass

import xxhash

from cranberryfield.core.ids import DataCentre, UpstreamId
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.loads import LoadSection, UpstreamLoad
from cranberryfield.entry.relay.request import RelayRequest, uncached_prompt_tokens

__all__ = ["RelayCostModel", "choose_relay_upstream", "expected_first_event_s"]


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
    """

    prefill_tokens_per_s: float = 100_000.0
    run_duration_s: float = 0.5
    full_batch_delay_s: float = 0.05
    cross_data_centre_s: float = 0.002
    failure_penalty_s: float = 1.0
    tie_margin_s: float = 0.1
    plain_tie_margin_s: float = 0.01


def expected_first_event_s(
    record: UpstreamRecord,
    load: UpstreamLoad,
    tokens_to_prefill: int,
    data_centre: DataCentre,
    now: float,
    model: RelayCostModel,
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
    """
    slots = max(1, record.capacity)
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
        same on all hosts.
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


def _tie_break_hash(upstream: UpstreamId, request: RelayRequest) -> int:
    text = f"{request.affinity_key or request.id}\0{upstream}"
    return xxhash.xxh64_intdigest(text.encode())
