"""Weighted fair queue of the requests of one service; no I/O."""

from collections import defaultdict
from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName, WorkspaceId

__all__ = [
    "QueueState",
    "Ticket",
    "admit_next",
    "enqueue",
    "release",
    "remove_ticket",
]


@dataclass(eq=False, slots=True)
class Ticket:
    """A waiting or running request.

    Attributes
    ----------
    urgency : int
        Rank of the priority class; 0 is the most urgent.
    deadline : float
        Monotonic time in seconds.
    share : float
        Fair-queueing weight of the workspace.
    concurrency_limit : int
        Maximum number of concurrent requests of the workspace at the service on
        this host.
    arrival : int
        Sequence number set by `enqueue`; breaks ties.
    """

    workspace: WorkspaceId
    service: ServiceName
    urgency: int
    deadline: float
    share: float
    concurrency_limit: int
    arrival: int = 0


@dataclass(slots=True)
class QueueState:
    """Waiting and running requests of one service at this host.

    Attributes
    ----------
    waiting : dict
        Waiting tickets of each workspace.
    running : dict
        Number of running requests of each workspace.
    finish_times : dict
        Virtual finish time of each workspace: admitted requests divided by share.
    virtual_time : float
        Virtual time at which the last request was admitted.
    """

    waiting: dict[WorkspaceId, list[Ticket]] = field(default_factory=dict)
    running: dict[WorkspaceId, int] = field(default_factory=lambda: defaultdict(int))
    finish_times: dict[WorkspaceId, float] = field(default_factory=dict)
    virtual_time: float = 0.0
    arrivals: int = 0

    def count_waiting(self) -> int:
        """Return the number of waiting tickets."""
        return sum(map(len, self.waiting.values()))

    def count_running(self) -> int:
        """Return the number of running requests."""
        return sum(self.running.values())


def _sort_key(ticket: Ticket) -> tuple[int, float, int]:
    return (ticket.urgency, ticket.deadline, ticket.arrival)


def enqueue(state: QueueState, ticket: Ticket, queue_limit: int) -> Ticket | None:
    """Add a request; return the ticket to refuse if the queue is full.

    Parameters
    ----------
    state : QueueState
        Changed in place.
    ticket : Ticket
        Ticket of the request.
    queue_limit : int
        Maximum number of waiting tickets.

    Returns
    -------
    Ticket or None
        The ticket removed from the full queue: the least urgent one with the
        latest deadline, of the workspace with the most waiting tickets relative
        to its share. A workspace that floods the queue thus does not displace
        the requests of others. None if the queue had room.
    """
    state.arrivals += 1
    ticket.arrival = state.arrivals
    state.waiting.setdefault(ticket.workspace, []).append(ticket)
    if state.count_waiting() <= queue_limit:
        return None
    longest = max(
        state.waiting,
        key=lambda name: (
            len(state.waiting[name]) / state.waiting[name][0].share,
            name,
        ),
    )
    refused = max(state.waiting[longest], key=_sort_key)
    remove_ticket(state, refused)
    return refused


def remove_ticket(state: QueueState, ticket: Ticket) -> None:
    """Remove a ticket from the queue if it is still waiting."""
    tickets = state.waiting.get(ticket.workspace, [])
    if ticket in tickets:
        tickets.remove(ticket)
    if not tickets:
        state.waiting.pop(ticket.workspace, None)


def _is_below_limit(state: QueueState, name: WorkspaceId) -> bool:
    limit = min(ticket.concurrency_limit for ticket in state.waiting[name])
    return state.running.get(name, 0) < limit


def admit_next(state: QueueState, slots: int) -> Ticket | None:
    """Select the request that runs next and count it as running.

    Selects the workspace with the lowest virtual time, then its most urgent
    request, then the earliest deadline. An idle workspace does not accumulate
    credit.

    Parameters
    ----------
    state : QueueState
        Changed in place.
    slots : int
        Maximum number of concurrently running requests.

    Returns
    -------
    Ticket or None
        None if no request waits or none may run.
    """
    if state.count_running() >= slots:
        return None
    ready = [name for name in state.waiting if _is_below_limit(state, name)]
    if not ready:
        return None

    def start_time(name: WorkspaceId) -> float:
        return max(state.virtual_time, state.finish_times.get(name, 0.0))

    chosen = min(ready, key=lambda name: (start_time(name), name))
    ticket = min(state.waiting[chosen], key=_sort_key)
    state.virtual_time = start_time(chosen)
    state.finish_times[chosen] = state.virtual_time + 1.0 / ticket.share
    remove_ticket(state, ticket)
    state.running[chosen] += 1
    return ticket


def release(state: QueueState, ticket: Ticket) -> None:
    """Count a running request as ended; reset virtual times once all are idle."""
    state.running[ticket.workspace] -= 1
    if not state.running[ticket.workspace]:
        del state.running[ticket.workspace]
    if not state.running and not state.waiting:
        state.finish_times.clear()
        state.virtual_time = 0.0
