"""Which hosts to start now: replacement from the notice on, backing off, spilling."""

from dataclasses import dataclass, replace

from cranberryfield.control.capacity.mix import Offer, cheapest_mix

__all__ = ["OfferState", "next_starts", "note_refusal", "note_start"]

FIRST_BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0


@dataclass(frozen=True, slots=True)
class OfferState:
    """What became of an offer so far.

    Attributes
    ----------
    running : int
        Hosts that run and have got no reclaim notice.
    starting : int
        Hosts that were asked for and do not serve yet.
    refusals : int
        Starts refused in a row.
    retry_at : float
        Monotonic time in seconds before which no start is asked for.
    """

    running: int = 0
    starting: int = 0
    refusals: int = 0
    retry_at: float = 0.0


def note_refusal(state: OfferState, now: float) -> OfferState:
    """Return the state after a refused start: backs off exponentially.

    Examples
    --------
    >>> once = note_refusal(OfferState(starting=1), now=100.0)
    >>> once.starting, once.retry_at, note_refusal(once, 105.0).retry_at
    (0, 105.0, 115.0)
    """
    backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**state.refusals)
    return replace(
        state,
        starting=max(0, state.starting - 1),
        refusals=state.refusals + 1,
        retry_at=now + backoff_s,
    )


def note_start(state: OfferState) -> OfferState:
    """Return the state after a host has begun to serve."""
    return replace(
        state,
        running=state.running + 1,
        starting=max(0, state.starting - 1),
        refusals=0,
    )


def next_starts(
    offers: tuple[Offer, ...],
    states: dict[Offer, OfferState],
    need: int,
    now: float,
) -> dict[Offer, int]:
    """Return how many hosts of each offer to ask for now.

    Parameters
    ----------
    offers : tuple of Offer
        What can be had.
    states : dict
        What became of each so far. A host counts as gone from its notice on.
    need : int
        Requests in progress that must be carried with one data centre gone.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    dict
        Empty if what runs and starts is the cheapest mix, or if nothing helps.

    Notes
    -----
    An offer that backs off counts with what it already has, so the rest of the
    need spills over to the next cheapest. Hosts beyond the mix are not stopped
    here.
    """
    possible = tuple(
        _as_it_stands(offer, states.get(offer, OfferState()), now) for offer in offers
    )
    mix = cheapest_mix(possible, need)
    if mix is None:
        return _all_that_can_be_had(possible, offers, states)
    starts = {}
    for offer, as_it_stands in zip(offers, possible, strict=True):
        missing = mix.hosts.get(as_it_stands, 0) - _held(states.get(offer))
        if missing > 0:
            starts[offer] = missing
    return starts


def _held(state: OfferState | None) -> int:
    return state.running + state.starting if state is not None else 0


def _as_it_stands(offer: Offer, state: OfferState, now: float) -> Offer:
    if now >= state.retry_at:
        return offer
    return replace(offer, available=min(offer.available, _held(state)))


def _all_that_can_be_had(
    possible: tuple[Offer, ...],
    offers: tuple[Offer, ...],
    states: dict[Offer, OfferState],
) -> dict[Offer, int]:
    """Return every start that is left, since even all together do not suffice."""
    starts = {}
    for offer, as_it_stands in zip(offers, possible, strict=True):
        missing = as_it_stands.available - _held(states.get(offer))
        if missing > 0:
            starts[offer] = missing
    return starts
