"""Selection of hosts to start.

Hosts are replaced as soon as they receive a reclaim notice. Offers whose starts are
refused back off, and other offers make up for them.
"""

from dataclasses import dataclass, replace

from cranberryfield.control.capacity.mix import HostOffer, cheapest_mix

__all__ = ["OfferState", "after_refusal", "after_start", "next_starts"]

FIRST_BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0


@dataclass(frozen=True, slots=True)
class OfferState:
    """Running and starting hosts of an offer, with its backoff state.

    Attributes
    ----------
    running : int
        Hosts that run and have received no reclaim notice.
    starting : int
        Hosts that were requested and do not serve yet.
    refusals : int
        Number of consecutive refused starts.
    retry_at : float
        Monotonic time in seconds before which no start is requested.
    """

    running: int = 0
    starting: int = 0
    refusals: int = 0
    retry_at: float = 0.0


def after_refusal(state: OfferState, now: float) -> OfferState:
    """Return the state after a refused start, with exponential backoff.

    Examples
    --------
    >>> once = after_refusal(OfferState(starting=1), now=100.0)
    >>> once.starting, once.retry_at, after_refusal(once, 105.0).retry_at
    (0, 105.0, 115.0)
    """
    backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**state.refusals)
    return replace(
        state,
        starting=max(0, state.starting - 1),
        refusals=state.refusals + 1,
        retry_at=now + backoff_s,
    )


def after_start(state: OfferState) -> OfferState:
    """Return the state after a host has started to serve."""
    return replace(
        state,
        running=state.running + 1,
        starting=max(0, state.starting - 1),
        refusals=0,
    )


def next_starts(
    offers: tuple[HostOffer, ...],
    states: dict[HostOffer, OfferState],
    need: int,
    now: float,
) -> dict[HostOffer, int]:
    """Return the number of hosts of each offer to request now.

    Parameters
    ----------
    offers : tuple of HostOffer
        Available hosts.
    states : dict
        State of each offer. A host with a reclaim notice counts as lost.
    need : int
        Concurrent requests that must be served after the loss of any one data
        centre.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    dict
        Hosts to request by offer. Empty if the running and starting hosts cover
        the cheapest mix, or if no further hosts are available.

    Notes
    -----
    An offer that backs off counts only with its running and starting hosts, so
    the rest of the need moves to the next cheapest offers. Hosts beyond the mix
    are not stopped here.
    """
    limited_offers = tuple(
        _limit_during_backoff(offer, states.get(offer, OfferState()), now)
        for offer in offers
    )
    mix = cheapest_mix(limited_offers, need)
    if mix is None:
        return _all_possible_starts(limited_offers, offers, states)
    starts = {}
    for offer, limited in zip(offers, limited_offers, strict=True):
        missing = mix.hosts.get(limited, 0) - _running_or_starting(states.get(offer))
        if missing > 0:
            starts[offer] = missing
    return starts


def _running_or_starting(state: OfferState | None) -> int:
    return state.running + state.starting if state is not None else 0


def _limit_during_backoff(offer: HostOffer, state: OfferState, now: float) -> HostOffer:
    if now >= state.retry_at:
        return offer
    return replace(offer, available=min(offer.available, _running_or_starting(state)))


def _all_possible_starts(
    limited_offers: tuple[HostOffer, ...],
    offers: tuple[HostOffer, ...],
    states: dict[HostOffer, OfferState],
) -> dict[HostOffer, int]:
    """Return all starts still possible, for when all offers together are too few."""
    starts = {}
    for offer, limited in zip(offers, limited_offers, strict=True):
        missing = limited.available - _running_or_starting(states.get(offer))
        if missing > 0:
            starts[offer] = missing
    return starts
