"""Relays that share the slots of one service, in virtual time and without network.

`python -m standins.shared_slots` prints the figures of design note 0077.
"""

import heapq
from dataclasses import replace
from types import SimpleNamespace

import msgspec

from cranberryfield.entry.relay.loads import InFlightAttempt
from cranberryfield.entry.relay.upstream_selection import (
    RelayCostModel,
    choose_relay_upstream,
)
from cranberryfield.entry.slots.asks import AskOutcome, SlotRequirements
from cranberryfield.entry.slots.client import (
    LOCAL_POLL_S,
    LOCAL_RETRY_S,
    LOCAL_WAIT_FRACTION,
    local_share,
)
from cranberryfield.entry.slots.relay_slots import (
    ANSWER_TIMEOUT_S,
    answer_due_at,
    ask_for_slot,
    end_number,
    hold_without_owner,
    is_owner_in_reach,
)
from cranberryfield.entry.slots.waiting_line import WaitingOrder, rank_then_slack
from standins.shared_slots_hosts import (
    DEADLINE_S,
    SERVICE,
    Call,
    Hosts,
    SimulatedRelay,
)
from standins.shared_slots_load import LOADS, Load, SlotRun

__all__ = ["run_relays"]

TARGET_S = 0.218
#: Refused attempts after which a request is refused, and retry times of today.
MAX_REFUSED_ATTEMPTS = 3
RETRY_S = (0.1, 0.4)
#: A caller returns after a refusal if its time to return is within this part of the
#: time left; one that repeats at once does so after a short time, and several times.
RETRY_LEFT_FRACTION = 1 / 3
REPEAT_S, MAX_REPEATS = 0.02, 10
#: Time from an ask until the owner's answer is looked for; a little later than it is
#: due, as virtual time is added up with errors.
CHECK_S = ANSWER_TIMEOUT_S + 0.001


class _World(Hosts):
    """Requests of callers and their attempts."""

    def arrive(self, call: Call) -> None:
        """Give a request to a relay."""
        relay = self.rng.choice(
            [one for one in self.relays if not one.is_dead] or self.relays
        )
        call.refused_by.clear()
        self.on_relay(relay, self.choose, call, self.now)

    def choose(self, relay: SimulatedRelay, call: Call, began: float) -> None:
        """Ask for a slot, or choose an upstream without it."""
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
        self, relay: SimulatedRelay, call: Call, upstream: str, number: int | None
    ) -> None:
        """Run a request, unless the upstream is full."""
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
        self, relay: SimulatedRelay, call: Call, upstream: str, number: int | None
    ) -> None:
        """End a run at its upstream."""
        self.running[upstream] -= 1
        self.on_relay(relay, self.answer, call, upstream, number)

    def answer(
        self, relay: SimulatedRelay, call: Call, upstream: str, number: int | None
    ) -> None:
        """Answer a request."""
        relay.loads.load_of(upstream).own_attempts.pop(call.id, None)
        if number is not None:
            held = relay.slots.held[number]
            self.result.outlasted += held.is_lent and held.lease_ends_at <= self.now
            end_number(relay.slots, number, self.now)
            self.flush_soon(relay)
        self.finish(call, self.now)

    def refuse(self, call: Call, retry_s: float) -> None:
        """Refuse a request, whose caller may return."""
        left_s = call.deadline - self.now
        if call.repeats_at_once and call.returns < MAX_REPEATS:
            retry_s = REPEAT_S
        elif call.returns or retry_s > RETRY_LEFT_FRACTION * left_s:
            self.finish(call)
            return
        call.returns += 1
        self.at(self.now + retry_s, self.arrive, call)

    def finish(self, call: Call, answered_at: float | None = None) -> None:
        """Count a request that its caller has no more of."""
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

    def resolve(self, relay: SimulatedRelay) -> None:
        """Go on with the requests whose asks are answered."""
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
        call = Call(
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
