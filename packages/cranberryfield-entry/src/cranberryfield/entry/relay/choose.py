"""Chooses the upstream of an attempt by the expected time to its first event."""

from dataclasses import dataclass

import xxhash

from cranberryfield.core.ids import DataCentre, UpstreamId
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.loads import LoadSection, UpstreamLoad
from cranberryfield.entry.relay.request import RelayRequest, prefill_left

__all__ = ["RelayModel", "choose_relay_upstream", "expected_wait_s"]


@dataclass(frozen=True, slots=True)
class RelayModel:
    """What the expected time to the first event is computed from.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens that an engine reads in a second.
    run_s : float
        Time that one run holds a place, in seconds.
    batch_s : float
        Time that a full batch adds to the first event, in seconds.
    distance_s : float
        Round trip to another data centre, in seconds.
    failure_s : float
        Cost of an upstream that always fails, in seconds.
    equal_s, plain_equal_s : float
        Difference between expected times that is not told apart, in seconds,
        for requests with and without a prompt. Hosts see each other's work too
        late to take turns at the best upstream; a hash spreads their requests
        over those that are about as good.
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
        What is known of it.
    unread : int
        Prompt tokens that it would have to read for the run.
    data_centre : DataCentre
        Where this host runs.
    now : float
        Monotonic time in seconds.
    model : RelayModel
        Speeds and distances.
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
    """Choose where the next attempt runs.

    Parameters
    ----------
    candidates : list of UpstreamRecord
        Upstreams of the service that are not leaving.
    loads : LoadSection
        What is known of them.
    request : RelayRequest
        The request.
    tried : frozenset of UpstreamId
        Upstreams that it was sent to before.
    data_centre : DataCentre
        Where this host runs.
    now : float
        Monotonic time in seconds.
    model : RelayModel
        Speeds and distances.

    Returns
    -------
    UpstreamRecord or None
        None without untried candidates. Upstreams that are passed over after
        failures are taken only if there are no others, the one that is to
        come back first. Of those that are about equal, the one that has most of
        the prompt is taken, then by a hash of the prompt and the upstream,
        which is the same on all hosts.
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
