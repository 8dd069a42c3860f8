"""When to load weights, so that the weight store's rate is kept."""

from dataclasses import dataclass

from cranberryfield.core.ids import UpstreamId

__all__ = ["LoadRate", "WeightLoad", "due_loads"]


@dataclass(frozen=True, slots=True)
class WeightLoad:
    """A load that waits.

    Attributes
    ----------
    upstream : UpstreamId
        The engine.
    size_bytes : int
        Size of the weights.
    """

    upstream: UpstreamId
    size_bytes: int


@dataclass(frozen=True, slots=True)
class LoadRate:
    """What the weight store has left to give.

    Attributes
    ----------
    bytes_per_s : float
        Its rate.
    free_at : float
        Monotonic time in seconds at which all loads begun so far are over.
    """

    bytes_per_s: float
    free_at: float = 0.0


def due_loads(
    waiting: tuple[WeightLoad, ...], rate: LoadRate, now: float
) -> tuple[tuple[WeightLoad, ...], LoadRate]:
    """Return the loads to begin now: the next in turn once the store is free.

    Parameters
    ----------
    waiting : tuple of WeightLoad
        Loads in the order in which they are wanted.
    rate : LoadRate
        The store's rate and what is under way.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    due : tuple of WeightLoad
        At most one: a load alone is over soonest, and its engine serves while
        the next one loads.
    rate : LoadRate
        With the load that is due taken into account.

    Examples
    --------
    >>> loads = (WeightLoad("e1", 100), WeightLoad("e2", 100))
    >>> due, rate = due_loads(loads, LoadRate(50.0), now=10.0)
    >>> due[0].upstream, rate.free_at, due_loads(loads[1:], rate, now=11.0)[0]
    ('e1', 12.0, ())
    """
    if not waiting or now < rate.free_at:
        return (), rate
    first = waiting[0]
    duration_s = first.size_bytes / rate.bytes_per_s
    return (first,), LoadRate(rate.bytes_per_s, now + duration_s)
