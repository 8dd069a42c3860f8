"""State of a relay that shares slots: what it waits for and what it holds."""

from collections import OrderedDict
from dataclasses import dataclass, field

from cranberryfield.core.ids import (
    DataCentre,
    Incarnation,
    NodeId,
    ServiceName,
    UpstreamProcess,
)
from cranberryfield.core.messages.slots import (
    HeldSlot,
    RefusedAttempt,
    SlotAsk,
    SlotGrant,
    SlotReplies,
    SlotReport,
)
from cranberryfield.entry.slots.asks import AskOutcome, PendingAsk, SlotRequirements

__all__ = [
    "ANSWER_TIMEOUT_S",
    "RelaySlots",
    "answer_due_at",
    "apply_replies",
    "ask_for_slot",
    "check_owner",
    "end_number",
    "hold_without_owner",
    "holds_lease",
    "is_owner_in_reach",
    "make_report",
    "needs_renewal",
    "set_owner",
]

#: Time for the owner to acknowledge a report, in seconds, after which this relay
#: chooses by itself. The request that noticed it does so within 0.1 s of its ask, with
#: the time until the report is sent.
ANSWER_TIMEOUT_S = 0.08
#: Time for which a slot is in use before its lease is renewed, in seconds; most
#: attempts end earlier and need no such message.
RENEW_AFTER_S = 0.4
#: Reports whose acknowledgement is awaited; older ones renew no lease.
MAX_AWAITED = 64
#: Services whose times of attempts are remembered.
MAX_SERVICES = 256
#: Weight of the latest attempt in the moving average of their times.
RUN_WEIGHT = 0.1
MS_PER_S = 1000


@dataclass(slots=True)
class _Held:
    service: ServiceName
    process: UpstreamProcess
    begun_at: float
    #: When the lease ends; before all times for a slot that the owner has not lent.
    lease_ends_at: float

    @property
    def is_lent(self) -> bool:
        return self.lease_ends_at > float("-inf")


@dataclass(slots=True)
class RelaySlots:
    """Section of the blackboard: asks and slots of this relay.

    Attributes
    ----------
    incarnation : Incarnation
        Incarnation of this relay.
    data_centre : DataCentre
        Its data centre.
    owner : NodeId or None
        Owner of the slots.
    pending : dict
        Unanswered asks by number.
    held : dict
        Slots in use by number.
    run_s : dict
        Mean time of an attempt by service, in seconds.
    is_report_due : bool
        Whether the owner lacks something that this relay has to tell.
    """

    incarnation: Incarnation
    data_centre: DataCentre
    owner: NodeId | None = None
    pending: dict[int, PendingAsk] = field(default_factory=dict)
    held: dict[int, _Held] = field(default_factory=dict)
    run_s: dict[ServiceName, float] = field(default_factory=dict)
    is_report_due: bool = False
    _number: int = 0
    _sequence: int = 0
    _term: int = 0
    _refused: list[RefusedAttempt] = field(default_factory=list)
    _awaited: OrderedDict[int, tuple[float, tuple[int, ...]]] = field(
        default_factory=OrderedDict
    )
    _unanswered_since: float | None = None
    _is_silent: bool = False
    _lends_from: float = float("-inf")


def set_owner(state: RelaySlots, owner: NodeId | None) -> None:
    """Take note of the owner; one that is new is asked anew for what waits."""
    if owner == state.owner:
        return
    state.owner = owner
    state._term = 0
    state._awaited.clear()
    if not state.pending:
        # Else requests that wait for an answer already do not wait twice as long.
        state._unanswered_since = None
    state._is_silent = False
    state._lends_from = float("-inf")
    for pending in list(state.pending.values()):
        _ask_anew(state, pending)
    state.is_report_due = True


def is_owner_in_reach(state: RelaySlots, now: float) -> bool:
    """Return whether slots are asked for; else this relay chooses by itself."""
    return state.owner is not None and not state._is_silent and now >= state._lends_from


def check_owner(state: RelaySlots, now: float) -> None:
    """Give up waiting for an owner that has not acknowledged a report in time."""
    due_at = answer_due_at(state)
    is_late = due_at is not None and now >= due_at
    if state.owner is None or is_late:
        state._is_silent = True
    if not is_owner_in_reach(state, now):
        for number in list(state.pending):
            state.pending.pop(number).outcome = AskOutcome.NO_OWNER


def answer_due_at(state: RelaySlots) -> float | None:
    """Return the monotonic time in seconds by which the owner has to acknowledge.

    None if it owes no acknowledgement.
    """
    since = state._unanswered_since
    return None if since is None or state._is_silent else since + ANSWER_TIMEOUT_S


def ask_for_slot(state: RelaySlots, requirements: SlotRequirements) -> PendingAsk:
    """Ask for a slot with the next report."""
    state._number += 1
    pending = PendingAsk(state._number, requirements)
    state.pending[pending.number] = pending
    state.is_report_due = True
    return pending


def hold_without_owner(
    state: RelaySlots, service: ServiceName, process: UpstreamProcess, now: float
) -> int:
    """Hold a slot that this relay has chosen by itself; return its number."""
    state._number += 1
    state.held[state._number] = _Held(service, process, now, float("-inf"))
    return state._number


def holds_lease(state: RelaySlots, number: int, now: float) -> bool:
    """Return whether the lease of a slot is valid."""
    held = state.held.get(number)
    return held is not None and now < held.lease_ends_at


def end_number(
    state: RelaySlots, number: int, now: float, was_refused: bool = False
) -> None:
    """Withdraw an ask, or give a slot back.

    Parameters
    ----------
    state : RelaySlots
        Changed in place.
    number : int
        Number of the ask.
    now : float
        Monotonic time in seconds.
    was_refused : bool
        Whether the upstream has refused the attempt.
    """
    if state.pending.pop(number, None) is not None:
        state.is_report_due = True
    held = state.held.pop(number, None)
    if held is None:
        return
    state.is_report_due = True
    if was_refused:
        state._refused.append(RefusedAttempt(held.service, *held.process))
        return
    took_s = now - held.begun_at
    known_s = state.run_s.pop(held.service, took_s)
    state.run_s[held.service] = known_s + RUN_WEIGHT * (took_s - known_s)
    while len(state.run_s) > MAX_SERVICES:
        del state.run_s[next(iter(state.run_s))]


def needs_renewal(state: RelaySlots, now: float) -> bool:
    """Return whether the owner is to acknowledge what this relay waits for or holds.

    Also while it is out of reach, as a reply shows that it is back.
    """
    if state.pending or not is_owner_in_reach(state, now):
        return True
    return any(now - one.begun_at >= RENEW_AFTER_S for one in state.held.values())


def make_report(state: RelaySlots, now: float, is_renewal: bool = False) -> SlotReport:
    """Return the report that is due.

    Parameters
    ----------
    state : RelaySlots
        Changed in place.
    now : float
        Monotonic time in seconds.
    is_renewal : bool
        Whether the owner has to acknowledge it although nothing is asked for.
    """
    state._sequence += 1
    state.is_report_due = False
    asks, waiting = [], []
    for number, pending in state.pending.items():
        if pending.is_acknowledged:
            waiting.append(number)
            continue
        if pending.first_sent_at is None:
            pending.first_sent_at = now
            pending.first_sequence = state._sequence
        asks.append(_make_ask(state, number, pending.requirements, now))
    wants_reply = bool(asks) or is_renewal
    if wants_reply:
        state._awaited[state._sequence] = now, tuple(state.held)
        if len(state._awaited) > MAX_AWAITED:
            state._awaited.popitem(last=False)
        if state._unanswered_since is None:
            state._unanswered_since = now
    refused, state._refused = tuple(state._refused), []
    return SlotReport(
        state.incarnation,
        state._sequence,
        state._number,
        wants_reply,
        tuple(asks),
        tuple(waiting),
        tuple(
            HeldSlot(number, one.service, *one.process)
            for number, one in state.held.items()
        ),
        refused,
    )


def apply_replies(
    state: RelaySlots, sender: NodeId, replies: SlotReplies, now: float
) -> None:
    """Apply a message of the owner.

    Parameters
    ----------
    state : RelaySlots
        Changed in place.
    sender : NodeId
        Host that has sent it.
    replies : SlotReplies
        The message; one from another host or of an earlier term is ignored.
    now : float
        Monotonic time in seconds.
    """
    if sender != state.owner:
        return
    if replies.term == 0:
        state._is_silent = True
        check_owner(state, now)
        return
    if replies.incarnation != state.incarnation or replies.term < state._term:
        return
    if replies.term > state._term:
        is_first, state._term = state._term == 0, replies.term
        if not is_first:
            for pending in list(state.pending.values()):
                if pending.is_acknowledged:
                    _ask_anew(state, pending)
    lease_s = replies.lease_ms / MS_PER_S
    _acknowledge(state, replies.sequence, lease_s, now)
    if replies.lends_in_ms:
        state._lends_from = now + replies.lends_in_ms / MS_PER_S
        check_owner(state, now)
    for grant in replies.grants:
        _take_grant(state, grant, lease_s, now)
    for refusal in replies.refusals:
        pending = state.pending.pop(refusal.number, None)
        if pending is not None:
            pending.outcome, pending.refusal = AskOutcome.REFUSED, refusal
    for number in replies.unknown:
        if number in state.pending:
            _ask_anew(state, state.pending[number])


def _acknowledge(state: RelaySlots, sequence: int, lease_s: float, now: float) -> None:
    """Take note of the latest report that the owner has.

    A lease that has ended is not renewed: the owner may have lent the slot to another
    before it received the report.
    """
    state._is_silent = False
    while state._awaited and next(iter(state._awaited)) <= sequence:
        _, (sent_at, numbers) = state._awaited.popitem(last=False)
        for number in numbers:
            held = state.held.get(number)
            if held is not None and held.lease_ends_at > now:
                held.lease_ends_at = max(held.lease_ends_at, sent_at + lease_s)
    first = next(iter(state._awaited.values()), None)
    state._unanswered_since = None if first is None else first[0]
    for pending in state.pending.values():
        if 0 < pending.first_sequence <= sequence:
            pending.is_acknowledged = True


def _take_grant(
    state: RelaySlots, grant: SlotGrant, lease_s: float, now: float
) -> None:
    pending = state.pending.pop(grant.number, None)
    if pending is None:
        # Withdrawn in the meantime; the next report gives it back. A repeated grant of
        # a slot in use changes nothing.
        state.is_report_due |= grant.number not in state.held
        return
    lease_ends_at = pending.first_sent_at + grant.waited_ms / MS_PER_S + lease_s
    if lease_ends_at <= now:
        # This host was frozen, or the message was late: others may use the slot.
        pending.outcome = AskOutcome.NO_OWNER
        state.is_report_due = True
        return
    pending.outcome = AskOutcome.GRANTED
    pending.process = grant.upstream, grant.incarnation
    state.held[grant.number] = _Held(
        pending.requirements.service, pending.process, now, lease_ends_at
    )


def _ask_anew(state: RelaySlots, pending: PendingAsk) -> None:
    """Give an ask a new number, since an owner may know the old one from before."""
    del state.pending[pending.number]
    pending.first_sent_at, pending.is_acknowledged = None, False
    pending.first_sequence = 0
    state._number += 1
    pending.number = state._number
    state.pending[pending.number] = pending
    state.is_report_due = True


def _make_ask(
    state: RelaySlots, number: int, requirements: SlotRequirements, now: float
) -> SlotAsk:
    return SlotAsk(
        number,
        requirements.service,
        requirements.workspace,
        requirements.rank,
        max(0, int((requirements.deadline - now) * MS_PER_S)),
        max(0, int((now - requirements.arrived_at) * MS_PER_S)),
        requirements.target_ms,
        int(state.run_s.get(requirements.service, 0.0) * MS_PER_S),
        requirements.session,
        state.data_centre,
        requirements.excluded,
    )
