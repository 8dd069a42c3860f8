"""Which upstreams a request may use, for each state of a rollout."""

from random import Random

import pytest

from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.rollouts import RolloutGrant, RolloutStage
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.registry import RegistryTable, accept_record
from cranberryfield.entry.rollouts.exposure import decide_exposure
from cranberryfield.entry.rollouts.section import (
    CREDIT_CAP,
    KnownRollout,
    RolloutSection,
    record_arrival,
)
from cranberryfield.entry.rollouts.traffic import RolloutTraffic

NOW = 100.0
OBSERVING, ADVANCING, SWITCHING, COMPLETED, ROLLED_BACK = RolloutStage


def record(version, upstream=None, incarnation=1, address=None):
    name = upstream or f"u-{version}"
    address = address or f"{name}:1"
    place = (name, incarnation, 1, "s", "d", address, "", (), 8, 0)
    return UpstreamRecord(*place, software_version=version)


def section_with(stage, credit=0.0, lease_s=3.0, confirmed=("v1", "v2"), share=0.1):
    section = RolloutSection(is_used=True)
    section.confirmed["s"] = frozenset(confirmed)
    if stage is not None:
        grant = RolloutGrant(1, "s", "v2", stage, share, 3_000)
        section.rollouts["s"] = KnownRollout(grant, NOW + lease_s, credit)
    return section


def exposed(section, announced, begun=None, draw=0.0, known=None):
    """Return the versions that may be used, those preferred, and whether to wait."""
    candidates = [record(one) for one in announced if begun in (None, one)]
    exposure = decide_exposure(
        section,
        "s",
        candidates,
        begun is not None,
        lambda: set(known or announced),
        lambda: draw,
        NOW,
    )
    versions = [one.software_version for one in exposure.candidates]
    preferred = [one.software_version for one in exposure.preferred]
    return versions, preferred, exposure.is_pending


BOTH = ["v1", "v2"]
# Name; stage, credit, seconds left of the lease, announced versions, version at which a
# stream has begun, draw; then the versions that may be used, those preferred, and
# whether the request waits. A dash is none.
DECISIONS = """
no credit                   | observing   0.9   3 v1,v2  - 0.0 | v1    -  go
a credit, drawn             | observing   1.0   3 v1,v2  - 0.4 | v1,v2 v2 go
a credit, not drawn         | observing   1.0   3 v1,v2  - 0.6 | v1,v2 v1 go
two credits                 | advancing   2.0   3 v1,v2  - 0.9 | v1,v2 v2 go
no lease                    | observing   3.0   0 v1,v2  - 0.0 | v1    -  go
no lease, advancing         | advancing   3.0  -9 v1,v2  - 0.0 | v1    -  go
only the target             | observing   0.9   3 v2     - 0.0 | -     -  go
only the target, a credit   | observing   1.0   3 v2     - 0.0 | v2    v2 go
begun there, a credit       | observing   1.0   3 v1,v2 v2 0.9 | v2    -  go
begun there, no credit      | observing   0.5   3 v1,v2 v2 0.0 | -     -  wait
begun there, no lease       | observing   3.0   0 v1,v2 v2 0.0 | -     -  go
begun at the old one        | observing   3.0   3 v1,v2 v1 0.0 | v1    -  go
switching                   | switching   0.0   3 v1,v2  - 0.0 | v2    -  go
switching, no lease         | switching   0.0 -99 v1,v2  - 0.0 | v2    -  go
switching, begun at the old | switching   0.0   3 v1,v2 v1 0.0 | v1    -  go
switching, no target        | switching   0.0   3 v1     - 0.0 | v1    -  go
completed                   | completed   0.0 -99 v1,v2  - 0.0 | v1,v2 -  go
rolled back                 | rolled_back 3.0   3 v1,v2  - 0.0 | v1    -  go
rolled back, only target    | rolled_back 3.0   3 v2     - 0.0 | -     -  go
rolled back, begun there    | rolled_back 3.0   3 v1,v2 v2 0.0 | -     -  go
no rollout                  | -           0.0   0 v1,v2  - 0.0 | v1,v2 -  go
"""
ROWS = [line.split("|") for line in DECISIONS.strip().splitlines()]


def listed(text):
    return [] if text == "-" else text.split(",")


# Guards against a target that gets more than its credits, a stream that goes on at
# another version, and a version that is used after its rollback.
@pytest.mark.parametrize(
    ("state", "expected"),
    [row[1:] for row in ROWS],
    ids=[row[0].strip() for row in ROWS],
)
def test_versions_that_a_request_may_use(state, expected):
    stage, credit, lease_s, announced, begun, draw = state.split()
    stage = None if stage == "-" else RolloutStage[stage.upper()]
    section = section_with(stage, float(credit), float(lease_s))
    begun = None if begun == "-" else begun
    found = exposed(section, listed(announced), begun, float(draw))
    use, preferred, end = expected.split()
    assert found == (listed(use), listed(preferred), end == "wait")


# Confirmed versions, those announced, those known (also of upstreams that leave); then
# those that may be used, and whether the request waits.
UNCONFIRMED = {
    "a new version": (["v1"], BOTH, BOTH, ["v1"], False),
    "the only version": ([], ["v1"], ["v1"], ["v1"], False),
    "two versions, none confirmed": ([], BOTH, BOTH, [], True),
    "the old one has left": (["v1"], ["v2"], BOTH, [], True),
    "the old one is forgotten": (["v1"], ["v2"], ["v2"], [], True),
    "both confirmed": (BOTH, BOTH, BOTH, BOTH, False),
}


# Guards against a host that has not heard of a rollout, as its links are cut, and takes
# the target for a plain release.
@pytest.mark.parametrize("stage", [None, COMPLETED])
@pytest.mark.parametrize(
    ("confirmed", "announced", "known", "use", "wait"),
    UNCONFIRMED.values(),
    ids=UNCONFIRMED.keys(),
)
def test_version_of_a_rollout_not_heard_of_is_not_used(
    stage, confirmed, announced, known, use, wait
):
    section = section_with(stage, confirmed=confirmed)
    assert exposed(section, announced, known=known) == (use, [], wait)


# Guards against a deployment without rollouts that is served otherwise than before.
def test_nothing_is_restricted_without_rollouts():
    assert exposed(RolloutSection(), BOTH) == (BOTH, [], False)


def traffic_with(section, *records):
    table = RegistryTable()
    for one in records:
        accept_record(table, one, NOW)
    return RolloutTraffic(section, table, Metrics(), lambda: NOW, Random(1)), table


# Guards against two requests that wait for other permissions and share one credit.
def test_a_credit_is_taken_once():
    section = section_with(OBSERVING, credit=1.0)
    target = record("v2")
    traffic, _ = traffic_with(section, record("v1"), target)
    assert [traffic.take(target, False) for _ in range(2)] == [True, False]
    assert section.rollouts["s"].credit == 0.0


# Guards against an attempt without a credit at the target of a rollout that the relay
# has not heard of, chosen by the owner of shared slots.
def test_a_version_of_a_rollout_not_heard_of_is_not_taken():
    section = RolloutSection(is_used=True, confirmed={"s": frozenset({"v1"})})
    traffic, _ = traffic_with(section, record("v1"), record("v2"))
    assert traffic.take(record("v1"), False)
    assert not traffic.take(record("v2"), False)


# Guards against an old upstream that gets a new request after the switch.
def test_a_choice_made_before_the_switch_is_not_used_after_it():
    section = section_with(SWITCHING)
    old = record("v1")
    traffic, _ = traffic_with(section, old, record("v2"))
    assert [traffic.take(old, has_begun) for has_begun in (False, True)] == [
        False,
        True,
    ]


# Guards against fresh requests that take each credit before a stream that waits.
def test_a_waiting_stream_goes_before_fresh_requests():
    section = section_with(OBSERVING, credit=0.0)
    target, old = record("v2"), record("v1")
    traffic, _ = traffic_with(section, old, target)
    assert traffic.expose("s", [target], True).is_pending
    section.rollouts["s"].credit = 1.0
    assert traffic.expose("s", [old, target], False).candidates == [old]
    assert traffic.expose("s", [target], True).candidates == [target]


# What happens between the choice of the target and the moment of sending; then whether
# the request is sent.
LATE_CHANGES = {
    "nothing": (OBSERVING, 3.0, None, True),
    "lease expired": (OBSERVING, 0.0, None, False),
    "rolled back": (ROLLED_BACK, 3.0, None, False),
    "switching, lease expired": (SWITCHING, 0.0, None, True),
    "restarted": (OBSERVING, 3.0, record("v2", incarnation=2), False),
    "address used again": (
        OBSERVING,
        3.0,
        record("v1", "other", 2, "u-v2:1"),
        False,
    ),
}


# Guards against a request that is sent after a freeze, or to what has taken the place
# of its upstream.
@pytest.mark.parametrize(
    ("stage", "lease_s", "announced", "is_sent"),
    LATE_CHANGES.values(),
    ids=LATE_CHANGES.keys(),
)
def test_choice_is_checked_before_the_request_is_sent(
    stage, lease_s, announced, is_sent
):
    target = record("v2")
    traffic, table = traffic_with(section_with(stage, lease_s=lease_s), target)
    if announced is not None:
        accept_record(table, announced, NOW)
    assert traffic.may_send(target) is is_sent


# Guards against credits that a quiet relay saves up for a burst, and against sums of
# fractions that lose the tenth arrival.
@pytest.mark.parametrize(("arrivals", "credit"), [(10, 1.0), (1_000, CREDIT_CAP)])
def test_arrivals_earn_credits_up_to_the_cap(arrivals, credit):
    section = section_with(OBSERVING)
    for _ in range(arrivals):
        record_arrival(section, "s", NOW)
    rollout = section.rollouts["s"]
    assert rollout.has_credit
    assert (rollout.credit, rollout.arrivals) == (pytest.approx(credit), arrivals)
