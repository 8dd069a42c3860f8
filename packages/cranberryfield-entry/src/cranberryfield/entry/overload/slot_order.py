"""Order of requests that wait for shared slots, by what waiting costs them."""

from cranberryfield.entry.overload.cost import PendingWork, cost_order
from cranberryfield.entry.slots.waiting_line import WaitingAsk

__all__ = ["least_cost_first"]

MS_PER_S = 1000
#: Time that nine in ten runs of a plain service need, relative to their mean.
NINE_IN_TEN = 1.7


def least_cost_first(waiting: WaitingAsk, now: float) -> tuple[float, ...]:
    """Return the order of a waiting request, lowest first.

    Parameters
    ----------
    waiting : WaitingAsk
        The request. Without a target it counts as one that can meet it.
    now : float
        Monotonic time in seconds.
    """
    ask = waiting.ask
    run_s = ask.run_ms / MS_PER_S
    target_at = waiting.deadline
    if ask.target_ms:
        left_ms = ask.target_ms - ask.waited_ms
        target_at = waiting.received_at + left_ms / MS_PER_S
    return cost_order(
        PendingWork(
            waiting.session,
            ask.rank,
            target_at,
            waiting.deadline,
            run_s,
            NINE_IN_TEN * run_s,
            ask.workspace,
            ask.session,
        ),
        now,
    )
