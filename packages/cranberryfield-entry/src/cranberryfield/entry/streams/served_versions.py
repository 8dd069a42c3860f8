"""Software versions that may have begun streams, and since when they are complete."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.streams import ServedVersion, StreamOrigins
from cranberryfield.entry.registry import RegistryTable

__all__ = [
    "ServedVersionSection",
    "VersionEvidence",
    "combine_answers",
    "forget_old_versions",
    "note_served_versions",
    "note_version",
    "recent_versions",
    "states_versions",
    "versions_in_service",
]

MS_PER_S = 1000
#: Time for which a version is kept after it was last in service, in seconds. Streams
#: that may run for longer are never taken for those of an only version.
KEEP_S = 3600.0
#: Time for which a relay may still begin streams at a version whose upstreams have
#: left as far as control hosts know, in seconds: the lease of a deployment and more.
LEFT_MARGIN_S = 10.0
#: Maximum number of versions of all services; beyond it the record is not complete.
MAX_VERSIONS = 1000


@dataclass(slots=True)
class ServedVersionSection:
    """Section of the blackboard: when each version was last in service.

    Attributes
    ----------
    last_served : dict
        By service and version, monotonic time in seconds.
    complete_since : float
        Monotonic time in seconds since which the versions are complete.
    """

    last_served: dict[ServiceName, dict[str, float]] = field(default_factory=dict)
    complete_since: float = float("-inf")

    def reach_s(self, now: float) -> float:
        """Return the time before `now` for which the versions are complete."""
        return min(KEEP_S, now - self.complete_since)


def note_version(
    section: ServedVersionSection,
    service: ServiceName,
    version: str,
    now: float,
    age_s: float = 0.0,
) -> bool:
    """Record that a version was in service; return whether it was not known.

    Parameters
    ----------
    section : ServedVersionSection
        Changed in place.
    service : ServiceName
        The service.
    version : str
        Software version of upstreams.
    now : float
        Monotonic time in seconds.
    age_s : float
        Time since the version was last in service, in seconds.

    Examples
    --------
    >>> section = ServedVersionSection()
    >>> [note_version(section, "drafts", "v1", now) for now in (1.0, 2.0)]
    [True, False]
    """
    versions = section.last_served.setdefault(service, {})
    is_new = version not in versions
    if is_new and sum(map(len, section.last_served.values())) >= MAX_VERSIONS:
        section.complete_since = now
        forget_old_versions(section, now, keep_s=0.0)
        versions = section.last_served.setdefault(service, {})
    versions[version] = max(versions.get(version, now - age_s), now - age_s)
    return is_new


def versions_in_service(
    table: RegistryTable,
) -> frozenset[tuple[ServiceName, str]]:
    """Return the services and versions of all upstreams that have not left."""
    return frozenset(
        (entry.record.service, entry.record.software_version)
        for entry in table.entries.values()
        if not entry.record.leaving
    )


def note_served_versions(
    section: ServedVersionSection, table: RegistryTable, now: float
) -> bool:
    """Record the versions of all upstreams that have not left.

    Returns
    -------
    bool
        Whether one of them was not known.
    """
    return any([note_version(section, *one, now) for one in versions_in_service(table)])


def forget_old_versions(
    section: ServedVersionSection, now: float, keep_s: float = KEEP_S
) -> None:
    """Remove versions that were last in service more than `keep_s` ago."""
    for service, versions in list(section.last_served.items()):
        for version, served_at in list(versions.items()):
            if now - served_at > keep_s:
                del versions[version]
        if not versions:
            del section.last_served[service]


def states_versions(section: ServedVersionSection, service: ServiceName) -> bool:
    """Return whether any upstream of a service has stated its version."""
    return any(section.last_served.get(service, ()))


def recent_versions(
    section: ServedVersionSection,
    table: RegistryTable,
    service: ServiceName,
    now: float,
) -> tuple[ServedVersion, ...]:
    """Return the known versions of a service with their ages."""
    in_service = versions_in_service(table)
    versions = section.last_served.get(service, {})
    return tuple(
        ServedVersion(
            version,
            int((now - served_at) * MS_PER_S),
            (service, version) in in_service,
        )
        for version, served_at in versions.items()
    )


@dataclass(frozen=True, slots=True)
class VersionEvidence:
    """What control hosts have answered of a service's versions.

    Attributes
    ----------
    versions : frozenset of str
        Versions that may have begun a stream that can still be taken up.
    in_service : frozenset of str
        Those whose upstreams serve now.
    has_majority : bool
        Whether a majority of the control hosts has answered.
    is_complete : bool
        Whether a majority of them knows all versions for as long as a stream may be
        taken up.
    is_alone : bool
        Whether no control host is known, so that there is nobody to ask.
    """

    versions: frozenset[str] = frozenset()
    in_service: frozenset[str] = frozenset()
    has_majority: bool = False
    is_complete: bool = False
    is_alone: bool = False


def combine_answers(
    answers: Iterable[StreamOrigins], control_hosts: int, longest_s: float
) -> VersionEvidence:
    """Combine the answers of control hosts.

    A relay sends streams to a version only once a majority of the control hosts has
    said that it knows the version. So any majority has one that knows. An answer of a
    build that states no reach counts as complete, as that build relies on the
    announcements that it passes on.

    Parameters
    ----------
    answers : iterable of StreamOrigins
        One answer of each control host that has answered.
    control_hosts : int
        Number of control hosts that the asking host knows.
    longest_s : float
        Longest time for which a stream may be taken up, in seconds.

    Examples
    --------
    >>> old, new = ServedVersion("v1", 90_000), ServedVersion("v2", 0, True)
    >>> told = StreamOrigins((), (old, new), 200_000, 3)
    >>> [sorted(combine_answers([told] * 2, 1, s).versions) for s in (60, 100)]
    [['v2'], ['v1', 'v2']]
    >>> [combine_answers([told] * n, 1, 60).is_complete for n in (1, 2)]
    [False, True]
    """
    answers = list(answers)
    total = max([control_hosts, *(one.control_hosts for one in answers)])
    oldest_ms = (longest_s + LEFT_MARGIN_S) * MS_PER_S
    stated = [version for one in answers for version in one.versions]
    complete = [one for one in answers if one.reach_ms < 0 or one.reach_ms >= oldest_ms]
    return VersionEvidence(
        frozenset(one.software_version for one in stated if one.age_ms <= oldest_ms),
        frozenset(one.software_version for one in stated if one.is_in_service),
        2 * len(answers) > total,
        2 * len(complete) > total,
        not total,
    )
