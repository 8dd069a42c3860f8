"""Exposure summed over 76 and 360 relays with uneven traffic, in virtual time."""

from dataclasses import dataclass, field
from random import Random

import pytest

from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.rollouts import (
    RolloutGrant,
    RolloutGrants,
    RolloutStage,
)
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.registry import RegistryTable, accept_record
from cranberryfield.entry.rollouts import Judgement, RolloutSection, RolloutTraffic
from cranberryfield.entry.rollouts.exposure import Exposure
from cranberryfield.entry.rollouts.grants import apply_grants
from cranberryfield.entry.rollouts.section import make_counts

STEP_S = 0.05
DURATION_S = 16.0
REQUESTS_PER_S = 340.0
SHARE = 0.1
LEASE_MS = 3_000
ROLLBACK_S = 5.0
#: Bad answers after which the stand-in for the leader rolls back.
BAD_ANSWERS = 50
REPORT_INTERVAL_S = 0.25
FAULT_AT_S, FAULT_S = 2.0, 5.0
#: Fraction of attempts that are followed by another one, and of those at the target
#: that are streams which break off and go on there.
RETRIED = 0.2


def upstream(version, number):
    name = f"{version}-{number}"
    place = (name, 1, 1, "s", "d", f"{name}:1", "", (), 8, 0)
    return UpstreamRecord(*place, software_version=version)


TABLE = RegistryTable()
for _version, _count in (("v1", 4), ("v2", 2)):
    for _number in range(_count):
        accept_record(TABLE, upstream(_version, _number), 0.0)


@dataclass
class Fleet:
    """Relays, their traffic, and a stand-in for the leader.

    Attributes
    ----------
    sent : list of float
        Times at which attempts were sent to the target.
    arrivals : int
        Requests of all relays.
    failed_at : list of float
        Times of bad answers.
    sends_old_choice : bool
        Whether a relay has sent, after a freeze, what it had chosen before it.
    """

    size: int
    fault: str
    failure_ratio: float
    rng: Random = field(default_factory=lambda: Random(7))
    now: float = 0.0
    sent: list = field(default_factory=list)
    arrivals: int = 0
    failed_at: list = field(default_factory=list)
    sends_old_choice: bool = False

    def __post_init__(self):
        self.relays = [self.start_relay() for _ in range(self.size)]
        self.weights = [1.0 / (1 + number) for number in range(self.size)]
        self.stage, self.revision, self.failures = RolloutStage.OBSERVING, 1, {}

    def start_relay(self):
        section = RolloutSection(is_used=True)
        traffic = RolloutTraffic(
            section, TABLE, Metrics(), lambda: self.now, Random(self.rng.random())
        )
        return section, traffic

    def is_hit(self, number):
        """Return whether the fault hits a relay now: one in three, the busiest too."""
        is_now = FAULT_AT_S <= self.now < FAULT_AT_S + FAULT_S
        return is_now and number % 3 == 0

    def grants(self):
        share = SHARE if self.stage is RolloutStage.OBSERVING else 0.0
        grant = RolloutGrant(1, "s", "v2", self.stage, share, LEASE_MS)
        return RolloutGrants(1, self.revision, (grant,))

    def can_report(self, number):
        if self.fault == "leader lost" and FAULT_AT_S <= self.now < FAULT_AT_S + 4.0:
            return False
        is_cut_off = self.fault == "cut off" and self.now >= FAULT_AT_S
        return not (is_cut_off and number % 3 == 0)

    def report(self, number):
        section, _ = self.relays[number]
        counts = make_counts(section)
        if counts:
            rows = counts[0].counts
            bad = sum(row.failures for row in rows if row.is_target)
            self.failures[id(section)] = bad
        failures = sum(self.failures.values())
        if failures >= BAD_ANSWERS and self.stage is RolloutStage.OBSERVING:
            self.stage, self.revision = RolloutStage.ROLLED_BACK, self.revision + 1
        announced = {"s": frozenset({"v1", "v2"})}
        apply_grants(section, self.grants(), self.now, announced)

    def attempt(self, number, has_begun, suspended_s=0.0):
        """Send an attempt, if it may be sent; return whether that is to the target."""
        traffic = self.relays[number][1]
        active = TABLE.active_upstreams("s")
        if has_begun:
            active = [one for one in active if one.software_version == "v2"]
        exposure = traffic.expose("s", active, has_begun)
        choice = exposure.preferred or exposure.candidates
        record = self.rng.choice(choice) if choice else None
        if record is None or not traffic.take(record, has_begun):
            return False
        self.now += suspended_s
        is_target = record.software_version == "v2"
        if traffic.may_send(record):
            run = traffic.begin(record, "r")
            has_failed = is_target and self.rng.random() < self.failure_ratio
            if is_target:
                self.sent.append(self.now)
                self.sends_old_choice |= suspended_s > 0.0
            if has_failed:
                self.failed_at.append(self.now)
            traffic.end(run, Judgement.FAILURE if has_failed else Judgement.SUCCESS)
        self.now -= suspended_s
        return is_target

    def serve(self, number):
        self.arrivals += 1
        self.relays[number][1].record_arrival("s")
        # A frozen relay has chosen just before, and sends when it goes on.
        is_freezing = self.fault == "frozen" and self.now < FAULT_AT_S <= (
            self.now + 2 * STEP_S
        )
        suspended_s = FAULT_S if is_freezing and number % 3 == 0 else 0.0
        is_target = self.attempt(number, False, suspended_s)
        while self.rng.random() < RETRIED:
            is_target = self.attempt(number, is_target)

    def run(self):
        pushed = [None] * self.size
        for step in range(int(DURATION_S / STEP_S)):
            self.now = step * STEP_S
            stage_before = self.stage
            for number in range(self.size):
                if self.fault == "frozen" and self.is_hit(number):
                    # It finds this message when it goes on.
                    pushed[number] = pushed[number] or self.grants()
                    continue
                if self.fault == "restart" and number % 3 == 0 and step == 60:
                    self.relays[number] = self.start_relay()
                if pushed[number] is not None:
                    apply_grants(self.relays[number][0], pushed[number])
                    pushed[number] = None
                is_due = (step + number) % int(REPORT_INTERVAL_S / STEP_S) == 0
                if is_due and self.can_report(number):
                    self.report(number)
            if self.stage is not stage_before:
                for number, (section, _) in enumerate(self.relays):
                    is_frozen = self.fault == "frozen" and self.is_hit(number)
                    if self.can_report(number) and not is_frozen:
                        apply_grants(section, self.grants())
            count = int(REQUESTS_PER_S * STEP_S)
            for number in self.rng.choices(range(self.size), self.weights, k=count):
                is_served = self.relays[number][0].has_grants
                if is_served and not (self.fault == "frozen" and self.is_hit(number)):
                    self.serve(number)
        return self

    @property
    def exceeds_share(self):
        return len(self.sent) > SHARE * self.arrivals

    @property
    def sends_after_rollback(self):
        failed_at = sorted(self.failed_at)
        if len(failed_at) < BAD_ANSWERS:
            return False
        return max(self.sent) > failed_at[BAD_ANSWERS - 1] + ROLLBACK_S


FAULTS = ["none", "leader lost", "cut off", "frozen", "restart"]


# Guards against an exposure beyond the share, and against requests to a version that
# has failed, after each single fault.
@pytest.mark.parametrize("failure_ratio", [0.0, 0.5])
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("size", [76, 360])
def test_exposure_stays_within_the_share(size, fault, failure_ratio):
    fleet = Fleet(size, fault, failure_ratio).run()
    assert not fleet.exceeds_share
    assert not fleet.sends_after_rollback
    assert not fleet.sends_old_choice
    if failure_ratio:
        assert fleet.stage is RolloutStage.ROLLED_BACK
    elif fault == "none":
        # Most of the share is used; the rest are parts of credits on quiet relays.
        assert len(fleet.sent) > 0.5 * SHARE * fleet.arrivals


def expose_all(section, service, candidates, *_):
    return Exposure(candidates, [])


SECTION = "cranberryfield.entry.rollouts.section"
EXPOSURE = "cranberryfield.entry.rollouts.exposure"
TRAFFIC = "cranberryfield.entry.rollouts.traffic"
# The fault, the ratio of failures, the decision that is switched off and what takes its
# place, and the bound that breaks then.
SWITCHED_OFF = {
    "choice of versions": (
        "none",
        0.0,
        f"{TRAFFIC}.decide_exposure",
        expose_all,
        "exceeds_share",
    ),
    "cost of an attempt": (
        "none",
        0.0,
        f"{TRAFFIC}.costs_credit",
        lambda rollout, record: False,
        "exceeds_share",
    ),
    "end of a lease": (
        "cut off",
        0.5,
        f"{SECTION}.is_lease_valid",
        lambda rollout, now: True,
        "sends_after_rollback",
    ),
    "check before sending": (
        "frozen",
        0.5,
        f"{TRAFFIC}.may_still_send",
        lambda rollout, record, now: True,
        "sends_old_choice",
    ),
}


# Shows that the bounds above can fail.
@pytest.mark.parametrize(
    ("fault", "failure_ratio", "target", "replacement", "bound"),
    SWITCHED_OFF.values(),
    ids=SWITCHED_OFF.keys(),
)
def test_bounds_fail_without_the_decision(
    monkeypatch, fault, failure_ratio, target, replacement, bound
):
    assert not getattr(Fleet(76, fault, failure_ratio).run(), bound)
    monkeypatch.setattr(target, replacement)
    assert getattr(Fleet(76, fault, failure_ratio).run(), bound)
