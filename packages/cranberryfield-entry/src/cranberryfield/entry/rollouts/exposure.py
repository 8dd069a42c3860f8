"""Decides which upstreams a request may use while its service is rolled out."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.rollouts import RolloutStage
from cranberryfield.entry.rollouts.section import (
    LIMITED_STAGES,
    KnownRollout,
    RolloutSection,
    current_share,
)

__all__ = ["Exposure", "costs_credit", "decide_exposure", "may_still_send"]

#: Probability that a request uses a credit while there is less than `FULL_CREDIT`. With
#: each first chance taken, a share of 1 in 10 would meet the same route each time where
#: callers use the routes in turn.
DRAW_PROBABILITY = 0.5
FULL_CREDIT = 2.0


@dataclass(frozen=True, slots=True)
class Exposure:
    """Upstreams that an attempt may use now.

    Attributes
    ----------
    candidates : list of UpstreamRecord
        All of them.
    preferred : list of UpstreamRecord
        Those of them to use first, unless they have failed; empty if all are equal.
    is_pending : bool
        Whether there are none now, but may soon be some.
    """

    candidates: list[UpstreamRecord]
    preferred: list[UpstreamRecord]
    is_pending: bool = False


def decide_exposure(
    section: RolloutSection,
    service: ServiceName,
    candidates: list[UpstreamRecord],
    has_begun: bool,
    known_versions: Callable[[], Collection[str]],
    draw: Callable[[], float],
    now: float,
) -> Exposure:
    """Return which upstreams an attempt may use.

    Parameters
    ----------
    section : RolloutSection
        Rollouts, leases and credits.
    service : ServiceName
        Service of the request.
    candidates : list of UpstreamRecord
        Its announced upstreams; those of one version if a stream has begun there.
    has_begun : bool
        Whether the request is a stream that has begun.
    known_versions : callable
        Returns the versions of the service's upstreams, also of those that leave.
    draw : callable
        Returns a random number from 0 to 1; called only if there is a credit.
    now : float
        Time in seconds, by a clock that counts suspensions.

    Returns
    -------
    Exposure
        What the request may use.
    """
    if not section.is_used:
        return Exposure(candidates, [])
    rollout = section.rollouts.get(service)
    if rollout is None or rollout.grant.stage is RolloutStage.COMPLETED:
        return _confirmed(section, service, candidates, known_versions)
    targets, others = _split(rollout.grant.target, candidates)
    match rollout.grant.stage:
        case RolloutStage.ROLLED_BACK:
            return _confirmed(section, service, others, known_versions)
        case RolloutStage.SWITCHING:
            # Old upstreams serve on if the target has none: a refused caller loses
            # more than the end of the rollout is delayed.
            return Exposure(targets if targets and not has_begun else candidates, [])
    if has_begun and targets:
        return _continuation(rollout, targets, now)
    allowed = _confirmed(section, service, others, known_versions)
    may_use_target = (
        targets
        and rollout.has_credit
        and current_share(rollout, now) > 0.0
        and now >= rollout.resumption_until
    )
    if not may_use_target:
        return allowed
    is_drawn = rollout.credit >= FULL_CREDIT or draw() < DRAW_PROBABILITY
    preferred = targets if is_drawn else allowed.candidates
    return Exposure([*allowed.candidates, *targets], preferred)


def _split(
    target: str, candidates: Iterable[UpstreamRecord]
) -> tuple[list[UpstreamRecord], list[UpstreamRecord]]:
    """Return the upstreams of the target version and the others."""
    parts: tuple[list[UpstreamRecord], list[UpstreamRecord]] = ([], [])
    for record in candidates:
        parts[record.software_version != target].append(record)
    return parts


def _continuation(
    rollout: KnownRollout, targets: list[UpstreamRecord], now: float
) -> Exposure:
    """Return what a stream may use that has begun at the target version."""
    if current_share(rollout, now) <= 0.0:
        return Exposure([], [])
    if rollout.has_credit:
        return Exposure(targets, [])
    return Exposure([], [], is_pending=True)


def _confirmed(
    section: RolloutSection,
    service: ServiceName,
    candidates: list[UpstreamRecord],
    known_versions: Callable[[], Collection[str]],
) -> Exposure:
    """Return the upstreams that are not of the target of a rollout not heard of.

    The only version of a service is used: there is none that a rollout could have
    begun from.
    """
    confirmed = section.confirmed.get(service, frozenset())
    allowed = [one for one in candidates if one.software_version in confirmed]
    if len(allowed) == len(candidates) or len(confirmed.union(known_versions())) == 1:
        return Exposure(candidates, [])
    return Exposure(allowed, [], is_pending=not allowed)


def costs_credit(rollout: KnownRollout | None, record: UpstreamRecord) -> bool:
    """Return whether an attempt at an upstream costs a credit."""
    return (
        rollout is not None
        and rollout.grant.stage in LIMITED_STAGES
        and record.software_version == rollout.grant.target
    )


def may_still_send(
    rollout: KnownRollout | None, record: UpstreamRecord, now: float
) -> bool:
    """Return whether an attempt that has its credit may be written to its upstream.

    Between the choice and that moment the connection is opened, and the host may have
    been suspended.

    Parameters
    ----------
    rollout : KnownRollout or None
        Rollout of the upstream's service.
    record : UpstreamRecord
        The upstream.
    now : float
        Time in seconds, by a clock that counts suspensions.
    """
    if rollout is None or record.software_version != rollout.grant.target:
        return True
    if rollout.grant.stage is RolloutStage.ROLLED_BACK:
        return False
    return not costs_credit(rollout, record) or current_share(rollout, now) > 0.0
