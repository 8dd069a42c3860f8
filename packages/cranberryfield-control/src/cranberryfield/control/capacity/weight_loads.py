"""Scheduling of weight loads within the bandwidth of the weight store."""

from dataclasses import dataclass

from cranberryfield.core.ids import UpstreamId

__all__ = ["WeightLoad", "WeightStoreState", "due_weight_loads"]


@dataclass(frozen=True, slots=True)
class WeightLoad:
    """Pending load of model weights.

    Attributes
    ----------
    upstream : UpstreamId
        Engine that loads the weights.
    size_bytes : int
        Size of the weights.
    """

    upstream: UpstreamId
    size_bytes: int


@dataclass(frozen=True, slots=True)
class WeightStoreState:
    """Bandwidth of the weight store and the loads in progress.

    Attributes
    ----------
    bytes_per_s : float
        Read bandwidth.
    free_at : float
        Monotonic time in seconds at which all started loads will have finished.
    """

    bytes_per_s: float
    free_at: float = 0.0


def due_weight_loads(
    waiting: tuple[WeightLoad, ...], store: WeightStoreState, now: float
) -> tuple[tuple[WeightLoad, ...], WeightStoreState]:
    """Return the loads to start now: the next one if the weight store is idle.

    Parameters
    ----------
    waiting : tuple of WeightLoad
        Pending loads in the order in which to start them.
    store : WeightStoreState
        Bandwidth of the weight store and the loads in progress.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    due : tuple of WeightLoad
        At most one load. Sequential loads finish earlier than concurrent ones,
        and each engine can serve while the next one loads.
    store : WeightStoreState
        Updated state of the weight store, including the load in `due`.

    Examples
    --------
    >>> loads = (WeightLoad("e1", 100), WeightLoad("e2", 100))
    >>> due, store = due_weight_loads(loads, WeightStoreState(50.0), now=10.0)
    >>> due[0].upstream, store.free_at, due_weight_loads(loads[1:], store, now=11.0)[0]
    ('e1', 12.0, ())
    """
    if not waiting or now < store.free_at:
        return (), store
    first = waiting[0]
    duration_s = first.size_bytes / store.bytes_per_s
    return (first,), WeightStoreState(store.bytes_per_s, now + duration_s)
