"""Line of the requests that wait for a slot of one service."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cranberryfield.core.ids import Incarnation, NodeId, UpstreamId, WorkspaceId
from cranberryfield.core.messages.slots import SlotAsk

__all__ = [
    "AskId",
    "WaitingAsk",
    "WaitingLine",
    "WaitingOrder",
    "add_waiting",
    "ahead_of",
    "rank_then_slack",
    "remove_waiting",
    "take_next",
]

#: Number of requests that wait in one line. The choice of the next one looks at all of
#: one workspace, which takes 0.1 ms with this number.
MAX_WAITING = 256
#: Each such grant of a workspace goes to the session that was served least, and to its
#: oldest request that can still meet its target, whatever the order says. So a quarter
#: of a workspace's share is open to each class and session.
OLDEST_EVERY = 4
#: Workspaces and sessions whose shares are remembered; those least recently served are
#: forgotten first.
MAX_SHARES = 1000

#: Relay, its incarnation, and the number of the ask.
AskId = tuple[NodeId, Incarnation, int]


@dataclass(slots=True)
class WaitingAsk:
    """An ask that waits for a slot.

    Attributes
    ----------
    id : tuple
        Relay, its incarnation, and the number of the ask.
    ask : SlotAsk
        The ask.
    received_at : float
        Monotonic time in seconds at which the owner received it.
    """

    id: AskId
    ask: SlotAsk
    received_at: float

    @property
    def deadline(self) -> float:
        """Monotonic time of the owner at which its deadline passes, in seconds."""
        return self.received_at + self.ask.left_ms / 1000

    def target_slack_s(self, now: float) -> float:
        """Return the time left to its target beyond the run, in seconds.

        That to the deadline, if it has no target or one that no run can meet.
        """
        ask = self.ask
        left_ms = ask.left_ms
        if ask.target_ms > ask.run_ms:
            left_ms = ask.target_ms - ask.waited_ms
        return self.received_at + (left_ms - ask.run_ms) / 1000 - now

    @property
    def session(self) -> str:
        """Key of its session; its own key if it belongs to none."""
        node, incarnation, number = self.id
        return self.ask.session or f"{node}\0{incarnation}\0{number}"


#: Returns the order of a waiting request within its workspace at a monotonic time in
#: seconds, lowest first.
WaitingOrder = Callable[[WaitingAsk, float], tuple[float, ...]]


def rank_then_slack(waiting: WaitingAsk, now: float) -> tuple[float, ...]:
    """Order by rank, then by the time that is left beyond the run, in seconds.

    The time is that to the target, or to the deadline once the target is missed.
    """
    slack_s = waiting.target_slack_s(now)
    if slack_s < 0.0:
        slack_s = waiting.deadline - now
    return (waiting.ask.rank, slack_s)


@dataclass(slots=True)
class _Shares:
    """Service received by each key, as virtual times of start-time fair queueing."""

    received: dict[str, float] = field(default_factory=dict)
    floor: float = 0.0

    def of(self, key: str) -> float:
        """Return the virtual time of a key; a share that was not used is not kept."""
        return max(self.floor, self.received.get(key, 0.0))

    def serve(self, key: str, weight: float = 1.0) -> None:
        """Count a grant to a key."""
        self.floor = self.of(key)
        self.received.pop(key, None)
        self.received[key] = self.floor + 1.0 / weight
        while len(self.received) > MAX_SHARES:
            del self.received[next(iter(self.received))]


@dataclass(slots=True)
class WaitingLine:
    """Requests that wait for a slot of one service.

    Attributes
    ----------
    workspaces : dict
        Waiting requests by workspace and id, in the order of arrival.
    size : int
        Number of all of them.
    """

    workspaces: dict[WorkspaceId, dict[AskId, WaitingAsk]] = field(default_factory=dict)
    size: int = 0
    _shares: _Shares = field(default_factory=_Shares)
    _sessions: _Shares = field(default_factory=_Shares)
    _turns: dict[WorkspaceId, int] = field(default_factory=dict)


def add_waiting(line: WaitingLine, waiting: WaitingAsk) -> WaitingAsk | None:
    """Add a request to a line.

    Parameters
    ----------
    line : WaitingLine
        Changed in place.
    waiting : WaitingAsk
        The request.

    Returns
    -------
    WaitingAsk or None
        The request that has no place in a full line: the newest of the workspace with
        the most waiting requests, which may be `waiting` itself.
    """
    workspace = waiting.ask.workspace
    line.workspaces.setdefault(workspace, {})[waiting.id] = waiting
    line.size += 1
    if line.size <= MAX_WAITING:
        return None
    longest = max(line.workspaces.values(), key=len)
    if len(longest) == len(line.workspaces[workspace]):
        longest = line.workspaces[workspace]
    displaced = longest[next(reversed(longest))]
    remove_waiting(line, displaced)
    return displaced


def remove_waiting(line: WaitingLine, waiting: WaitingAsk) -> None:
    """Remove a request from its line, if it is there."""
    workspace = waiting.ask.workspace
    members = line.workspaces.get(workspace, {})
    if members.pop(waiting.id, None) is None:
        return
    line.size -= 1
    if not members:
        del line.workspaces[workspace]
        line._turns.pop(workspace, None)


def ahead_of(line: WaitingLine, workspace: WorkspaceId) -> int:
    """Return how many waiting requests go before a new one of a workspace.

    All of its own, and of each other workspace as many as it gets in the meantime.

    Examples
    --------
    >>> line = WaitingLine()
    >>> for number, workspace in enumerate("aaaab"):
    ...     ask = SlotAsk(number, "s", workspace, 0, 1000)
    ...     _ = add_waiting(line, WaitingAsk(("relay-1", 1, number), ask, 0.0))
    >>> [ahead_of(line, workspace) for workspace in "abc"]
    [5, 3, 2]
    """
    own = len(line.workspaces.get(workspace, ()))
    others = (
        min(len(members), own + 1)
        for name, members in line.workspaces.items()
        if name != workspace
    )
    return own + sum(others)


def take_next(
    line: WaitingLine,
    usable: Callable[[WaitingAsk], UpstreamId | None],
    order: WaitingOrder,
    now: float,
) -> tuple[WaitingAsk, UpstreamId] | None:
    """Remove the request that is served next, and return it with its upstream.

    Requests that miss their targets anyway are served when no other waits. Workspaces
    have equal shares of the grants; what one does not use goes to the others.

    Parameters
    ----------
    line : WaitingLine
        Changed in place.
    usable : callable
        Returns the upstream whose free slot a request can use; None if there is none.
    order : callable
        Order within a workspace.
    now : float
        Monotonic time in seconds.
    """
    order_of_workspaces = sorted(line.workspaces, key=line._shares.of)
    for is_late in (False, True):
        for workspace in order_of_workspaces:
            turn = line._turns.get(workspace, 0) + 1
            # In the order of arrival, which sorting keeps among equals.
            candidates = [
                one
                for one in line.workspaces[workspace].values()
                if (one.target_slack_s(now) < 0.0) is is_late
            ]
            if turn % OLDEST_EVERY == 0:
                candidates.sort(key=lambda one: line._sessions.of(one.session))
            else:
                candidates.sort(key=lambda one: order(one, now))
            for one in candidates:
                upstream = usable(one)
                if upstream is None:
                    continue
                line._turns[workspace] = turn
                line._shares.serve(workspace)
                line._sessions.serve(one.session)
                remove_waiting(line, one)
                return one, upstream
    return None
