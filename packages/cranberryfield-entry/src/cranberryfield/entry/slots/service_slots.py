"""Slots of one service: those in use, and those that may be lent."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cranberryfield.core.ids import UpstreamId, UpstreamProcess
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.slots import SlotGrant
from cranberryfield.entry.limits.refusal_backlog import RefusalBacklog
from cranberryfield.entry.slots.waiting_line import (
    AskId,
    WaitingAsk,
    WaitingLine,
    remove_waiting,
)

__all__ = [
    "CORRECTION_S",
    "INITIAL_HOLD_S",
    "LentSlot",
    "SharedService",
    "SlotCounts",
    "choose_upstream_for",
    "correct_slots",
    "expire_slots",
    "forget_waiting",
    "free_slots",
    "make_grant",
    "total_slots",
]

#: Time after which one more slot is lent of an upstream that has refused an attempt in
#: spite of a slot, in seconds. An upstream that always has fewer free slots than it
#: states refuses one attempt in each such time.
CORRECTION_S = 0.5
#: Time for which a slot is held until one has been given back, in seconds.
INITIAL_HOLD_S = 0.05
#: Advantage of an upstream in the relay's data centre, as a fraction of its slots.
SAME_DATA_CENTRE_BONUS = 0.1


@dataclass(slots=True)
class LentSlot:
    """A slot in use.

    Attributes
    ----------
    process : UpstreamProcess
        Upstream whose slot it is.
    held_since, expires_at : float
        Monotonic time in seconds at which it was lent, and at which its lease ends.
    waited_ms : int
        Time from the ask to the grant, in milliseconds.
    is_lent : bool
        Whether the owner has lent it, rather than been told that it is in use.
    """

    process: UpstreamProcess
    held_since: float
    expires_at: float
    waited_ms: int = 0
    is_lent: bool = True


@dataclass(slots=True)
class _Correction:
    """Number of slots of an upstream that has refused an attempt."""

    slots: int
    at: float

    def allowed(self, now: float) -> int:
        return self.slots + int((now - self.at) / CORRECTION_S)


@dataclass(slots=True)
class SlotCounts:
    """Events since the last log line."""

    granted: int = 0
    refused: int = 0
    expired: int = 0
    refused_by_upstreams: int = 0
    longest_wait_s: float = 0.0


@dataclass(slots=True)
class SharedService:
    """Slots and waiting requests of one service.

    Attributes
    ----------
    line : WaitingLine
        Waiting requests.
    held : dict
        Slots in use by the id of their ask.
    hold_s : float
        Mean time for which a slot is held, in seconds.
    counts : SlotCounts
        Events since the last log line.
    waiting : dict
        Waiting requests by the id of their ask.
    corrections : dict
        What refusals of upstreams have shown.
    backlog : RefusalBacklog
        Refused requests that may come back.
    """

    line: WaitingLine = field(default_factory=WaitingLine)
    held: dict[AskId, LentSlot] = field(default_factory=dict)
    hold_s: float = INITIAL_HOLD_S
    counts: SlotCounts = field(default_factory=SlotCounts)
    waiting: dict[AskId, WaitingAsk] = field(default_factory=dict)
    corrections: dict[UpstreamProcess, _Correction] = field(default_factory=dict)
    backlog: RefusalBacklog = field(default_factory=RefusalBacklog)


def correct_slots(service: SharedService, process: UpstreamProcess, now: float) -> None:
    """Lend no more slots of an upstream than are in use as it refuses another.

    One is lent at least, as others than the relays may use the upstream for a moment.
    """
    in_use = sum(one.process == process for one in service.held.values())
    service.corrections[process] = _Correction(max(1, in_use), now)
    service.counts.refused_by_upstreams += 1


def choose_upstream_for(
    records: list[UpstreamRecord], free: dict[UpstreamProcess, int]
) -> Callable[[WaitingAsk], UpstreamId | None]:
    """Return a function that chooses the upstream with most free slots for an ask.

    Parameters
    ----------
    records : list of UpstreamRecord
        Upstreams of the service.
    free : dict
        Free slots of each.
    """

    def choose(waiting: WaitingAsk) -> UpstreamId | None:
        def room(record: UpstreamRecord) -> float:
            is_near = record.data_centre == waiting.ask.data_centre
            bonus = SAME_DATA_CENTRE_BONUS if is_near else 0.0
            return free[record.process] / max(1, record.capacity) + bonus

        usable = [
            one
            for one in records
            if free[one.process] > 0 and one.upstream not in waiting.ask.excluded
        ]
        return max(usable, key=room).upstream if usable else None

    return choose


def make_grant(number: int, held: LentSlot) -> SlotGrant:
    """Return the grant of a slot."""
    return SlotGrant(number, *held.process, held.waited_ms)


def forget_waiting(service: SharedService, waiting: WaitingAsk) -> None:
    """Remove a waiting request."""
    service.waiting.pop(waiting.id, None)
    remove_waiting(service.line, waiting)


def expire_slots(service: SharedService, now: float) -> None:
    """Take back the slots whose leases have ended."""
    for id, held in list(service.held.items()):
        if held.expires_at <= now:
            del service.held[id]
            service.counts.expired += 1


def _usable_slots(service: SharedService, record: UpstreamRecord, now: float) -> int:
    """Return how many slots of an upstream may be in use."""
    stated = max(1, record.capacity)
    correction = service.corrections.get(record.process)
    if correction is None:
        return stated
    if correction.allowed(now) >= stated:
        del service.corrections[record.process]
    return min(stated, correction.allowed(now))


def free_slots(
    service: SharedService, records: list[UpstreamRecord], now: float
) -> dict[UpstreamProcess, int]:
    """Return the free slots of each upstream; negative if too many are in use."""
    free = {one.process: _usable_slots(service, one, now) for one in records}
    for held in service.held.values():
        if held.process in free:
            free[held.process] -= 1
    for process in service.corrections.keys() - free.keys():
        del service.corrections[process]
    return free


def total_slots(
    service: SharedService, records: list[UpstreamRecord], now: float
) -> int:
    """Return how many slots of a service may be in use, 1 at least."""
    return max(1, sum(_usable_slots(service, one, now) for one in records))
