"""Relays that share the slots of one service, in virtual time and without network.

`python -m standins.shared_slots` prints the figures of design note 0077.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from types import SimpleNamespace

import msgspec

from cranberryfield.core.messages.codec import Envelope, EnvelopeKind, encode_frame
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.reports import HostReport, LoadShare
from cranberryfield.core.messages.slots import SlotReplies
from cranberryfield.entry.relay.loads import (
    InFlightAttempt,
    LoadSection,
    replace_remote_loads,
)
from cranberryfield.entry.relay.upstream_selection import (
    RelayCostModel,
    choose_relay_upstream,
)
from cranberryfield.entry.reports.collector import (
    CollectedReports,
    loads_of_other_hosts,
    record_report,
)
from cranberryfield.entry.slots.asks import AskOutcome, SlotRequirements
from cranberryfield.entry.slots.client import (
    LOCAL_POLL_S,
    LOCAL_RETRY_S,
    LOCAL_WAIT_FRACTION,
    RENEWAL_INTERVAL_S,
    local_share,
)
from cranberryfield.entry.slots.owner import (
    SlotOwnerSection,
    advance_slots,
    receive_report,
    start_term,
)
from cranberryfield.entry.slots.relay_slots import (
    ANSWER_TIMEOUT_S,
    RelaySlots,
    answer_due_at,
    apply_replies,
    ask_for_slot,
    check_owner,
    end_number,
    hold_without_owner,
    is_owner_in_reach,
    make_report,
    needs_renewal,
    set_owner,
)
from cranberryfield.entry.slots.server import TICK_S
from cranberryfield.entry.slots.waiting_line import WaitingOrder, rank_then_slack

__all__ = ["Load", "SlotRun", "run_relays"]

REPORT_INTERVAL_S = 0.25
#: Delay of a message between two hosts, in seconds: two data centres, busy hosts.
MESSAGE_DELAY_S = (0.001, 0.004)
TARGET_S = 0.218
DEADLINE_S = 2.7
#: Refused attempts after which a request is refused, and retry times of today.
MAX_REFUSED_ATTEMPTS = 3
RETRY_S = (0.1, 0.4)
#: A caller returns after a refusal if its time to return is within this part of the
#: time left; one that repeats at once does so after a short time, and several times.
RETRY_LEFT_FRACTION = 1 / 3
REPEAT_S, MAX_REPEATS = 0.02, 10
ELECTION_S = 1.0
#: Time from an ask until the owner's answer is looked for; a little later than it is
#: due, as virtual time is added up with errors.
CHECK_S = ANSWER_TIMEOUT_S + 0.001
SERVICE = "booking"


@dataclass(frozen=True, slots=True)
class Load:
    """Load of the service, and what goes wrong.

    Attributes
    ----------
    relays : int
        Number of relays.
    rate_per_s, run_s : float
        Requests per second, and duration of an attempt in seconds.
    upstreams, stated, actual : int
        Number of upstreams, the slots that each states, and those that it has.
    workspaces : tuple of float
        Relative frequency of each workspace.
    burst : tuple of float
        Factor of the rate, and when it begins and ends, in seconds.
    repeating : float
        Fraction of callers that repeat refused requests at once.
    hot_session : float
        Fraction of the requests of the first workspace with the same session key.
    duration_s : float
        Time in which requests arrive, in seconds.
    fault : str
        ``frozen``, ``cut off``, ``dead`` for some relays, ``owner lost``, ``fewer
        slots``, ``more slots`` or none.
    """

    relays: int = 76
    rate_per_s: float = 78.5
    run_s: float = 0.045
    upstreams: int = 4
    stated: int = 6
    actual: int = 6
    workspaces: tuple[float, ...] = (1.0,) * 12
    burst: tuple[float, float, float] = (1.0, 0.0, 0.0)
    repeating: float = 0.0
    hot_session: float = 0.0
    duration_s: float = 20.0
    fault: str = ""


@dataclass(slots=True)
class SlotRun:
    """What has happened.

    Attributes
    ----------
    requests, in_target, late, failed : int
        Requests of callers, those answered within the target, answered later, and
        never answered.
    refused_attempts : int
        Attempts that upstreams have refused.
    messages, message_bytes : int
        Messages about slots, and their bytes as frames of their own.
    overused : int
        Times at which more leases of an upstream were valid than it states slots.
    late_grants, outlasted : int
        Grants that came too late to be used, and attempts that outlasted their lease.
    longest_fallback_s : float
        Longest time from an ask to an attempt that the relay chose by itself without
        waiting for room.
    slot_waits_s : list of float
        Time from each ask to the attempt, in seconds.
    answered_at : list of float
        Times of the answers, in seconds.
    served, asked : Counter
        Requests within the target, and all, by workspace, rank and session.
    """

    requests: int = 0
    in_target: int = 0
    late: int = 0
    failed: int = 0
    refused_attempts: int = 0
    messages: int = 0
    message_bytes: int = 0
    overused: int = 0
    late_grants: int = 0
    outlasted: int = 0
    longest_fallback_s: float = 0.0
    served: Counter = field(default_factory=Counter)
    asked: Counter = field(default_factory=Counter)
    answered_at: list[float] = field(default_factory=list)
    slot_waits_s: list[float] = field(default_factory=list)

    @property
    def share(self) -> float:
        """Fraction of the requests that were answered within the target."""
        return self.in_target / max(1, self.requests)

    @property
    def messages_each(self) -> float:
        """Messages for each request."""
        return self.messages / max(1, self.requests)

    def slot_wait_ms(self, fraction: float) -> float:
        """Return a quantile of the waits for a slot, in milliseconds."""
        waits_s = sorted(self.slot_waits_s) or [0.0]
        return 1000 * waits_s[int(fraction * (len(waits_s) - 1))]

    def fraction_served(self, key: tuple[str, object]) -> float:
        """Return the fraction of the requests with a key that met the target."""
        return self.served[key] / max(1, self.asked[key])


@dataclass(slots=True)
class _Call:
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
        return self.arrived_at + DEADLINE_S

    @property
    def keys(self) -> list[tuple[str, object]]:
        return [
            ("workspace", self.workspace),
            ("rank", self.rank),
            ("session", self.session),
        ]


@dataclass(slots=True)
class _Relay:
    name: str
    loads: LoadSection = field(default_factory=LoadSection)
    slots: RelaySlots | None = None
    waiting: dict[int, tuple] = field(default_factory=dict)
    frozen_until: float = 0.0
    is_cut_off: bool = False
    is_dead: bool = False
    is_flush_due: bool = False


class _World:
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
        self.relays = [_Relay(f"relay-{n}") for n in range(load.relays)]
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
        self.sequence += 1
        heapq.heappush(
            self.events, (max(when, self.now), self.sequence, action, arguments)
        )

    def on_relay(self, relay: _Relay, action: Callable, *arguments) -> None:
        """Run an action of a relay, after it has thawed; never on a dead one."""
        if relay.is_dead:
            return
        if relay.frozen_until > self.now:
            self.at(relay.frozen_until, self.on_relay, relay, action, *arguments)
            return
        action(relay, *arguments)

    def upstreams(self, service: str) -> list[UpstreamRecord]:
        return self.records

    # Requests and attempts.

    def arrive(self, call: _Call) -> None:
        relay = self.rng.choice(
            [one for one in self.relays if not one.is_dead] or self.relays
        )
        call.refused_by.clear()
        self.on_relay(relay, self.choose, call, self.now)

    def choose(self, relay: _Relay, call: _Call, began: float) -> None:
        if self.now >= call.deadline:
            self.finish(call)
            return
        request = SimpleNamespace(
            id=call.id, prompt_tokens=0, prompt_parts=(), affinity_key=None
        )
        record = choose_relay_upstream(
            self.records,
            relay.loads,
            request,
            frozenset(call.refused_by),
            "d",
            self.now,
            RelayCostModel(),
        )
        if record is None:
            self.refuse(call, self.rng.uniform(*RETRY_S))
            return
        if relay.slots is None:
            self.attempt(relay, call, record.upstream, None)
            return
        if is_owner_in_reach(relay.slots, self.now):
            requirements = SlotRequirements(
                SERVICE,
                call.workspace,
                call.rank,
                call.arrived_at,
                call.deadline,
                round(TARGET_S * 1000),
                call.session,
                tuple(sorted(call.refused_by)),
            )
            pending = ask_for_slot(relay.slots, requirements)
            relay.waiting[id(pending)] = (pending, call, began)
            self.flush_soon(relay)
            self.at(self.now + CHECK_S, self.check, relay)
            return
        used = len(relay.slots.held)
        slots = sum(one.capacity for one in self.records)
        if used < local_share(slots, len(self.relays)):
            number = hold_without_owner(relay.slots, SERVICE, record.process, self.now)
            if not call.has_lacked_room:
                waited_s = self.now - began
                self.result.longest_fallback_s = max(
                    self.result.longest_fallback_s, waited_s
                )
            self.attempt(relay, call, record.upstream, number)
        elif self.now - began > LOCAL_WAIT_FRACTION * DEADLINE_S:
            self.refuse(call, self.rng.uniform(*LOCAL_RETRY_S))
        else:
            call.has_lacked_room = True
            self.at(
                self.now + LOCAL_POLL_S, self.on_relay, relay, self.choose, call, began
            )

    def attempt(
        self, relay: _Relay, call: _Call, upstream: str, number: int | None
    ) -> None:
        if self.running[upstream] >= self.actual:
            self.result.refused_attempts += 1
            call.refused_by.add(upstream)
            if number is not None:
                end_number(relay.slots, number, self.now, was_refused=True)
                self.flush_soon(relay)
            if len(call.refused_by) >= MAX_REFUSED_ATTEMPTS:
                self.refuse(call, self.rng.uniform(*RETRY_S))
            else:
                self.choose(relay, call, self.now)
            return
        self.running[upstream] += 1
        relay.loads.load_of(upstream).own_attempts[call.id] = InFlightAttempt(0, 0)
        run_s = self.load.run_s * self.rng.uniform(0.8, 1.2)
        self.at(self.now + run_s, self.end_run, relay, call, upstream, number)

    def end_run(
        self, relay: _Relay, call: _Call, upstream: str, number: int | None
    ) -> None:
        self.running[upstream] -= 1
        self.on_relay(relay, self.answer, call, upstream, number)

    def answer(
        self, relay: _Relay, call: _Call, upstream: str, number: int | None
    ) -> None:
        relay.loads.load_of(upstream).own_attempts.pop(call.id, None)
        if number is not None:
            held = relay.slots.held[number]
            self.result.outlasted += held.is_lent and held.lease_ends_at <= self.now
            end_number(relay.slots, number, self.now)
            self.flush_soon(relay)
        self.finish(call, self.now)

    def refuse(self, call: _Call, retry_s: float) -> None:
        left_s = call.deadline - self.now
        if call.repeats_at_once and call.returns < MAX_REPEATS:
            retry_s = REPEAT_S
        elif call.returns or retry_s > RETRY_LEFT_FRACTION * left_s:
            self.finish(call)
            return
        call.returns += 1
        self.at(self.now + retry_s, self.arrive, call)

    def finish(self, call: _Call, answered_at: float | None = None) -> None:
        if call.is_done:
            return
        call.is_done = True
        result = self.result
        took_s = None if answered_at is None else answered_at - call.arrived_at
        in_target = took_s is not None and took_s <= TARGET_S
        result.in_target += in_target
        result.failed += took_s is None
        result.late += took_s is not None and not in_target
        if answered_at is not None:
            result.answered_at.append(answered_at)
        for key in call.keys:
            result.served[key] += in_target

    # Messages.

    def send(self, sender: str, relay: _Relay, message, deliver: Callable) -> None:
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

    def flush_soon(self, relay: _Relay) -> None:
        if not relay.is_flush_due:
            relay.is_flush_due = True
            self.at(self.now, self.on_relay, relay, self.flush)

    def flush(self, relay: _Relay) -> None:
        relay.is_flush_due = False
        state = relay.slots
        if state.is_report_due and is_owner_in_reach(state, self.now):
            self.report(relay, False)

    def report(self, relay: _Relay, is_renewal: bool) -> None:
        message = make_report(relay.slots, self.now, is_renewal)
        self.send(relay.name, relay, message, self.on_report)

    def renew(self, relay: _Relay) -> None:
        self.at(self.now + RENEWAL_INTERVAL_S, self.renew, relay)
        if relay.slots is not None:
            self.on_relay(relay, self.renew_now)

    def renew_now(self, relay: _Relay) -> None:
        state = relay.slots
        set_owner(state, self.owner_name)
        if needs_renewal(state, self.now):
            self.report(relay, True)
        self.resolve(relay)

    def check(self, relay: _Relay) -> None:
        self.on_relay(relay, self.check_now)

    def check_now(self, relay: _Relay) -> None:
        check_owner(relay.slots, self.now)
        self.resolve(relay)

    def on_report(self, relay: _Relay, message) -> None:
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
        by_name = {one.name: one for one in self.relays}
        for name, reply in replies.items():
            self.send(self.owner_name, by_name[name], reply, self.on_reply)

    def on_reply(self, relay: _Relay, message: SlotReplies) -> None:
        self.on_relay(relay, self.apply, self.owner_name, message)

    def apply(self, relay: _Relay, owner: str, message: SlotReplies) -> None:
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

    def resolve(self, relay: _Relay) -> None:
        for key, (pending, call, began) in list(relay.waiting.items()):
            if pending.outcome is AskOutcome.WAITING:
                if self.now >= call.deadline:
                    end_number(relay.slots, pending.number, self.now)
                    del relay.waiting[key]
                    self.finish(call)
                    self.flush_soon(relay)
                elif (due_at := answer_due_at(relay.slots)) is not None:
                    self.at(max(due_at, self.now + CHECK_S), self.check, relay)
                continue
            del relay.waiting[key]
            if pending.outcome is AskOutcome.GRANTED:
                self.result.slot_waits_s.append(self.now - began)
                self.attempt(relay, call, pending.process[0], pending.number)
            elif pending.outcome is AskOutcome.REFUSED:
                self.refuse(call, pending.refusal.retry_ms / 1000)
            else:
                is_late = is_owner_in_reach(relay.slots, self.now)
                self.result.late_grants += is_late
                self.choose(relay, call, began)

    def tick(self) -> None:
        self.at(self.now + TICK_S, self.tick)
        if self.owner_up:
            self.send_replies(
                advance_slots(
                    self.section, self.upstreams, self.now, self.rng, self.order
                )
            )

    def report_loads(self, relay: _Relay) -> None:
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

    def begin_fault(self, relays: list[_Relay]) -> None:
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

    def end_fault(self, relays: list[_Relay]) -> None:
        for relay in relays:
            relay.is_cut_off = False

    def elect(self) -> None:
        self.owner_name, self.owner_up = "control-2", True
        self.section = SlotOwnerSection()
        start_term(self.section, 2, self.now)


def run_relays(
    load: Load,
    seed: int,
    is_shared: bool,
    order: WaitingOrder = rank_then_slack,
) -> SlotRun:
    """Run relays under a load, with shared slots or with today's choice.

    Parameters
    ----------
    load : Load
        The load.
    seed : int
        Seed of the random numbers.
    is_shared : bool
        Whether slots are shared.
    order : callable
        Order of waiting within a workspace.
    """
    world = _World(load, seed, is_shared, order)
    if load.fault == "more slots":
        world.records = [
            msgspec.structs.replace(one, capacity=load.stated // 2)
            for one in world.records
        ]
    rng, when, count = world.rng, 0.0, 0
    factor, burst_from, burst_to = load.burst
    while when < load.duration_s:
        rate = load.rate_per_s * (factor if burst_from <= when < burst_to else 1.0)
        rate *= sum(load.workspaces) / len(load.workspaces)
        when += rng.expovariate(rate)
        number = rng.choices(range(len(load.workspaces)), load.workspaces)[0]
        is_hot = number == 0 and rng.random() < load.hot_session
        count += 1
        call = _Call(
            f"q{count}",
            f"w{number}",
            2 if rng.random() < 0.714 else 1,
            "hot" if is_hot else "",
            when,
            rng.random() < load.repeating,
        )
        world.result.requests += 1
        world.result.asked.update(call.keys)
        world.at(when, world.arrive, call)
    if is_shared:
        world.at(0.0, world.tick)
    faulty = world.relays[: max(1, len(world.relays) // 8)]
    world.at(load.duration_s * 0.4, world.begin_fault, faulty)
    world.at(load.duration_s * 0.6, world.end_fault, faulty)
    end = load.duration_s + DEADLINE_S + 1.0
    while world.events and world.events[0][0] < end:
        world.now, _, action, arguments = heapq.heappop(world.events)
        action(*arguments)
    answered = world.result.in_target + world.result.late
    world.result.failed = world.result.requests - answered
    return world.result


#: Loads of design note 0077.
LOADS = {
    "usual": Load(),
    "burst 1.7": Load(burst=(1.7, 5.0, 15.0)),
    "hot workspace": Load(workspaces=(7.5, *(1.0,) * 11)),
    "half the slots taken": Load(actual=3),
    "one upstream left": Load(upstreams=1),
    "one left, burst, repeating": Load(
        upstreams=1, burst=(1.7, 5.0, 15.0), repeating=0.3
    ),
    "one left, hot workspace": Load(
        upstreams=1, workspaces=(7.5, *(1.0,) * 11), repeating=0.3
    ),
}


def main() -> None:
    """Print the figures of each load, before and after."""
    for relays in (76, 200, 360):
        for name, load in LOADS.items():
            load = replace(load, relays=relays)
            for is_shared in (False, True):
                run = run_relays(load, 1, is_shared)
                print(
                    f"{relays:4} {name:28} {'shared' if is_shared else 'today ':6}"
                    f" in target {run.share:.4f} failed {run.failed:5}"
                    f" refused by upstreams {run.refused_attempts:6}"
                    f" wait p50 {run.slot_wait_ms(0.5):4.1f} p95"
                    f" {run.slot_wait_ms(0.95):6.1f} ms"
                    f" messages {run.messages_each:5.2f}"
                    f" bytes {run.message_bytes / max(1, run.requests):5.0f}"
                )


if __name__ == "__main__":
    main()
