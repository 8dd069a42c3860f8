"""Selects the upstream of a relay attempt by expected time to first event."""

from dataclasses import dataclass

import xxhash

from cranberryfield.core.ids import DataCentre, UpstreamId
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.loads import LoadSection, UpstreamLoad
from cranberryfield.entry.relay.request import RelayRequest, prefill_left

__all__ = ["RelayModel", "choose_relay_upstream", "expected_wait_s"]


@dataclass(frozen=True, slots=True)
class RelayModel:
    """Parameters of the estimated time to the first event.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens that an engine prefills per second.
    run_s : float
        Time that one run occupies a slot, in seconds.
    batch_s : float
        Delay of the first event by a full batch, in seconds.
    distance_s : float
        Round-trip time to another data centre, in seconds.
    failure_s : float
        Penalty for an upstream whose attempts all fail, in seconds.
    equal_s, plain_equal_s : float
        Margin within which expected times count as equal, in seconds, for
        requests with and without a prompt. Hosts see each other's load with a
        delay, so picking the single best upstream would make all of them pick
        the same one; a hash spreads requests over upstreams within the margin.
    """

    prefill_tokens_per_s: float = 100_000.0
    run_s: float = 0.5
    batch_s: float = 0.05
    distance_s: float = 0.002
    failure_s: float = 1.0
    equal_s: float = 0.1
    plain_equal_s: float = 0.01


def expected_wait_s(
    record: UpstreamRecord,
    load: UpstreamLoad,
    unread: int,
    data_centre: DataCentre,
    now: float,
    model: RelayModel,
) -> float:
    """Return the expected time to the first event of one more run, in seconds.

    Parameters
    ----------
    record : UpstreamRecord
        The upstream.
    load : UpstreamLoad
        Its known load and health.
    unread : int
        Prompt tokens that it would have to prefill for the run.
    data_centre : DataCentre
        Data centre of this host.
    now : float
        Monotonic time in seconds.
    model : RelayModel
        Parameters of the estimate.
    """
    places = max(1, record.capacity)
    in_flight = load.in_flight
    unread_s = load.others_prefill / model.prefill_tokens_per_s
    wait_s = max(0.0, unread_s - max(0.0, now - load.others_seen_at))
    wait_s += (load.own_prefill + unread) / model.prefill_tokens_per_s
    wait_s += model.batch_s * in_flight / places
    wait_s += model.run_s * max(0, in_flight + 1 - places) / places
    wait_s += model.failure_s * load.failure_ratio
    if record.data_centre != data_centre:
        wait_s += model.distance_s
    return wait_s


def choose_relay_upstream(
    candidates: list[UpstreamRecord],
    loads: LoadSection,
    request: RelayRequest,
    tried: frozenset[UpstreamId],
    data_centre: DataCentre,
    now: float,
    model: RelayModel,
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
    tried : frozenset of UpstreamId
        Upstreams that were attempted before.
    data_centre : DataCentre
        Data centre of this host.
    now : float
        Monotonic time in seconds.
    model : RelayModel
        Parameters of the estimate.

    Returns
    -------
    UpstreamRecord or None
        None if all candidates were tried. If all others are in backoff, the
        one whose backoff ends first. Upstreams with a free slot are preferred.
        Among those whose expected times are within the margin, the one that
        has to prefill the fewest tokens; remaining ties are broken by a hash of
        the prompt and the upstream, which is the same on all hosts.
    """
    untried = [
        (one, loads.of(one.upstream)) for one in candidates if one.upstream not in tried
    ]
    if not untried:
        return None
    steady = [(one, load) for one, load in untried if load.paused_until <= now]
    if not steady:
        return min(untried, key=lambda pair: pair[1].paused_until)[0]
    roomy = [(one, load) for one, load in steady if load.in_flight < one.capacity]
    options = []
    for one, load in roomy or steady:
        unread = prefill_left(request, load.parts)
        wait_s = expected_wait_s(one, load, unread, data_centre, now, model)
        options.append((one, unread, wait_s))
    equal_s = model.equal_s if request.prompt_tokens else model.plain_equal_s
    longest_s = min(wait_s for _, _, wait_s in options) + equal_s
    equal = [(unread, one) for one, unread, wait_s in options if wait_s <= longest_s]

    def order(option: tuple[int, UpstreamRecord]) -> tuple[int, int]:
        unread, record = option
        return unread, _tie_break(record.upstream, request)

    return min(equal, key=order)[1]


def _tie_break(upstream: UpstreamId, request: RelayRequest) -> int:
    text = f"{request.affinity or request.id}\0{upstream}"
    return xxhash.xxh64_intdigest(text.encode())
