"""Which grants are applied, and for how long their shares are valid."""

import pytest

from cranberryfield.core.messages.rollouts import (
    RolloutGrant,
    RolloutGrants,
    RolloutStage,
)
from cranberryfield.entry.rollouts.grants import MAX_LEASE_MS, apply_grants
from cranberryfield.entry.rollouts.section import RolloutSection, current_share

OBSERVING, ADVANCING, SWITCHING, COMPLETED, ROLLED_BACK = RolloutStage


def grant(number=3, target="v2", stage=ADVANCING, share=0.3, lease_ms=3_000):
    return RolloutGrant(number, "s", target, stage, share, lease_ms)


def section_with(*grants, term=5, revision=7, sent_at=100.0):
    section = RolloutSection(is_used=True)
    apply_grants(section, RolloutGrants(term, revision, grants), sent_at, {})
    return section


# Term and revision of a message, and whether it is applied over (5, 7).
ORDER = {
    "not the leader": (0, 9, False),
    "older term": (4, 9, False),
    "older revision": (5, 6, False),
    "same": (5, 7, True),
    "newer revision": (5, 8, True),
    "newer term": (6, 0, True),
    "negative revision": (6, -1, False),
}


# Guards against a share of a deposed leader, or of a message that was overtaken.
@pytest.mark.parametrize(
    ("term", "revision", "is_applied"), ORDER.values(), ids=ORDER.keys()
)
def test_only_the_newest_grants_are_applied(term, revision, is_applied):
    section = section_with(grant())
    message = RolloutGrants(term, revision, (grant(share=0.6),))
    assert apply_grants(section, message, 101.0).is_applied is is_applied
    share = current_share(section.rollouts["s"], 101.0)
    assert share == (0.6 if is_applied else 0.3)


IGNORED = {
    "share is negative": grant(share=-0.1),
    "share is too large": grant(share=1.01),
    "share is no number": grant(share=float("nan")),
    "share is infinite": grant(share=float("inf")),
    "lease is negative": grant(lease_ms=-1),
    "lease is too long": grant(lease_ms=MAX_LEASE_MS + 1),
    "number is 0": grant(number=0),
    "number is earlier": grant(number=2),
    "stage is earlier": grant(stage=OBSERVING),
    "target differs": grant(target="v3"),
    "target is empty": grant(target=""),
    "target is too long": grant(target="v" * 300),
}


# Guards against invalid values, and a new leader that runs a step backwards.
@pytest.mark.parametrize("bad", IGNORED.values(), ids=IGNORED.keys())
def test_invalid_grants_are_ignored(bad):
    section = section_with(grant())
    announced = {"s": frozenset({"v1", "v2"}), "t": frozenset({"v9"})}
    message = RolloutGrants(6, 1, (bad,))
    applied = apply_grants(section, message, 102.0, announced)
    assert [one for _, one in applied.ignored] == [bad]
    assert section.rollouts["s"].grant == grant()
    # Its versions are not confirmed either, as the grant may be of a later rollout.
    assert section.confirmed == {"t": frozenset({"v9"})}


# When grants arrive and whether as a reply; then the time at which the share ends.
LEASES = {
    "a reply counts from its report": ([(100.0, 100.0)], 103.0),
    "a late reply, after a freeze": ([(100.0, 100.0), (100.4, 106.0)], 103.4),
    "a pushed message renews nothing": ([(100.0, 100.0), (None, 102.9)], 103.0),
    "nor after a freeze": ([(100.0, 100.0), (None, 106.0)], 103.0),
    "a second reply renews it": ([(100.0, 100.0), (101.0, 101.0)], 104.0),
    "an earlier reply that comes late": ([(101.0, 101.0), (100.0, 101.5)], 104.0),
}


# Guards against a host that returns from a freeze and takes a message which has waited
# meanwhile for a new lease.
@pytest.mark.parametrize(("arrivals", "ends_at"), LEASES.values(), ids=LEASES.keys())
def test_end_of_a_lease(arrivals, ends_at):
    section = RolloutSection(is_used=True)
    for sent_at, _ in arrivals:
        apply_grants(section, RolloutGrants(5, 7, (grant(),)), sent_at, {})
    rollout = section.rollouts["s"]
    shares = [current_share(rollout, ends_at + late_s) for late_s in (-0.01, 0.01)]
    assert shares == [0.3, 0.0]


# Guards against a rollback that waits for the next reply.
def test_a_pushed_stage_holds_at_once():
    section = section_with(grant())
    applied = apply_grants(
        section, RolloutGrants(5, 8, (grant(stage=ROLLED_BACK, share=0.0, lease_ms=0),))
    )
    assert [one.stage for one in applied.changed] == [ROLLED_BACK]
    assert section.rollouts["s"].has_ended


# Guards against credits and counts of an earlier rollout of the same service.
def test_a_later_rollout_starts_anew():
    section = section_with(grant(stage=COMPLETED))
    section.rollouts["s"].credit = 3.0
    apply_grants(section, RolloutGrants(5, 8, (grant(4, "v3", OBSERVING),)), 101.0)
    rollout = section.rollouts["s"]
    assert (rollout.grant.target, rollout.credit, rollout.arrivals) == ("v3", 0.0, 0)
