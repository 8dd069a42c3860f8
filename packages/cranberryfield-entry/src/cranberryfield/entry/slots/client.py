"""Takes slots for attempts from their owner, or without it if it is out of reach."""

from collections.abc import Callable
from random import Random

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import ErrorKind, UnavailableError, WasRun
from cranberryfield.core.ids import NodeId, ServiceName, UpstreamProcess
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.slots import SlotRefusalReason, SlotReplies
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.registry import RegistryTable
from cranberryfield.entry.slots.asks import AskOutcome, PendingAsk, SlotRequirements
from cranberryfield.entry.slots.peers import is_of_older_build, understands_slots
from cranberryfield.entry.slots.relay_slots import (
    ANSWER_TIMEOUT_S,
    RelaySlots,
    answer_due_at,
    apply_replies,
    ask_for_slot,
    check_owner,
    end_number,
    hold_without_owner,
    holds_lease,
    is_owner_in_reach,
    make_report,
    needs_renewal,
    set_owner,
)

__all__ = ["SlotClient", "local_share"]

#: Interval of the reports that renew leases and look for a lost owner, in seconds.
RENEWAL_INTERVAL_S = 0.2
#: Interval at which a request looks for room while the owner is out of reach, and the
#: fraction of its time left for which it does, in seconds.
LOCAL_POLL_S = 0.02
LOCAL_WAIT_FRACTION = 0.25
#: Bounds of the retry delay of requests without room or owner, in seconds.
LOCAL_RETRY_S = (0.2, 0.5)
#: Lateness of a timer from which this process has not run for a while, in seconds.
LATENESS_S = 0.02
MS_PER_S = 1000

logger = structlog.get_logger(__name__)


def local_share(slots: int, hosts: int) -> int:
    """Return how many slots a relay uses at a time while the owner is out of reach.

    An equal part; one if there are fewer slots than relays, as then no share is both
    of use and within the slots if all relays have lost the owner.

    Examples
    --------
    >>> [local_share(24, hosts) for hosts in (5, 24, 76)]
    [4, 1, 1]
    """
    return max(1, slots // max(1, hosts))


class SlotClient:
    """Takes a slot for each attempt at a service whose slots relays share.

    Parameters
    ----------
    state : RelaySlots
        Owned by this object.
    table : RegistryTable
        Announced upstreams.
    mesh : Mesh
        Links to other processes.
    leader : callable
        Returns the leader of the control group, which owns the slots; None if unknown.
    host_count : callable
        Returns the number of relays.
    is_plain : callable
        Returns whether a service has no engine.
    metrics : Metrics
        Counters and histograms.
    clock : Clock
        Monotonic time that counts suspensions.
    rng : random.Random
        Spreads refused callers.
    """

    def __init__(
        self,
        state: RelaySlots,
        table: RegistryTable,
        mesh: Mesh,
        leader: Callable[[], NodeId | None],
        host_count: Callable[[], int],
        is_plain: Callable[[ServiceName], bool],
        metrics: Metrics,
        clock: Clock,
        rng: Random,
    ):
        self._state = state
        self._table = table
        self._mesh = mesh
        self._leader = leader
        self._host_count = host_count
        self._is_plain = is_plain
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._numbers: dict[str, int] = {}
        self._wake_ups: dict[int, tuple[PendingAsk, anyio.Event]] = {}
        self._report_due = anyio.Event()
        self._was_in_reach: bool | None = None
        mesh.handle(SlotReplies, self._on_replies)

    def is_shared(self, service: ServiceName) -> bool:
        """Return whether the attempts at a service need slots."""
        if not self._is_plain(service):
            return False
        slots = self._slots_of(service)
        if not 0 < slots <= self._host_count():
            return False
        leader = self._leader()
        return leader is None or not is_of_older_build(self._mesh, leader)

    async def take(
        self, request: str, requirements: SlotRequirements, local_choice: UpstreamRecord
    ) -> UpstreamProcess:
        """Take a slot for an attempt; return the upstream that it belongs to.

        Parameters
        ----------
        request : str
            Id of the request; `release` is to be called with it after the attempt.
        requirements : SlotRequirements
            What it needs.
        local_choice : UpstreamRecord
            Upstream that this relay would choose by itself.

        Raises
        ------
        UnavailableError
            If there is no room before the deadline.
        """
        self.release(request)
        began = self._clock()
        room_until = began + LOCAL_WAIT_FRACTION * (requirements.deadline - began)
        while True:
            self._update_owner()
            if is_owner_in_reach(self._state, self._clock()):
                process = await self._take_from_owner(
                    request, requirements, local_choice
                )
                if process is not None:
                    self._metrics.observe("slot_wait", self._clock() - began)
                    return process
                continue
            if self._has_local_room(requirements.service):
                return self._hold_locally(request, local_choice)
            if self._clock() >= room_until:
                self._metrics.count("slots_refused_without_owner")
                raise UnavailableError(
                    ErrorKind.NO_UPSTREAM,
                    "no share of the slots is free while their owner is out of reach",
                    was_run=WasRun.NO,
                    retry_after_s=self._rng.uniform(*LOCAL_RETRY_S),
                )
            await anyio.sleep(LOCAL_POLL_S)

    def is_usable(self, request: str) -> bool:
        """Return whether an attempt may begin with what slot a request has, if any.

        Its lease may have ended while the request waited for something else, or while
        this process was suspended.
        """
        number = self._numbers.get(request)
        if number is None:
            return True
        held = self._state.held[number]
        return not held.is_lent or holds_lease(self._state, number, self._clock())

    def release(self, request: str, was_refused: bool = False) -> None:
        """Give back the slot of a request, if it has one.

        Parameters
        ----------
        request : str
            Id of the request.
        was_refused : bool
            Whether the upstream has refused the attempt for want of room.
        """
        number = self._numbers.pop(request, None)
        if number is None:
            return
        now = self._clock()
        held = self._state.held.get(number)
        if held is not None and held.is_lent and now >= held.lease_ends_at:
            self._metrics.count("slots_outlasted_lease")
        if was_refused:
            self._metrics.count("slots_refused_by_upstream")
        end_number(self._state, number, now, was_refused)
        self._report_due.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        renewed_at = self._clock()
        while True:
            await self._wait_for_report(renewed_at + RENEWAL_INTERVAL_S)
            self._report_due = anyio.Event()
            self._update_owner()
            now = self._clock()
            is_renewal = now - renewed_at >= RENEWAL_INTERVAL_S
            if is_renewal:
                renewed_at = now
            self._report(now, is_renewal)
            self._notice_reach(now)

    async def _wait_for_report(self, renew_at: float) -> None:
        """Wait until a report or its acknowledgement is due, or leases are renewed."""
        due_at = answer_due_at(self._state)
        wake_at = renew_at if due_at is None else min(renew_at, due_at)
        with anyio.move_on_after(max(0.0, wake_at - self._clock())):
            await self._report_due.wait()
        if due_at is None or self._clock() < due_at:
            return
        if self._clock() > due_at + LATENESS_S:
            # Replies may have arrived while this process did not run.
            await anyio.sleep(LATENESS_S)
        check_owner(self._state, self._clock())
        self._wake_answered()

    def _report(self, now: float, is_renewal: bool) -> None:
        state = self._state
        is_lost = not is_owner_in_reach(state, now)
        has_news = state.is_report_due and not is_lost
        is_renewal = is_renewal and needs_renewal(state, now)
        owner = state.owner
        if owner is None or not (has_news or is_renewal):
            return
        if not self._mesh.send(owner, make_report(state, now, is_renewal)):
            # There is no link: no use in waiting for an answer.
            check_owner(state, now + ANSWER_TIMEOUT_S)
            self._wake_answered()

    async def _take_from_owner(
        self,
        request: str,
        requirements: SlotRequirements,
        local_choice: UpstreamRecord,
    ) -> UpstreamProcess | None:
        """Wait for a grant; None if the owner is out of reach."""
        pending = ask_for_slot(self._state, requirements)
        event = anyio.Event()
        self._wake_ups[id(pending)] = pending, event
        self._report_due.set()
        try:
            await event.wait()
        except BaseException:
            end_number(self._state, pending.number, self._clock())
            self._report_due.set()
            raise
        finally:
            del self._wake_ups[id(pending)]
        if pending.outcome is AskOutcome.REFUSED:
            if pending.refusal.reason is SlotRefusalReason.NO_UPSTREAM:
                return self._hold_locally(request, local_choice)
            raise self._refusal(pending)
        if pending.outcome is not AskOutcome.GRANTED:
            return None
        self._numbers[request] = pending.number
        if not self.is_usable(request):
            self.release(request)
            return None
        self._metrics.count("slots_granted")
        return pending.process

    def _refusal(self, pending: PendingAsk) -> UnavailableError:
        reason = pending.refusal.reason
        self._metrics.count(f"slots_refused_{reason.name.lower()}")
        detail = "the waiting line for the slots of the service is full"
        if reason is SlotRefusalReason.DEADLINE:
            detail = "no slot of the service is free before the deadline"
        return UnavailableError(
            ErrorKind.NO_UPSTREAM,
            detail,
            was_run=WasRun.NO,
            retry_after_s=pending.refusal.retry_ms / MS_PER_S,
        )

    def _hold_locally(self, request: str, record: UpstreamRecord) -> UpstreamProcess:
        self._numbers[request] = hold_without_owner(
            self._state, record.service, record.process, self._clock()
        )
        self._metrics.count("slots_without_owner")
        return record.process

    def _has_local_room(self, service: ServiceName) -> bool:
        used = sum(one.service == service for one in self._state.held.values())
        return used < local_share(self._slots_of(service), self._host_count())

    def _slots_of(self, service: ServiceName) -> int:
        records = self._table.active_upstreams(service)
        return sum(max(1, one.capacity) for one in records)

    def _update_owner(self) -> None:
        leader = self._leader()
        if leader is not None and not understands_slots(self._mesh, leader):
            leader = None
        set_owner(self._state, leader)
        if self._state.owner is None:
            check_owner(self._state, self._clock())
            self._wake_answered()

    def _on_replies(self, sender: NodeId, replies: SlotReplies) -> None:
        apply_replies(self._state, sender, replies, self._clock())
        self._wake_answered()
        if self._state.is_report_due:
            self._report_due.set()

    def _wake_answered(self) -> None:
        for pending, event in self._wake_ups.values():
            if pending.outcome is not AskOutcome.WAITING:
                event.set()

    def _notice_reach(self, now: float) -> None:
        """Log when the owner is lost, and when slots are shared again."""
        is_in_reach = is_owner_in_reach(self._state, now)
        was_in_reach = self._was_in_reach
        if is_in_reach == was_in_reach or (was_in_reach is None and not is_in_reach):
            # At the start of a host it is not known yet.
            return
        self._was_in_reach = is_in_reach
        if was_in_reach is None:
            return
        if is_in_reach:
            logger.info("slots shared again", owner=self._state.owner)
        else:
            logger.warning(
                "slots not shared: their owner is out of reach or lends nothing yet",
                owner=self._state.owner,
                held=len(self._state.held),
            )
