"""Quarantine state of requests that may crash their upstreams."""

from dataclasses import dataclass, field

from cranberryfield.core.ids import Incarnation, NodeId, UpstreamId

__all__ = [
    "MAX_CRASHES",
    "QuarantineSection",
    "UpstreamReservation",
    "count_crashes",
    "record_crash",
    "release_upstream",
    "reserve_upstream",
]

#: Number of crashes with a request in flight after which it is refused.
MAX_CRASHES = 2
#: Number of most recently seen fingerprints retained; 16 bytes each.
MAX_FINGERPRINTS = 10_000
MAX_KNOWN_CRASHES = 1_000


@dataclass(frozen=True, slots=True)
class UpstreamReservation:
    """Reservation of an upstream for a suspect, until a monotonic time in seconds."""

    suspect: tuple[NodeId, bytes]
    until: float


@dataclass(slots=True)
class QuarantineSection:
    """Section of the blackboard: crashes and the requests in flight in them.

    Attributes
    ----------
    crashes : dict
        For each request fingerprint, the crashes it was in flight in.
    crashed_at : dict
        Earliest monotonic time at which each crash was noticed, in seconds.
    reservations : dict
        Reservation of each upstream for which this host grants them.
    """

    crashes: dict[bytes, set[tuple[UpstreamId, Incarnation]]] = field(
        default_factory=dict
    )
    crashed_at: dict[tuple[UpstreamId, Incarnation], float] = field(
        default_factory=dict
    )
    reservations: dict[UpstreamId, UpstreamReservation] = field(default_factory=dict)


def record_crash(
    section: QuarantineSection,
    fingerprint: bytes,
    upstream: UpstreamId,
    incarnation: Incarnation,
    at: float,
) -> bool:
    """Record that a request was in flight when an upstream crashed.

    Parameters
    ----------
    section : QuarantineSection
        Changed in place.
    fingerprint : bytes
        Fingerprint of the request.
    upstream, incarnation
        Upstream that crashed and its incarnation; each pair counts once.
    at : float
        Monotonic time in seconds at which the crash was noticed.

    Returns
    -------
    bool
        Whether the crash was not yet known for the request.
    """
    crashes = section.crashes.pop(fingerprint, set())
    crash = (upstream, incarnation)
    is_new = crash not in crashes
    crashes.add(crash)
    section.crashes[fingerprint] = crashes
    section.crashed_at[crash] = min(at, section.crashed_at.get(crash, at))
    for known, limit in (
        (section.crashes, MAX_FINGERPRINTS),
        (section.crashed_at, MAX_KNOWN_CRASHES),
    ):
        while len(known) > limit:
            del known[next(iter(known))]
    return is_new


def count_crashes(section: QuarantineSection, fingerprint: bytes) -> int:
    """Return the number of crashes that a request was in flight in."""
    return len(section.crashes.get(fingerprint, ()))


def reserve_upstream(
    section: QuarantineSection,
    upstream: UpstreamId,
    suspect: tuple[NodeId, bytes],
    now: float,
    until: float,
) -> bool:
    """Reserve an upstream for a suspect unless another one has reserved it.

    Parameters
    ----------
    section : QuarantineSection
        Changed in place.
    upstream : UpstreamId
        Upstream to reserve.
    suspect : tuple
        The host that runs the request, and its fingerprint.
    now, until : float
        Current time and end of the reservation, monotonic, in seconds.

    Returns
    -------
    bool
        Whether the suspect may run on the upstream.

    Examples
    --------
    >>> section = QuarantineSection()
    >>> reserve_upstream(section, "engine-1", ("entry-1", b"a"), 0.0, 9.0)
    True
    >>> reserve_upstream(section, "engine-1", ("entry-2", b"b"), 1.0, 9.0)
    False
    >>> reserve_upstream(section, "engine-1", ("entry-2", b"b"), 9.0, 18.0)
    True
    """
    reservation = section.reservations.get(upstream)
    if (
        reservation is not None
        and reservation.suspect != suspect
        and reservation.until > now
    ):
        return False
    section.reservations[upstream] = UpstreamReservation(suspect, until)
    return True


def release_upstream(
    section: QuarantineSection, upstream: UpstreamId, suspect: tuple[NodeId, bytes]
) -> None:
    """Release a suspect's reservation of an upstream."""
    reservation = section.reservations.get(upstream)
    if reservation is not None and reservation.suspect == suspect:
        del section.reservations[upstream]
