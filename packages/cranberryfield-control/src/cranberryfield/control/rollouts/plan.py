"""Plan of a rollout: the share of the target version, and the next stage."""

from dataclasses import dataclass

from cranberryfield.control.rollouts.verdict import Finding, Verdict
from cranberryfield.core.messages.rollouts import RolloutStage

__all__ = [
    "LEASE_S",
    "ExposureBound",
    "Plan",
    "Situation",
    "VersionsServing",
    "plan_rollout",
]

#: Validity of a granted share, in seconds.
LEASE_S = 3.0
#: Number of outcomes of the target version for which the share is chosen.
WANTED_OUTCOMES = 110
#: Least share while observing, as a part of the exposure ratio.
MIN_RATIO_PART = 0.4
#: Part of the allowance that the plan uses; the rest covers requests that are counted
#: late.
ALLOWANCE_PART = 0.8
#: Factor by which the rate of requests may grow within a lease without exceeding the
#: bound.
BURST_FACTOR = 2.0
#: Time before the deadline at which the share begins to grow, as a part of the
#: duration with bounds in seconds. Old runs must end in what is left of it.
TAIL_PART, TAIL_MIN_S, TAIL_MAX_S = 0.5, 4.5, 12.0
#: The same for a version that has not been found good or bad by then.
LAST_PART, LAST_MIN_S, LAST_MAX_S = 0.36, 4.0, 8.0
#: Shares between the observed one and all, and the time at each, in seconds: two
#: reports and their way, so that a fault under load shows at a part of the traffic.
GROWING_SHARES = (0.25, 0.5)
STEP_S = 1.0
SHORT_STEP_S = 0.4
#: Part of the last time before the deadline that the switch needs; a version in doubt
#: waits up to then.
MIN_SWITCH_LEFT_PART = 0.6
#: Least time at the full share before the rollout is completed, in seconds.
MIN_SWITCHING_S = 1.0
#: Least number of outcomes, or part of all requests if that is less, for a switch that
#: the deadline asks for.
MIN_LAST_OUTCOMES, MIN_LAST_PART = 5, 0.1
#: Time before the deadline at which a rollout that cannot be completed is rolled
#: back, in seconds; the end must be committed by the deadline.
END_MARGIN_S = 0.6
#: Least part of the old versions' slots for the share to grow before the last moment.
MIN_CAPACITY_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class ExposureBound:
    """Bound on the requests of a version that may be bad.

    Attributes
    ----------
    ratio : float
        Fraction of the service's requests.
    allowance : float
        Number of requests beyond that.
    """

    ratio: float
    allowance: float


@dataclass(frozen=True, slots=True)
class VersionsServing:
    """Announced upstreams of a service by version.

    Attributes
    ----------
    target_upstreams, target_slots : int
        Upstreams of the target version, and their slots.
    other_upstreams, other_slots : int
        The same of other versions.
    is_complete : bool
        Whether this host has been up for long enough to have heard of all upstreams.
    """

    target_upstreams: int = 0
    target_slots: int = 0
    other_upstreams: int = 0
    other_slots: int = 0
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class Situation:
    """What the leader knows of a rollout.

    Attributes
    ----------
    stage : RolloutStage
        Stage in the log.
    elapsed_s, duration_s : float
        Time since the order, and from the order to the deadline.
    stage_s : float
        Time for which this leader has seen the stage.
    verdict : Verdict
        Result of the test so far.
    arrivals, target_attempts : float
        Requests of the service, and attempts at the target version including those
        that relays may still make on earlier grants.
    rate_per_s : float
        Requests of the service per second.
    target_upstreams : int
        Announced upstreams of the target version.
    has_other_upstreams : bool
        Whether upstreams of other versions are announced, or may be unknown yet.
    capacity_ratio : float
        Slots of the target version by slots of other versions.
    has_reports : bool
        Whether relays report.
    is_inherited : bool
        Whether an earlier leader began the rollout; attempts by relays that have
        ended are not known then.
    is_drained : bool
        Whether all relays in touch know the switch and run nothing elsewhere.
    outcomes : int
        Outcomes of the target version that this leader knows.
    """

    stage: RolloutStage
    elapsed_s: float
    duration_s: float
    stage_s: float
    verdict: Verdict
    arrivals: float = 0.0
    target_attempts: float = 0.0
    rate_per_s: float = 0.0
    target_upstreams: int = 0
    has_other_upstreams: bool = True
    capacity_ratio: float = 1.0
    has_reports: bool = True
    is_inherited: bool = False
    is_drained: bool = False
    outcomes: int = 0

    @property
    def left_s(self) -> float:
        """Time to the deadline in seconds."""
        return self.duration_s - self.elapsed_s


@dataclass(frozen=True, slots=True)
class Plan:
    """Share to grant now, and the stage to propose if it differs.

    Attributes
    ----------
    share : float
        Fraction of each relay's requests for the target version.
    next_stage : RolloutStage or None
        Stage to propose.
    reason : str
        Why.
    """

    share: float
    next_stage: RolloutStage | None = None
    reason: str = ""


def plan_rollout(situation: Situation, bound: ExposureBound) -> Plan:
    """Decide on the share and the stage of a rollout.

    Parameters
    ----------
    situation : Situation
        What is known.
    bound : ExposureBound
        Exposure of a version that is not known to be good.

    Returns
    -------
    Plan
        The decision.

    Examples
    --------
    >>> bad = Verdict(Finding.BAD, True, "9 of 20 failed")
    >>> situation = Situation(RolloutStage.OBSERVING, 3.0, 12.0, 3.0, bad)
    >>> plan_rollout(situation, ExposureBound(0.1, 50.0)).next_stage.name
    'ROLLED_BACK'
    """
    stage = situation.stage
    if stage is RolloutStage.COMPLETED:
        return Plan(1.0)
    if stage is RolloutStage.ROLLED_BACK:
        return Plan(0.0)
    if situation.verdict.finding is Finding.BAD:
        return Plan(0.0, RolloutStage.ROLLED_BACK, situation.verdict.reason)
    match stage:
        case RolloutStage.OBSERVING:
            return _observe(situation, bound)
        case RolloutStage.ADVANCING:
            return _advance(situation, bound)
    return _switch(situation)


def _observe(situation: Situation, bound: ExposureBound) -> Plan:
    left_s = situation.left_s
    if not situation.target_upstreams:
        if left_s <= END_MARGIN_S:
            reason = "no upstream of the version has announced itself"
            return Plan(0.0, RolloutStage.ROLLED_BACK, reason)
        return Plan(0.0)
    if left_s <= END_MARGIN_S:
        reason = f"deadline: {situation.verdict.reason}"
        return Plan(0.0, RolloutStage.ROLLED_BACK, reason)
    if not situation.has_reports:
        return Plan(0.0)
    if not situation.has_other_upstreams:
        reason = "no upstream of another version serves"
        return Plan(1.0, RolloutStage.SWITCHING, reason)
    share = _observing_share(situation, bound)
    tail_s = min(max(TAIL_PART * situation.duration_s, TAIL_MIN_S), TAIL_MAX_S)
    last_s = min(max(LAST_PART * situation.duration_s, LAST_MIN_S), LAST_MAX_S)
    is_good = situation.verdict.finding is Finding.GOOD
    has_room = situation.capacity_ratio >= MIN_CAPACITY_RATIO
    if is_good and has_room and left_s <= tail_s:
        return Plan(share, RolloutStage.ADVANCING, situation.verdict.reason)
    if left_s <= last_s:
        if situation.verdict.is_suspect:
            reason = f"deadline: {situation.verdict.reason}"
            return Plan(0.0, RolloutStage.ROLLED_BACK, reason)
        reason = f"deadline, nothing against it: {situation.verdict.reason}"
        return Plan(share, RolloutStage.ADVANCING, reason)
    return Plan(share)


def _observing_share(situation: Situation, bound: ExposureBound) -> float:
    """Return the share that gives the wanted sample without exceeding the bound."""
    highest = _highest_share(situation, bound)
    tail_s = min(max(TAIL_PART * situation.duration_s, TAIL_MIN_S), TAIL_MAX_S)
    time_s = situation.left_s - tail_s
    missing = WANTED_OUTCOMES - situation.target_attempts
    if time_s <= 0.5 or situation.rate_per_s <= 0.0:
        wanted = bound.ratio if time_s <= 0.5 else 1.0
    else:
        wanted = missing / (situation.rate_per_s * time_s)
    return min(1.0, highest, max(wanted, MIN_RATIO_PART * bound.ratio))


def _highest_share(situation: Situation, bound: ExposureBound) -> float:
    """Return the share that keeps within the bound for the next lease."""
    slack = bound.ratio * situation.arrivals - situation.target_attempts
    slack += ALLOWANCE_PART * bound.allowance
    per_lease = max(situation.rate_per_s, 0.1) * (LEASE_S + 1.0)
    if slack < 0.0:
        return max(0.0, bound.ratio + slack / per_lease)
    if situation.is_inherited:
        # The attempts of relays that have ended are missing, so nothing is left over.
        slack = 0.0
    return min(1.0, bound.ratio + slack / (BURST_FACTOR * per_lease))


def _advance(situation: Situation, bound: ExposureBound) -> Plan:
    left_s = situation.left_s
    if left_s <= END_MARGIN_S:
        reason = "deadline: the switch cannot end in time"
        return Plan(0.0, RolloutStage.ROLLED_BACK, reason)
    verdict = situation.verdict
    is_good = verdict.finding is Finding.GOOD
    last_s = min(max(LAST_PART * situation.duration_s, LAST_MIN_S), LAST_MAX_S)
    step_s = STEP_S if left_s > last_s - STEP_S else SHORT_STEP_S
    step = int(situation.stage_s / step_s)
    share = GROWING_SHARES[min(step, len(GROWING_SHARES) - 1)]
    if not is_good:
        share = min(share, _highest_share(situation, bound))
    is_last_moment = left_s <= MIN_SWITCH_LEFT_PART * last_s
    # A new leader does not repeat the steps when the time is short.
    may_skip = is_good and situation.is_inherited and is_last_moment
    if step < len(GROWING_SHARES) and not may_skip:
        return Plan(share)
    if is_good:
        return Plan(1.0, RolloutStage.SWITCHING, verdict.reason)
    if not is_last_moment:
        return Plan(share)
    wanted = min(MIN_LAST_OUTCOMES, MIN_LAST_PART * situation.arrivals)
    if verdict.is_suspect or situation.outcomes < wanted:
        return Plan(0.0, RolloutStage.ROLLED_BACK, f"deadline: {verdict.reason}")
    reason = f"deadline, nothing against it: {verdict.reason}"
    return Plan(1.0, RolloutStage.SWITCHING, reason)


def _switch(situation: Situation) -> Plan:
    if not situation.is_drained:
        # Old runs are not broken off; the rollout ends with them, also if late.
        return Plan(1.0)
    if not situation.has_other_upstreams:
        return Plan(1.0, RolloutStage.COMPLETED, "no run on another version")
    if situation.left_s > END_MARGIN_S and (
        situation.verdict.is_suspect or situation.stage_s < MIN_SWITCHING_S
    ):
        return Plan(1.0)
    if situation.verdict.is_suspect:
        reason = f"deadline: {situation.verdict.reason}"
        return Plan(0.0, RolloutStage.ROLLED_BACK, reason)
    reason = f"no run on another version; {situation.verdict.reason}"
    return Plan(1.0, RolloutStage.COMPLETED, reason)
