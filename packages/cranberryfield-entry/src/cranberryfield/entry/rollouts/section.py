"""Rollouts as a relay knows them: grants, leases, credits and counts."""

from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.rollouts import (
    RolloutCounts,
    RolloutGrant,
    RolloutStage,
)
from cranberryfield.entry.rollouts.outcomes import OutcomeTable, make_version_counts

__all__ = [
    "CREDIT_CAP",
    "ENDED_STAGES",
    "LIMITED_STAGES",
    "KnownRollout",
    "RolloutSection",
    "add_run",
    "begun_attempt",
    "current_share",
    "is_lease_valid",
    "make_counts",
    "record_arrival",
    "remove_run",
    "unended_rollout",
]

#: Largest number of credits that a relay keeps for one rollout. A burst of attempts at
#: the target is at most this long.
CREDIT_CAP = 3.0
#: Sums of binary fractions: ten credits of 0.1 are less than 1 by 1e-16.
CREDIT_ROUNDING = 1e-9
#: Stages in which only a share of the requests may use the target.
LIMITED_STAGES = (RolloutStage.OBSERVING, RolloutStage.ADVANCING)
ENDED_STAGES = (RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK)


@dataclass(slots=True)
class KnownRollout:
    """The latest rollout of a service.

    Attributes
    ----------
    grant : RolloutGrant
        Newest grant.
    lease_until : float
        Time in seconds, by a clock that counts suspensions, until which its share is
        valid.
    credit : float
        Attempts that may be sent to the target now.
    resumption_until : float
        Time in seconds until which credits are kept for a stream that waits to go on.
    arrivals, target_attempts : int
        Requests for the service, and attempts sent to the target, since the rollout is
        known.
    outcomes : OutcomeTable
        Outcomes of attempts since then.
    """

    grant: RolloutGrant
    lease_until: float
    credit: float = 0.0
    resumption_until: float = float("-inf")
    arrivals: int = 0
    target_attempts: int = 0
    outcomes: OutcomeTable = field(default_factory=OutcomeTable)

    @property
    def has_credit(self) -> bool:
        """Whether an attempt may be sent to the target."""
        return self.credit >= 1.0 - CREDIT_ROUNDING

    @property
    def has_ended(self) -> bool:
        """Whether its stage is final."""
        return self.grant.stage in ENDED_STAGES


@dataclass(slots=True)
class RolloutSection:
    """Section of the blackboard: rollouts of all services.

    Attributes
    ----------
    is_used : bool
        Whether the deployment has rollouts; else nothing is restricted or counted.
    rollouts : dict
        Latest rollout of each service that has had one.
    confirmed : dict
        By service, versions that were announced before the leader has said last which
        rollouts there are. Others may be the target of a rollout not heard of.
    running : dict
        Runs in progress by service and version.
    term, revision : int
        Term and revision of the newest grants.
    confirmed_at : float
        Time in seconds at which the last report that was answered was sent.
    has_grants : bool
        Whether the leader has answered a report since the start.
    """

    is_used: bool = False
    rollouts: dict[ServiceName, KnownRollout] = field(default_factory=dict)
    confirmed: dict[ServiceName, frozenset[str]] = field(default_factory=dict)
    running: dict[ServiceName, dict[str, int]] = field(default_factory=dict)
    term: int = 0
    revision: int = 0
    confirmed_at: float = float("-inf")
    has_grants: bool = False

    @property
    def has_unended(self) -> bool:
        """Whether a rollout is in progress."""
        return any(not one.has_ended for one in self.rollouts.values())


def is_lease_valid(rollout: KnownRollout, now: float) -> bool:
    """Return whether the share of a rollout is still valid."""
    return now < rollout.lease_until


def current_share(rollout: KnownRollout, now: float) -> float:
    """Return the share of requests that the target may get; 0 without a lease."""
    is_limited = rollout.grant.stage in LIMITED_STAGES
    return rollout.grant.share if is_limited and is_lease_valid(rollout, now) else 0.0


def unended_rollout(
    section: RolloutSection, service: ServiceName
) -> KnownRollout | None:
    """Return the rollout of a service that is in progress, if any."""
    rollout = section.rollouts.get(service)
    return None if rollout is None or rollout.has_ended else rollout


def record_arrival(section: RolloutSection, service: ServiceName, now: float) -> None:
    """Count a request, which earns a part of a credit while a lease is valid.

    Parameters
    ----------
    section : RolloutSection
        Changed in place.
    service : ServiceName
        Service of the request.
    now : float
        Time in seconds, by a clock that counts suspensions.
    """
    rollout = unended_rollout(section, service)
    if rollout is None:
        return
    rollout.arrivals += 1
    earned = rollout.credit + current_share(rollout, now)
    rollout.credit = min(CREDIT_CAP, earned)


def begun_attempt(
    section: RolloutSection, service: ServiceName, version: str
) -> KnownRollout | None:
    """Count an attempt that begins; return the rollout that it belongs to, if any."""
    rollout = unended_rollout(section, service)
    if rollout is not None and version == rollout.grant.target:
        rollout.target_attempts += 1
    return rollout


def add_run(section: RolloutSection, service: ServiceName, version: str) -> None:
    """Count a run that begins at a version."""
    versions = section.running.setdefault(service, {})
    versions[version] = versions.get(version, 0) + 1


def remove_run(section: RolloutSection, service: ServiceName, version: str) -> None:
    """Count a run that has ended at a version."""
    versions = section.running[service]
    versions[version] -= 1
    if not versions[version]:
        del versions[version]
    if not versions:
        del section.running[service]


def make_counts(section: RolloutSection) -> tuple[RolloutCounts, ...]:
    """Return the counts of the rollouts in progress, for a report."""
    return tuple(
        RolloutCounts(
            one.grant.number,
            one.arrivals,
            one.target_attempts,
            sum(
                count
                for version, count in section.running.get(service, {}).items()
                if version != one.grant.target
            ),
            make_version_counts(one.outcomes),
        )
        for service, one in section.rollouts.items()
        if not one.has_ended
    )
