"""Applies the leader's grants to the section, and ignores invalid or old ones."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import isfinite

from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.rollouts import RolloutGrant, RolloutGrants
from cranberryfield.entry.rollouts.section import KnownRollout, RolloutSection

__all__ = ["MAX_LEASE_MS", "MAX_ROLLOUTS", "AppliedGrants", "apply_grants"]

MS_PER_S = 1000
#: Longest lease that is believed, in milliseconds. A longer one would let a relay that
#: is cut off go on for too long.
MAX_LEASE_MS = 10_000
MAX_NAME_LENGTH = 256
#: Services with a rollout that are kept.
MAX_ROLLOUTS = 4_096


@dataclass(slots=True)
class AppliedGrants:
    """What a message has changed.

    Attributes
    ----------
    is_applied : bool
        False if the sender is not the leader, or its grants are older than those known.
    changed : list of RolloutGrant
        Grants that differ from those before.
    ignored : list of (str, RolloutGrant)
        Grants that were ignored, each with the reason.
    """

    is_applied: bool = False
    changed: list[RolloutGrant] = field(default_factory=list)
    ignored: list[tuple[str, RolloutGrant]] = field(default_factory=list)


def apply_grants(
    section: RolloutSection,
    message: RolloutGrants,
    sent_at: float | None = None,
    announced: Mapping[ServiceName, frozenset[str]] | None = None,
) -> AppliedGrants:
    """Apply a message of the leader.

    Parameters
    ----------
    section : RolloutSection
        Changed in place.
    message : RolloutGrants
        Reply to a report, or pushed by the leader.
    sent_at : float, optional
        Time in seconds at which the report was sent; None for a pushed message. Leases
        count from the last report that was answered, as it is not known for how long a
        message has waited on its way, or in the memory of a suspended host.
    announced : mapping, optional
        Versions of each service that were announced when the report was sent.

    Returns
    -------
    AppliedGrants
        What has changed.
    """
    applied = AppliedGrants()
    is_newest = (message.term, message.revision) >= (section.term, section.revision)
    if message.term <= 0 or message.revision < 0 or not is_newest:
        return applied
    applied.is_applied = True
    section.term, section.revision = message.term, message.revision
    if sent_at is not None:
        section.confirmed_at = max(section.confirmed_at, sent_at)
        section.has_grants = True
    for grant in message.grants:
        reason = _reason_to_ignore(section, grant)
        if reason is not None:
            applied.ignored.append((reason, grant))
            continue
        if _apply_grant(section, grant):
            applied.changed.append(grant)
    if announced is not None:
        invalid = {grant.service for _, grant in applied.ignored}
        for service, versions in announced.items():
            if service not in invalid:
                section.confirmed[service] = versions
        for service in section.confirmed.keys() - announced.keys():
            del section.confirmed[service]
    return applied


def _apply_grant(section: RolloutSection, grant: RolloutGrant) -> bool:
    """Apply a valid grant; return whether it differs from the one before."""
    lease_until = section.confirmed_at + grant.lease_ms / MS_PER_S
    known = section.rollouts.get(grant.service)
    if known is None or known.grant.number != grant.number:
        section.rollouts[grant.service] = KnownRollout(grant, lease_until)
        return True
    has_changed = known.grant != grant
    known.grant, known.lease_until = grant, lease_until
    if known.has_ended:
        known.outcomes.rows.clear()
    return has_changed


def _reason_to_ignore(section: RolloutSection, grant: RolloutGrant) -> str | None:
    """Return why a grant is ignored, or None."""
    if grant.number <= 0:
        return "number is not positive"
    if not (
        0 < len(grant.service) <= MAX_NAME_LENGTH
        and 0 < len(grant.target) <= MAX_NAME_LENGTH
    ):
        return "name is empty or too long"
    if not (isfinite(grant.share) and 0.0 <= grant.share <= 1.0):
        return "share is not between 0 and 1"
    if not 0 <= grant.lease_ms <= MAX_LEASE_MS:
        return "lease is negative or too long"
    known = section.rollouts.get(grant.service)
    if known is None:
        is_full = len(section.rollouts) >= MAX_ROLLOUTS
        return "too many services have rollouts" if is_full else None
    if grant.number < known.grant.number:
        return "a later rollout is known"
    if grant.number > known.grant.number:
        return None
    if grant.target != known.grant.target:
        return "target differs from the one known"
    return "a later stage is known" if grant.stage < known.grant.stage else None
