"""Model of relays and upstreams during a rollout, in virtual time.

Relays send the granted share of their own arrivals to the target version; the
decisions are those of `cranberryfield.control.rollouts`.
"""

import heapq
from dataclasses import dataclass, field
from math import ceil, log2
from random import Random

from cranberryfield.control.rollouts.leadership import (
    Leadership,
    decide_rollouts,
    make_grants,
    record_report,
)
from cranberryfield.control.rollouts.machine import (
    RolloutsState,
    apply_rollout_command,
)
from cranberryfield.control.rollouts.plan import ExposureBound, VersionsServing
from cranberryfield.core.messages.rollouts import (
    AdvanceRollout,
    BeginRollout,
    RolloutCounts,
    RolloutReport,
    RolloutStage,
    VersionCounts,
)
from standins.rollout_loads import DATA_CENTRES, Disruption, Fault, Outcome, Service

__all__ = ["run_rollout"]

STEP_S = 0.05
REPORT_S = 0.25
DECIDE_S = 0.2
LINK_S = 0.02
COMMIT_S = 0.03
ELECTION_S = 1.5
MAX_CREDIT = 2.0
#: Wall-clock time at the order, in seconds.
WALL_S = 1_000.0
#: Time after which a run without an answer has failed, in seconds.
TIMEOUT_S = 6.0
#: Averaging time of the load at the target version, in seconds.
LOAD_WINDOW_S = 0.2
USUAL_FAILURES = 0.003
SPREAD = 0.4


@dataclass(slots=True)
class _Relay:
    name: str
    rate_part: float
    data_centre: str
    credit: float
    report_at: float
    incarnation: int = 1
    term: int = 0
    revision: int = -1
    stage: RolloutStage | None = None
    share: float = 0.0
    lease_until: float = 0.0
    arrivals: int = 0
    target_attempts: int = 0
    running_elsewhere: int = 0
    cells: dict = field(default_factory=dict)
    cut: tuple[float, float] = (9e9, 9e9)

    def report(self, number: int) -> RolloutReport:
        counts = tuple(
            VersionCounts(*key, cell[0], cell[1], tuple(cell[2]))
            for key, cell in self.cells.items()
        )
        totals = (self.arrivals, self.target_attempts, self.running_elsewhere)
        return RolloutReport(
            self.incarnation,
            max(0, self.revision),
            (RolloutCounts(number, *totals, counts),),
        )

    def take(self, grants, now: float) -> None:
        if not grants.term or (grants.term, grants.revision) < (
            self.term,
            self.revision,
        ):
            return
        self.term, self.revision = grants.term, grants.revision
        for grant in grants.grants:
            if self.stage is not None and grant.stage < self.stage:
                continue
            self.stage, self.share = grant.stage, grant.share
            self.lease_until = now + grant.lease_ms / 1000

    def picks_target(self, now: float) -> bool:
        """Decide on one attempt; the credit is earned at the arrival."""
        if self.stage is RolloutStage.COMPLETED or self.stage is RolloutStage.SWITCHING:
            return True
        if now > self.lease_until or self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


def run_rollout(
    seed: int,
    service: Service,
    fault: Fault | None = None,
    disruption: Disruption | None = None,
    *,
    relays: int = 66,
    duration_s: float = 12.0,
    bound: ExposureBound,
    leader_lost_at: float | None = None,
    leader_lost_in: RolloutStage | None = None,
    frozen: tuple[int, float, float] | None = None,
    cut_off: tuple[int, float, float] | None = None,
    restarted_at: float | None = None,
    target_from_s: float | None = None,
    has_old: bool = True,
    rate_factor: float = 1.0,
    decide=decide_rollouts,
    initial_credit: bool = True,
    is_concentrated: bool = True,
) -> Outcome:
    """Run one rollout of the model.

    Parameters
    ----------
    seed : int
        Seed of all draws.
    service : Service
        Load.
    fault, disruption : optional
        What is wrong with the target version, and what happens to both.
    relays : int
        Number of relays; their parts of the traffic differ.
    duration_s : float
        Time from the order to the deadline.
    bound : ExposureBound
        The bound.
    leader_lost_at : float, optional
        Time at which the leader is lost; the next one leads 1.5 s later.
    leader_lost_in : RolloutStage, optional
        Stage 0.3 s after whose beginning it is lost.
    frozen, cut_off : tuple, optional
        Number of relays that are frozen or cut off from the leader, from when, and
        until when.
    restarted_at : float, optional
        Time at which all hosts lose power; they are back 2 s later.
    target_from_s : float, optional
        Time at which the upstreams of the target are announced; drawn if not given.
    has_old : bool
        Whether upstreams of another version serve.
    rate_factor : float
        Factor of the load.
    decide : callable
        The decision, to be replaced in tests that show that a bound can fail.
    initial_credit : bool
        Whether relays begin with a credit drawn between 0 and 1.
    is_concentrated : bool
        Whether relays send a share to as large a part of the target's upstreams, so
        that each has about its usual load.

    Returns
    -------
    Outcome
        What happened by the deadline.
    """
    rng = Random(seed)
    outcome = Outcome()
    state = RolloutsState()
    order = BeginRollout("s", "v2", int(duration_s * 1000), int(WALL_S * 1000), ("v1",))
    apply_rollout_command(state, order)
    rollout = state.latest["s"]
    fleet = _draw_relays(rng, relays, initial_credit)
    routes = sorted(service.routes)
    weights = [service.routes[one][0] for one in routes]
    target_from_s = rng.uniform(0.8, 2.0) if target_from_s is None else target_from_s
    leadership = Leadership(1, -5.0)
    leader_back_at = None
    events: list = []  # (time, sequence, kind, ...)
    sequence = 0
    pending_commits: list = []
    decide_at = 0.0
    bad_answers = 0
    recent = [0.0, 0.0]  # Decayed numbers of arrivals and of attempts at the target.
    now = 0.0
    total_rate = service.rate_per_s * rate_factor
    dark_until = 0.0

    def is_away(index: int) -> bool:
        for span in (frozen, cut_off):
            if span is not None and index < span[0] and span[1] <= now < span[2]:
                return True
        return False

    def is_frozen(index: int) -> bool:
        return frozen is not None and index < frozen[0] and frozen[1] <= now < frozen[2]

    def used_part() -> float:
        """Return the part of the target's upstreams that relays use."""
        if not is_concentrated or rollout.stage >= RolloutStage.SWITCHING:
            return 1.0
        share = max(relay.share for relay in fleet)
        return max(1, ceil(share * service.upstreams)) / service.upstreams

    def start_attempt(relay: _Relay, index: int, route: str, is_retry: bool) -> None:
        nonlocal sequence
        has_target = now >= target_from_s
        if not has_old:
            is_target = has_target
        else:
            is_target = has_target and relay.picks_target(now)
        recent[1] += is_target
        _, median_ms, rest_ms = service.routes[route]
        place = relay.data_centre if rng.random() < 0.8 else rng.choice(DATA_CENTRES)
        duration_ms = median_ms * rng.lognormvariate(0.0, SPREAD)
        failed = rng.random() < USUAL_FAILURES
        is_bad = False
        if is_target:
            relay.target_attempts += 1
            outcome.exposed += 1
            if not is_away(index):
                outcome.last_exposed_s = now
            if fault is not None and _applies(
                fault, route, place, now, recent, used_part()
            ):
                if fault.slowness > 1.0:
                    duration_ms *= fault.slowness
                    is_bad = True
                if rng.random() < fault.failures:
                    failed = is_bad = True
        else:
            relay.running_elsewhere += 1
        cell = relay.cells.setdefault((route, place, is_target), [0, 0, [0] * 28])
        cell[0] += 1
        if (
            disruption is not None
            and disruption.begins_s <= now < disruption.ends_s
            and (is_target or not disruption.is_target_only)
            and disruption.data_centre in (None, place)
        ):
            failed = failed or rng.random() < disruption.failures
        first_s = duration_ms / 1000
        end_s = first_s * 0.7 if failed else first_s + rest_ms / 1000
        sequence += 1
        details = (relay, relay.incarnation, index, route, cell, is_target)
        ends = (is_bad, failed, duration_ms, is_retry)
        heapq.heappush(events, (now + min(end_s, TIMEOUT_S), sequence, details, ends))

    def finish_attempt(details, ends) -> None:
        nonlocal bad_answers
        relay, incarnation, index, route, cell, is_target = details
        is_bad, failed, duration_ms, is_retry = ends
        if is_bad:
            bad_answers += 1
            if bad_answers == 50:
                outcome.bad_limit_at_s = now
        if relay.incarnation != incarnation:
            return
        if not is_target:
            relay.running_elsewhere -= 1
        if failed:
            cell[1] += 1
            if not is_retry:
                start_attempt(relay, index, route, True)
        else:
            cell[2][min(27, int(2 * log2(max(1.0, duration_ms))))] += 1

    def push() -> None:
        grants = make_grants(leadership, state)
        for index, relay in enumerate(fleet):
            if not is_away(index):
                relay.take(grants, now)

    while now < duration_s:
        now = round(now + STEP_S, 6)
        decay = 1.0 - STEP_S / LOAD_WINDOW_S
        recent[0] *= decay
        recent[1] *= decay
        if leader_lost_at is not None and leadership and now >= leader_lost_at:
            leadership, pending_commits = None, []
            leader_back_at, leader_lost_at = now + ELECTION_S, None
        if restarted_at is not None and now >= restarted_at:
            dark_until, restarted_at = now + 2.0, None
            leadership, pending_commits = None, []
            leader_back_at = dark_until + ELECTION_S
            events.clear()
            for relay in fleet:
                relay.incarnation += 1
                relay.arrivals = relay.target_attempts = relay.running_elsewhere = 0
                relay.cells = {}
                relay.stage, relay.share, relay.lease_until = None, 0.0, 0.0
                relay.term, relay.revision, relay.credit = 0, -1, rng.random()
        if leader_back_at is not None and now >= leader_back_at:
            leadership = Leadership(2, now)
            leader_back_at = None
        if leader_lost_in is not None and rollout.stage is leader_lost_in:
            leader_lost_at, leader_lost_in = now + 0.3, None
        while events and events[0][0] <= now:
            _, _, details, ends = heapq.heappop(events)
            finish_attempt(details, ends)
        if now < dark_until:
            continue
        for index, relay in enumerate(fleet):
            if is_frozen(index):
                continue
            mean = total_rate * relay.rate_part * STEP_S
            for _ in range(_poisson(rng, mean)):
                outcome.arrivals += 1
                recent[0] += 1
                relay.arrivals += 1
                if relay.stage is not None and now <= relay.lease_until:
                    relay.credit = min(MAX_CREDIT, relay.credit + relay.share)
                start_attempt(relay, index, rng.choices(routes, weights)[0], False)
            if now >= relay.report_at and leadership and not is_away(index):
                relay.report_at = now + REPORT_S
                record_report(leadership, relay.name, relay.report(1), now)
                relay.take(make_grants(leadership, state), now)
        for ready_at, command in list(pending_commits):
            if now >= ready_at:
                pending_commits.remove((ready_at, command))
                before = rollout.stage
                apply_rollout_command(state, command)
                if rollout.stage is not before:
                    outcome.stages.append((now, int(rollout.stage), rollout.reason))
                    if rollout.stage is RolloutStage.COMPLETED:
                        outcome.killed = sum(one.running_elsewhere for one in fleet)
                if rollout.has_ended and outcome.ended_s is None:
                    outcome.ended_s = now
                if leadership:
                    push()
        if leadership and now >= decide_at:
            decide_at = now + DECIDE_S
            upstreams = service.upstreams if now >= target_from_s else 0
            slots = 8 * upstreams
            old = (service.upstreams, 8 * service.upstreams) if has_old else (0, 0)
            serving = {"s": VersionsServing(upstreams, slots, *old)}
            revision = leadership.revision
            due = decide(leadership, state, serving, bound, now, WALL_S + now)
            for one, plan in due:
                command = AdvanceRollout(one.number, plan.next_stage, plan.reason)
                pending_commits.append((now + COMMIT_S, command))
            if leadership.revision != revision:
                push()
    outcome.stage, outcome.reason = rollout.stage, rollout.reason
    return outcome


def _draw_relays(rng: Random, count: int, initial_credit: bool) -> list[_Relay]:
    """Draw relays, the busiest of which get many times the traffic of others."""
    parts = [rng.lognormvariate(0.0, 1.0) for _ in range(count)]
    return [
        _Relay(
            f"relay-{index}",
            part / sum(parts),
            DATA_CENTRES[index % len(DATA_CENTRES)],
            rng.random() if initial_credit else 0.0,
            rng.uniform(0.0, REPORT_S),
        )
        for index, part in enumerate(parts)
    ]


def _applies(
    fault: Fault, route: str, place: str, now: float, recent, used_part: float
) -> bool:
    return (
        fault.route in (None, route)
        and fault.data_centre in (None, place)
        and now >= fault.from_s
        and recent[1] >= fault.load * used_part * max(recent[0], 1.0)
    )


def _poisson(rng: Random, mean: float) -> int:
    """Draw from a Poisson distribution with a small mean."""
    count, passed = 0, rng.expovariate(1.0)
    while passed < mean:
        count += 1
        passed += rng.expovariate(1.0)
    return count
