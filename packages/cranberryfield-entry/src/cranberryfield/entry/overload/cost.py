"""Decides which waiting work costs callers least to delay or to refuse; no I/O.

A request costs its caller something once its target passes, and everything once its
deadline passes. Work that can still meet its target therefore goes before work that
cannot, and work that cannot meet its deadline is refused at once.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

__all__ = [
    "PendingWork",
    "Refusal",
    "RefusalReason",
    "cost_order",
    "refuse_unservable",
    "request_urgency",
]

#: Urgencies that upstreams distinguish, 0 first, and the number for each rank.
MAX_URGENCY = 9
URGENCIES_PER_RANK = 2
#: Range of the retry delays of refused callers, relative to the time at which there is
#: room, so that they do not return together.
RETRY_SPREAD = (1.0, 1.5)
MIN_RETRY_S = 0.1


@dataclass(frozen=True, slots=True)
class PendingWork:
    """A request that waits for room.

    Attributes
    ----------
    key : str
        Identifies the request.
    rank : int
        Its priority; 0 is the most urgent.
    target_at, deadline : float
        Monotonic time in seconds by which its caller wants the answer, and after which
        an answer is of no use.
    work_s : float
        Expected time for which it occupies one slot, in seconds.
    longest_s : float
        Time that nine in ten such requests need, in seconds; 0 if the work is known.
    workspace : str
        Its workspace.
    session : str
        Key of its session; empty for none.
    """

    key: str
    rank: int
    target_at: float
    deadline: float
    work_s: float
    longest_s: float = 0.0
    workspace: str = ""
    session: str = ""


class RefusalReason(Enum):
    """Why waiting work is refused."""

    #: It could not end before its deadline if it ran at once.
    TOO_LATE = "too late"
    #: The work before it ends too late.
    NO_ROOM = "no room"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal, and the time after which its caller may come back.

    Attributes
    ----------
    work : PendingWork
        The refused request.
    reason : RefusalReason
        Why it is refused.
    waits_s : float
        Time for which it would have waited, in seconds.
    retry_after_s : float
        Time after which there is room, in seconds.
    """

    work: PendingWork
    reason: RefusalReason
    waits_s: float
    retry_after_s: float


def cost_order(work: PendingWork, now: float) -> tuple[float, ...]:
    """Return the order of waiting work, lowest first.

    Parameters
    ----------
    work : PendingWork
        The request.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of float
        Work that can still meet its target goes first: by rank, then by the latest
        time at which it can begin. Of the rest, by rank, then the least work, since
        each of them has already missed its target and the shortest delays others
        least.

    Examples
    --------
    >>> waiting = [
    ...     PendingWork("late", 0, 0.9, 5.0, 0.2),
    ...     PendingWork("in time", 1, 1.5, 5.0, 0.2),
    ...     PendingWork("urgent", 0, 2.0, 5.0, 0.2),
    ...     PendingWork("late and long", 0, 0.9, 5.0, 0.4),
    ... ]
    >>> [one.key for one in sorted(waiting, key=lambda one: cost_order(one, 1.0))]
    ['urgent', 'in time', 'late', 'late and long']
    """
    latest_start = work.target_at - max(work.work_s, work.longest_s)
    if now <= latest_start:
        return (0.0, work.rank, latest_start)
    return (1.0, work.rank, work.work_s)


def refuse_unservable(
    ordered: Iterable[PendingWork], slots: int, now: float, rng: Random
) -> tuple[list[PendingWork], list[Refusal]]:
    """Split waiting work into what is kept and what cannot end before its deadline.

    Parameters
    ----------
    ordered : iterable of PendingWork
        Waiting work in the order in which it is served.
    slots : int
        Number of requests that run at a time.
    now : float
        Monotonic time in seconds.
    rng : random.Random
        Spreads the refused callers.

    Returns
    -------
    kept : list of PendingWork
        Work that is served in time if the forecast holds, in the same order.
    refusals : list of Refusal
        The rest. The times to come back follow each other as room becomes free after
        the kept work, so that callers find the room that they are told of.
    """
    kept: list[PendingWork] = []
    refused: list[tuple[PendingWork, RefusalReason, float]] = []
    ahead_s = 0.0
    capacity = max(1, slots)
    for work in ordered:
        waits_s = ahead_s / capacity
        if now + work.work_s > work.deadline:
            refused.append((work, RefusalReason.TOO_LATE, waits_s))
        elif now + waits_s + work.work_s > work.deadline:
            refused.append((work, RefusalReason.NO_ROOM, waits_s))
        else:
            kept.append(work)
            ahead_s += work.work_s
    refusals = []
    for work, reason, waits_s in refused:
        free_s = max(MIN_RETRY_S, ahead_s / capacity)
        ahead_s += work.work_s
        retry_after_s = free_s * rng.uniform(*RETRY_SPREAD)
        refusals.append(Refusal(work, reason, waits_s, retry_after_s))
    return kept, refusals


def request_urgency(rank: int, target_at: float, now: float) -> int:
    """Return the urgency of a request at an upstream that orders its own queue.

    A request whose target has passed yields to others of its rank, and never goes
    behind a less urgent rank.

    Parameters
    ----------
    rank : int
        Priority of the request.
    target_at : float
        Monotonic time of its target in seconds.
    now : float
        Monotonic time in seconds.

    Examples
    --------
    >>> [request_urgency(rank, 1.0, now) for rank in (0, 1, 9) for now in (0.5, 1.5)]
    [0, 1, 2, 3, 8, 9]
    """
    is_late = now > target_at
    most = MAX_URGENCY // URGENCIES_PER_RANK
    return URGENCIES_PER_RANK * min(rank, most) + is_late
