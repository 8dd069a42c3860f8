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
    VersionsServing,
    decide_rollouts,
    make_grants,
    record_report,
)
from cranberryfield.control.rollouts.machine import (
    RolloutsState,
    apply_rollout_command,
)
from cranberryfield.control.rollouts.plan import ExposureBound
from cranberryfield.core.messages.rollouts import (
    AdvanceRollout,
    BeginRollout,
    RolloutCounts,
    RolloutReport,
    RolloutStage,
    VersionCounts,
)

__all__ = [
    "BAD_KINDS",
    "ENGINE_SERVICE",
    "PLAIN_SERVICE",
    "Disruption",
    "Fault",
    "Outcome",
    "Service",
    "draw_bad_fault",
    "draw_disruption",
    "run_rollout",
]

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
DATA_CENTRES = ("fann", "glen", "moor")


@dataclass(frozen=True, slots=True)
class Service:
    """Load of a service.

    Attributes
    ----------
    routes : dict
        By route: requests per second, median time to the first event in ms, and the
        time of the events after it in ms.
    upstreams : int
        Upstreams of each version.
    """

    routes: dict[str, tuple[float, float, float]]
    upstreams: int

    @property
    def rate_per_s(self) -> float:
        """Requests per second on all routes."""
        return sum(rate for rate, _, _ in self.routes.values())


ENGINE_SERVICE = Service(
    {
        "drafts": (102.0, 420.0, 900.0),
        "chat": (75.0, 130.0, 600.0),
        "triage": (163.0, 160.0, 60.0),
    },
    30,
)
PLAIN_SERVICE = Service({"booking": (70.0, 55.0, 0.0), "lookup": (28.0, 55.0, 0.0)}, 4)

#: Kinds of bad versions: what is wrong, and where or when.
BAD_KINDS = tuple(
    (what, where)
    for what in ("fails", "slow")
    for where in ("at once", "later", "load", "route", "data centre")
)


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with the target version.

    Attributes
    ----------
    failures : float
        Part of the answers that are failures.
    slowness : float
        Factor of the duration.
    from_s : float
        Time since the order from which it is so.
    load : float
        Load of an upstream from which it is so, as a part of its load once all
        requests are sent to the target.
    route, data_centre : str or None
        Where it is so; None for everywhere.
    """

    failures: float = 0.0
    slowness: float = 1.0
    from_s: float = 0.0
    load: float = 0.0
    route: str | None = None
    data_centre: str | None = None


@dataclass(frozen=True, slots=True)
class Disruption:
    """A burst of failures in an interval.

    Attributes
    ----------
    begins_s, ends_s : float
        Interval since the order.
    failures : float
        Part of the answers that fail in it.
    is_target_only : bool
        Whether only the target version is hit, as by a crash of one upstream.
    data_centre : str or None
        Where; None for everywhere.
    """

    begins_s: float
    ends_s: float
    failures: float
    is_target_only: bool = False
    data_centre: str | None = None


def draw_bad_fault(rng: Random, kind: tuple[str, str], service: Service) -> Fault:
    """Draw a bad version of a kind from `BAD_KINDS`."""
    what, where = kind
    return Fault(
        failures=rng.uniform(0.15, 0.7) if what == "fails" else 0.0,
        slowness=rng.uniform(3.0, 6.0) if what == "slow" else 1.0,
        from_s=rng.uniform(2.0, 6.5) if where == "later" else 0.0,
        load=rng.uniform(0.15, 0.8) if where == "load" else 0.0,
        route=rng.choice(sorted(service.routes)) if where == "route" else None,
        data_centre=rng.choice(DATA_CENTRES) if where == "data centre" else None,
    )


def draw_disruption(rng: Random, service: Service) -> Disruption | None:
    """Draw a disruption that says nothing against the target version, or none."""
    begins_s = rng.uniform(2.0, 9.0)
    kind = rng.randrange(4)
    if kind == 0:
        return None
    if kind == 1:
        return Disruption(begins_s, begins_s + rng.uniform(0.3, 1.5), 0.4)
    if kind == 2:
        place = rng.choice(DATA_CENTRES)
        return Disruption(begins_s, begins_s + 1.5, 0.8, data_centre=place)
    return Disruption(begins_s, begins_s + 0.4, 1.0 / service.upstreams, True)


@dataclass(slots=True)
class Outcome:
    """Result of one run of the model.

    Attributes
    ----------
    stage : RolloutStage
        Stage at the deadline.
    ended_s : float or None
        Time of the end since the order.
    arrivals, exposed : int
        Requests by the deadline, and attempts at the target by then.
    bad_limit_at_s : float or None
        Time of the 50th bad answer.
    last_exposed_s : float
        Time of the last attempt at the target from a relay in touch.
    reason : str
        Reason of the last stage.
    killed : int
        Runs on old upstreams at completion.
    """

    stage: RolloutStage = RolloutStage.OBSERVING
    ended_s: float | None = None
    arrivals: int = 0
    exposed: int = 0
    bad_limit_at_s: float | None = None
    last_exposed_s: float = 0.0
    reason: str = ""
    killed: int = 0
    stages: list[tuple[float, int, str]] = field(default_factory=list)

    def exceeds(self, bound: ExposureBound, rollback_s: float = 5.0) -> bool:
        """Return whether a bad version got more than the bound allows."""
        is_more = self.exposed > bound.ratio * self.arrivals + bound.allowance
        is_late = (
            self.bad_limit_at_s is not None
            and self.last_exposed_s > self.bad_limit_at_s + rollback_s
        )
        return is_more or is_late


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
