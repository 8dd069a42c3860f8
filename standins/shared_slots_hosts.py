"""Relays and the owner of their slots in virtual time, with messages and faults."""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import msgspec

from cranberryfield.core.messages.codec import Envelope, EnvelopeKind, encode_frame
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.reports import HostReport, LoadShare
from cranberryfield.core.messages.slots import SlotReplies
from cranberryfield.entry.relay.loads import LoadSection, replace_remote_loads
from cranberryfield.entry.reports.collector import (
    CollectedReports,
    loads_of_other_hosts,
    record_report,
)
from cranberryfield.entry.slots.client import RENEWAL_INTERVAL_S
from cranberryfield.entry.slots.owner import (
    SlotOwnerSection,
    advance_slots,
    receive_report,
    start_term,
)
from cranberryfield.entry.slots.relay_slots import (
    RelaySlots,
    apply_replies,
    check_owner,
    is_owner_in_reach,
    make_report,
    needs_renewal,
    set_owner,
)
from cranberryfield.entry.slots.server import TICK_S
from cranberryfield.entry.slots.waiting_line import WaitingOrder
from standins.shared_slots_load import Load, SlotRun

__all__ = ["DEADLINE_S", "SERVICE", "Call", "Hosts", "SimulatedRelay"]

REPORT_INTERVAL_S = 0.25
#: Delay of a message between two hosts, in seconds: two data centres, busy hosts.
MESSAGE_DELAY_S = (0.001, 0.004)
#: Time to the deadline of each request, and of an election, in seconds.
DEADLINE_S = 2.7
ELECTION_S = 1.0
SERVICE = "booking"


@dataclass(slots=True)
class Call:
    """A caller's request, with what it has met so far."""

    id: str
    workspace: str
    rank: int
    session: str
    arrived_at: float
    repeats_at_once: bool
    returns: int = 0
    refused_by: set[str] = field(default_factory=set)
    is_done: bool = False
    has_lacked_room: bool = False

    @property
    def deadline(self) -> float:
        """Time by which it must be answered, in seconds."""
        return self.arrived_at + DEADLINE_S

    @property
    def keys(self) -> list[tuple[str, object]]:
        """What it is counted under."""
        return [
            ("workspace", self.workspace),
            ("rank", self.rank),
            ("session", self.session),
        ]


@dataclass(slots=True)
class SimulatedRelay:
    """A relay, with its state and what is wrong with it."""

    name: str
    loads: LoadSection = field(default_factory=LoadSection)
    slots: RelaySlots | None = None
    waiting: dict[int, tuple] = field(default_factory=dict)
    frozen_until: float = 0.0
    is_cut_off: bool = False
    is_dead: bool = False
    is_flush_due: bool = False


class Hosts:
    """Relays and the owner of their slots, with messages and faults.

    Subclasses have `resolve`, which goes on with the answered requests of a relay.
    """

    def __init__(self, load: Load, seed: int, is_shared: bool, order: WaitingOrder):
        self.load, self.rng, self.is_shared = load, Random(seed), is_shared
        self.order = order
        self.now, self.events, self.sequence = 0.0, [], 0
        self.records = [
            UpstreamRecord(
                f"u{n}", 1, 1, SERVICE, "d", f"10.0.0.{n}:1", "", (), load.stated, 0
            )
            for n in range(load.upstreams)
        ]
        self.actual = load.actual
        self.running = Counter()
        self.relays = [SimulatedRelay(f"relay-{n}") for n in range(load.relays)]
        self.reports = CollectedReports()
        self.owner_name, self.term, self.owner_up = "control-1", 1, True
        self.section = SlotOwnerSection()
        start_term(self.section, 1, -10.0)
        self.last_delivery: dict[tuple[str, str], float] = {}
        self.result = SlotRun()
        for relay in self.relays:
            if is_shared:
                relay.slots = RelaySlots(1, "d")
                set_owner(relay.slots, self.owner_name)
            self.at(self.rng.uniform(0, REPORT_INTERVAL_S), self.report_loads, relay)
            self.at(self.rng.uniform(0, RENEWAL_INTERVAL_S), self.renew, relay)

    def at(self, when: float, action: Callable, *arguments) -> None:
        """Run an action at a time, or now if that is past."""
        self.sequence += 1
        heapq.heappush(
            self.events, (max(when, self.now), self.sequence, action, arguments)
        )

    def on_relay(self, relay: SimulatedRelay, action: Callable, *arguments) -> None:
        """Run an action of a relay, after it has thawed; never on a dead one."""
        if relay.is_dead:
            return
        if relay.frozen_until > self.now:
            self.at(relay.frozen_until, self.on_relay, relay, action, *arguments)
            return
        action(relay, *arguments)

    def upstreams(self, service: str) -> list[UpstreamRecord]:
        """Return the upstreams that the owner knows."""
        return self.records

    # Messages.

    def send(
        self, sender: str, relay: SimulatedRelay, message, deliver: Callable
    ) -> None:
        """Deliver a message in order, unless one end is cut off or gone."""
        self.result.messages += 1
        frame = encode_frame((Envelope(EnvelopeKind.SEND, 0, message),))
        self.result.message_bytes += len(frame)
        if relay.is_cut_off or relay.is_dead:
            return
        key = (sender, relay.name)
        due = max(
            self.now + self.rng.uniform(*MESSAGE_DELAY_S),
            self.last_delivery.get(key, 0.0),
        )
        self.last_delivery[key] = due
        self.at(due, deliver, relay, message)

    def flush_soon(self, relay: SimulatedRelay) -> None:
        """Send what is due when all that happens now has happened."""
        if not relay.is_flush_due:
            relay.is_flush_due = True
            self.at(self.now, self.on_relay, relay, self.flush)

    def flush(self, relay: SimulatedRelay) -> None:
        """Send a report if one is due."""
        relay.is_flush_due = False
        state = relay.slots
        if state.is_report_due and is_owner_in_reach(state, self.now):
            self.report(relay, False)

    def report(self, relay: SimulatedRelay, is_renewal: bool) -> None:
        """Send a report."""
        message = make_report(relay.slots, self.now, is_renewal)
        self.send(relay.name, relay, message, self.on_report)

    def renew(self, relay: SimulatedRelay) -> None:
        """Renew leases, at intervals."""
        self.at(self.now + RENEWAL_INTERVAL_S, self.renew, relay)
        if relay.slots is not None:
            self.on_relay(relay, self.renew_now)

    def renew_now(self, relay: SimulatedRelay) -> None:
        """Renew leases, and look for the owner."""
        state = relay.slots
        set_owner(state, self.owner_name)
        if needs_renewal(state, self.now):
            self.report(relay, True)
        self.resolve(relay)

    def check(self, relay: SimulatedRelay) -> None:
        """Look whether the owner has answered in time."""
        self.on_relay(relay, self.check_now)

    def check_now(self, relay: SimulatedRelay) -> None:
        """Go on without an owner that has not answered in time."""
        check_owner(relay.slots, self.now)
        self.resolve(relay)

    def on_report(self, relay: SimulatedRelay, message) -> None:
        """Apply a report at the owner."""
        if not self.owner_up:
            return
        replies = receive_report(
            self.section,
            relay.name,
            message,
            self.upstreams,
            self.now,
            self.rng,
            self.order,
        )
        self.send_replies(replies)

    def send_replies(self, replies: dict) -> None:
        """Send messages of the owner."""
        by_name = {one.name: one for one in self.relays}
        for name, reply in replies.items():
            deliver = partial(self.on_reply, self.owner_name)
            self.send(self.owner_name, by_name[name], reply, deliver)

    def on_reply(self, owner: str, relay: SimulatedRelay, message: SlotReplies) -> None:
        """Apply a message of the owner at a relay."""
        self.on_relay(relay, self.apply, owner, message)

    def apply(self, relay: SimulatedRelay, owner: str, message: SlotReplies) -> None:
        """Apply a message of the owner now."""
        apply_replies(relay.slots, owner, message, self.now)
        if message.grants:
            self.count_leases()
        self.resolve(relay)
        if relay.slots.is_report_due:
            self.flush_soon(relay)

    def count_leases(self) -> None:
        """Count upstreams of which more leases are valid than they state slots."""
        valid = Counter(
            held.process
            for relay in self.relays
            for held in relay.slots.held.values()
            if held.lease_ends_at > self.now
        )
        self.result.overused += any(
            count > self.load.stated for count in valid.values()
        )

    def tick(self) -> None:
        """Let the owner end leases and waits, at intervals."""
        self.at(self.now + TICK_S, self.tick)
        if self.owner_up:
            self.send_replies(
                advance_slots(
                    self.section, self.upstreams, self.now, self.rng, self.order
                )
            )

    def report_loads(self, relay: SimulatedRelay) -> None:
        """Exchange loads, as relays do without shared slots."""
        self.at(self.now + REPORT_INTERVAL_S, self.report_loads, relay)
        if relay.slots is not None or relay.is_dead or relay.is_cut_off:
            return
        own = tuple(
            LoadShare(name, len(one.own_attempts), 0)
            for name, one in relay.loads.loads.items()
            if one.own_attempts
        )
        record_report(self.reports, relay.name, HostReport(1, own), self.now)
        others = {
            one.upstream: (one.in_flight, one.prefill_tokens)
            for one in loads_of_other_hosts(self.reports, relay.name, self.now)
        }
        seen_at = self.now
        self.at(
            self.now + 2 * MESSAGE_DELAY_S[1],
            lambda: replace_remote_loads(relay.loads, others, seen_at),
        )

    # Faults.

    def begin_fault(self, relays: list[SimulatedRelay]) -> None:
        """Begin the fault of the load."""
        fault = self.load.fault
        for relay in relays:
            if fault == "frozen":
                relay.frozen_until = self.now + 3.0
            relay.is_cut_off = fault == "cut off"
            relay.is_dead = fault == "dead"
        if fault == "owner lost":
            self.owner_up = False
            self.at(self.now + ELECTION_S, self.elect)
        if fault in ("fewer slots", "more slots"):
            changed = self.load.stated // 2
            if fault == "more slots":
                changed = self.load.stated
            self.records = [
                msgspec.structs.replace(one, capacity=changed) for one in self.records
            ]
            self.actual = changed

    def end_fault(self, relays: list[SimulatedRelay]) -> None:
        """Repair links."""
        for relay in relays:
            relay.is_cut_off = False

    def elect(self) -> None:
        """Begin the term of another owner."""
        self.owner_name, self.owner_up = "control-2", True
        self.section = SlotOwnerSection()
        start_term(self.section, 2, self.now)
