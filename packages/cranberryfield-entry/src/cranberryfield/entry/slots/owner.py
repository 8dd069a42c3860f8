"""State of the owner of shared slots: who holds which, and who waits."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from cranberryfield.core.ids import (
    Incarnation,
    NodeId,
    ServiceName,
)
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.slots import (
    HeldSlot,
    SlotRefusal,
    SlotRefusalReason,
    SlotReplies,
    SlotReport,
)
from cranberryfield.entry.limits.refusal_backlog import record_refusal
from cranberryfield.entry.slots.service_slots import (
    INITIAL_HOLD_S,
    LentSlot,
    SharedService,
    choose_upstream_for,
    correct_slots,
    expire_slots,
    forget_waiting,
    free_slots,
    make_grant,
    total_slots,
)
from cranberryfield.entry.slots.waiting_line import (
    AskId,
    WaitingAsk,
    WaitingOrder,
    add_waiting,
    ahead_of,
    rank_then_slack,
    take_next,
)

__all__ = [
    "LEASE_S",
    "SlotOwnerSection",
    "advance_slots",
    "receive_report",
    "start_term",
]

#: Time for which a slot is lent, in seconds. Relays renew it every 0.2 s, so that a
#: pause of a process or a link of a second takes no slot away; a new owner lends
#: nothing for this time.
LEASE_S = 1.5
#: Time after which a relay that sends nothing is forgotten, in seconds.
FORGET_RELAY_S = 60.0
#: Weight of the latest slot in the moving average of the time for which one is held.
HOLD_WEIGHT = 0.1
#: Part of the time to come back by which refused callers are spread.
RETRY_SPREAD = 0.25
MS_PER_S = 1000

#: Returns the upstreams of a service that may be used.
Upstreams = Callable[[ServiceName], list[UpstreamRecord]]
#: Messages to send, by relay.
Replies = dict[NodeId, SlotReplies]


@dataclass(slots=True)
class _Relay:
    incarnation: Incarnation
    sequence: int = 0
    heard_at: float = 0.0


@dataclass(slots=True)
class SlotOwnerSection:
    """Section of the blackboard: shared slots in one term of their owner.

    Attributes
    ----------
    term : int or None
        Term; None before the first one.
    lends_from : float
        Monotonic time in seconds before which nothing is lent, since relays that have
        not reported yet may hold slots of the owner before.
    services : dict
        Slots by service.
    """

    term: int | None = None
    lends_from: float = 0.0
    services: dict[ServiceName, SharedService] = field(default_factory=dict)
    _relays: dict[NodeId, _Relay] = field(default_factory=dict)


@dataclass(slots=True)
class _Outbox:
    section: SlotOwnerSection
    now: float
    replies: Replies = field(default_factory=dict)

    def add(self, node: NodeId, incarnation: Incarnation, **lists: tuple) -> None:
        """Add to the message for a relay, unless it has started again."""
        relay = self.section._relays.get(node)
        if relay is None or relay.incarnation != incarnation:
            return
        reply = self.replies.get(node)
        if reply is None:
            lends_in_ms = math.ceil((self.section.lends_from - self.now) * MS_PER_S)
            reply = SlotReplies(
                self.section.term,
                incarnation,
                relay.sequence,
                int(LEASE_S * MS_PER_S),
                max(0, lends_in_ms),
            )
        changes = {name: getattr(reply, name) + more for name, more in lists.items()}
        self.replies[node] = msgspec.structs.replace(reply, **changes)


def start_term(section: SlotOwnerSection, term: int, since: float) -> None:
    """Start anew as the owner of a term.

    Parameters
    ----------
    section : SlotOwnerSection
        Changed in place.
    term : int
        The term.
    since : float
        Monotonic time in seconds from which no earlier owner lends any more.
    """
    section.term = term
    section.lends_from = since + LEASE_S
    section.services.clear()
    section._relays.clear()


def receive_report(
    section: SlotOwnerSection,
    node: NodeId,
    report: SlotReport,
    upstreams: Upstreams,
    now: float,
    rng: Random,
    order: WaitingOrder = rank_then_slack,
) -> Replies:
    """Apply a report of a relay.

    Parameters
    ----------
    section : SlotOwnerSection
        Changed in place.
    node : NodeId
        The relay.
    report : SlotReport
        The report; one that another has overtaken is ignored.
    upstreams : callable
        Returns the upstreams of a service.
    now : float
        Monotonic time in seconds.
    rng : random.Random
        Spreads the retry times of refused callers.
    order : callable
        Order of waiting within a workspace.

    Returns
    -------
    dict
        Messages to send, by relay.
    """
    relay = section._relays.get(node)
    if relay is None or report.incarnation > relay.incarnation:
        # Slots of an earlier start stay in use until their leases end: upstreams may
        # still run its attempts.
        relay = section._relays[node] = _Relay(report.incarnation)
    if report.incarnation < relay.incarnation or report.sequence <= relay.sequence:
        return {}
    relay.sequence, relay.heard_at = report.sequence, now
    outbox = _Outbox(section, now)
    if report.wants_reply:
        outbox.add(node, report.incarnation)
    _apply_ends(section, node, report, now)
    for held in report.held:
        _renew(section, (node, report.incarnation, held.number), held, now)
    for refused in report.refused:
        service = section.services.get(refused.service)
        if service is not None:
            process = (refused.upstream, refused.incarnation)
            correct_slots(service, process, now)
    if now >= section.lends_from:
        for ask in report.asks:
            waiting = WaitingAsk((node, report.incarnation, ask.number), ask, now)
            _admit(section, waiting, upstreams(ask.service), outbox, rng)
        if report.wants_reply:
            _repeat_answers(section, node, report, outbox)
    _lend(section, upstreams, outbox, order)
    return outbox.replies


def advance_slots(
    section: SlotOwnerSection,
    upstreams: Upstreams,
    now: float,
    rng: Random,
    order: WaitingOrder = rank_then_slack,
) -> Replies:
    """End leases and waits whose time has come; to be called often.

    See `receive_report` for the parameters and the result.
    """
    outbox = _Outbox(section, now)
    silent = {
        node
        for node, relay in section._relays.items()
        if now - relay.heard_at > LEASE_S
    }
    for name, service in list(section.services.items()):
        expire_slots(service, now)
        for waiting in list(service.waiting.values()):
            if waiting.id[0] in silent:
                forget_waiting(service, waiting)
            elif waiting.deadline - waiting.ask.run_ms / MS_PER_S <= now:
                slots = total_slots(service, upstreams(name), now)
                reason = SlotRefusalReason.DEADLINE
                _refuse(service, waiting, reason, slots, outbox, rng)
        if not upstreams(name) and not service.held and not service.line.size:
            del section.services[name]
    for node, relay in list(section._relays.items()):
        if now - relay.heard_at > FORGET_RELAY_S:
            del section._relays[node]
    _lend(section, upstreams, outbox, order)
    return outbox.replies


def _apply_ends(
    section: SlotOwnerSection, node: NodeId, report: SlotReport, now: float
) -> None:
    """End the waits and free the slots of a relay that it does not report any more."""
    live = {one.number for one in report.held}
    live.update(report.waiting)
    live.update(ask.number for ask in report.asks)

    def has_ended(id: AskId) -> bool:
        owner, incarnation, number = id
        if owner != node:
            return False
        if incarnation != report.incarnation:
            return False
        return number <= report.last_number and number not in live

    for service in section.services.values():
        for id in [id for id in service.held if has_ended(id)]:
            held = service.held.pop(id)
            if held.is_lent:
                took_s = now - held.held_since
                service.hold_s += HOLD_WEIGHT * (took_s - service.hold_s)
        for waiting in list(service.waiting.values()):
            is_old = waiting.id[0] == node and waiting.id[1] < report.incarnation
            if is_old or has_ended(waiting.id):
                forget_waiting(service, waiting)


def _renew(
    section: SlotOwnerSection, id: AskId, reported: HeldSlot, now: float
) -> None:
    """Renew the lease of a slot; take over one that this owner has not lent."""
    service = section.services.setdefault(reported.service, SharedService())
    process = (reported.upstream, reported.incarnation)
    held = service.held.get(id)
    if held is None:
        held = LentSlot(process, now, now, is_lent=False)
        service.held[id] = held
    held.expires_at = now + LEASE_S


def _admit(
    section: SlotOwnerSection,
    waiting: WaitingAsk,
    records: list[UpstreamRecord],
    outbox: _Outbox,
    rng: Random,
) -> None:
    """Let a request wait, or refuse it if it cannot be served in time."""
    ask = waiting.ask
    service = section.services.get(ask.service)
    if not any(one.upstream not in ask.excluded for one in records):
        refusal = SlotRefusal(ask.number, SlotRefusalReason.NO_UPSTREAM, 0)
        outbox.add(waiting.id[0], waiting.id[1], refusals=(refusal,))
        return
    if service is None:
        service = section.services[ask.service] = SharedService()
        service.hold_s = ask.run_ms / MS_PER_S or INITIAL_HOLD_S
    if waiting.id in service.held or waiting.id in service.waiting:
        return
    if not ask.run_ms:
        # A relay with few requests has not measured it.
        ask = msgspec.structs.replace(ask, run_ms=int(service.hold_s * MS_PER_S))
        waiting.ask = ask
    now = waiting.received_at
    slots = total_slots(service, records, now)
    ahead = ahead_of(service.line, ask.workspace) + 1
    free = max(0, slots - len(service.held))
    wait_s = max(0, ahead - free) * service.hold_s / slots
    if wait_s + ask.run_ms / MS_PER_S > ask.left_ms / MS_PER_S:
        _refuse(service, waiting, SlotRefusalReason.DEADLINE, slots, outbox, rng)
        return
    service.waiting[waiting.id] = waiting
    displaced = add_waiting(service.line, waiting)
    if displaced is not None:
        _refuse(service, displaced, SlotRefusalReason.LINE_FULL, slots, outbox, rng)


def _refuse(
    service: SharedService,
    waiting: WaitingAsk,
    reason: SlotRefusalReason,
    slots: int,
    outbox: _Outbox,
    rng: Random,
) -> None:
    """Refuse a request, with a time at which there is room for its caller."""
    forget_waiting(service, waiting)
    service.counts.refused += 1
    served_per_s = slots / max(0.001, service.hold_s)
    retry_s = service.line.size / served_per_s
    retry_s += record_refusal(service.backlog, 1.0, served_per_s, outbox.now)
    retry_ms = int(MS_PER_S * retry_s * rng.uniform(1.0, 1.0 + RETRY_SPREAD))
    node, incarnation, number = waiting.id
    refusal = SlotRefusal(number, reason, retry_ms)
    outbox.add(node, incarnation, refusals=(refusal,))


def _repeat_answers(
    section: SlotOwnerSection, node: NodeId, report: SlotReport, outbox: _Outbox
) -> None:
    """Send grants again that a relay lacks, and name the waits that are not known."""
    for number in (*report.waiting, *(ask.number for ask in report.asks)):
        id = (node, report.incarnation, number)
        for service in section.services.values():
            held = service.held.get(id)
            if held is not None:
                outbox.add(*id[:2], grants=(make_grant(number, held),))
            if held is not None or id in service.waiting:
                break
        else:
            if number in report.waiting:
                outbox.add(*id[:2], unknown=(number,))


def _lend(
    section: SlotOwnerSection, upstreams: Upstreams, outbox: _Outbox, order
) -> None:
    """Lend free slots to the requests that are served next."""
    now = outbox.now
    for name, service in section.services.items():
        if not service.line.size:
            continue
        expire_slots(service, now)
        records = upstreams(name)
        free = free_slots(service, records, now)
        while service.line.size and any(count > 0 for count in free.values()):
            chosen = take_next(
                service.line, choose_upstream_for(records, free), order, now
            )
            if chosen is None:
                break
            waiting, upstream = chosen
            del service.waiting[waiting.id]
            process = next(one.process for one in records if one.upstream == upstream)
            free[process] -= 1
            waited_s = now - waiting.received_at
            held = LentSlot(process, now, now + LEASE_S, int(waited_s * MS_PER_S))
            service.held[waiting.id] = held
            service.counts.granted += 1
            longest_s = max(service.counts.longest_wait_s, waited_s)
            service.counts.longest_wait_s = longest_s
            node, incarnation, number = waiting.id
            outbox.add(node, incarnation, grants=(make_grant(number, held),))
