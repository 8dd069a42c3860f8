"""Decides which waiting request runs next; no I/O."""

from collections import defaultdict
from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName, WorkspaceId

__all__ = [
    "QueueState",
    "Ticket",
    "admit_next",
    "drop_ticket",
    "enqueue",
    "release",
]


@dataclass(eq=False, slots=True)
class Ticket:
    """One request that wants to run.

    Attributes
    ----------
    urgency : int
        Rank of its priority class; 0 is the most urgent.
    deadline : float
        Monotonic time in seconds.
    share : float
        Weight of its workspace.
    concurrency_limit : int
        Requests of its workspace at its service that may run at once here.
    arrival : int
        Set by `enqueue`; orders tickets that are otherwise equal.
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
    """Everything that waits and runs for one service at this host.

    Attributes
    ----------
    waiting : dict
        Tickets of each workspace.
    running : dict
        Number of running requests of each workspace.
    served : dict
        Work given to each workspace, divided by its share (virtual time).
    virtual_time : float
        Virtual time at which the last request was admitted.
    """

    waiting: dict[WorkspaceId, list[Ticket]] = field(default_factory=dict)
    running: dict[WorkspaceId, int] = field(default_factory=lambda: defaultdict(int))
    served: dict[WorkspaceId, float] = field(default_factory=dict)
    virtual_time: float = 0.0
    arrivals: int = 0

    def count_waiting(self) -> int:
        """Return how many tickets wait."""
        return sum(map(len, self.waiting.values()))

    def count_running(self) -> int:
        """Return how many requests run."""
        return sum(self.running.values())


def _order(ticket: Ticket) -> tuple[int, float, int]:
    return (ticket.urgency, ticket.deadline, ticket.arrival)


def enqueue(state: QueueState, ticket: Ticket, queue_limit: int) -> Ticket | None:
    """Let a request wait; return the ticket to be refused if the queue is full.

    Parameters
    ----------
    state : QueueState
        Changed in place.
    ticket : Ticket
        The request.
    queue_limit : int
        Tickets that may wait.

    Returns
    -------
    Ticket or None
        Of the workspace that has most waiting for its share, the least urgent
        ticket with the latest deadline. So one workspace that floods the queue
        does not shut out the others.
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
    refused = max(state.waiting[longest], key=_order)
    drop_ticket(state, refused)
    return refused


def drop_ticket(state: QueueState, ticket: Ticket) -> None:
    """Take a ticket out of the queue if it is in it."""
    tickets = state.waiting.get(ticket.workspace, [])
    if ticket in tickets:
        tickets.remove(ticket)
    if not tickets:
        state.waiting.pop(ticket.workspace, None)


def _may_run(state: QueueState, name: WorkspaceId) -> bool:
    limit = min(ticket.concurrency_limit for ticket in state.waiting[name])
    return state.running.get(name, 0) < limit


def admit_next(state: QueueState, places: int) -> Ticket | None:
    """Choose the request that runs next and count it as running.

    The workspace that has had least work for its share goes first; among its
    own requests the most urgent, then the one with the earliest deadline. A
    workspace that has been idle has no claim on the past.

    Parameters
    ----------
    state : QueueState
        Changed in place.
    places : int
        Requests that may run at once.

    Returns
    -------
    Ticket or None
        None if nothing waits, or may run.
    """
    if state.count_running() >= places:
        return None
    ready = [name for name in state.waiting if _may_run(state, name)]
    if not ready:
        return None

    def start(name: WorkspaceId) -> float:
        return max(state.virtual_time, state.served.get(name, 0.0))

    chosen = min(ready, key=lambda name: (start(name), name))
    ticket = min(state.waiting[chosen], key=_order)
    state.virtual_time = start(chosen)
    state.served[chosen] = state.virtual_time + 1.0 / ticket.share
    drop_ticket(state, ticket)
    state.running[chosen] += 1
    return ticket


def release(state: QueueState, ticket: Ticket) -> None:
    """Count a running request as ended; forget workspaces that are idle."""
    state.running[ticket.workspace] -= 1
    if not state.running[ticket.workspace]:
        del state.running[ticket.workspace]
    if not state.running and not state.waiting:
        state.served.clear()
        state.virtual_time = 0.0
