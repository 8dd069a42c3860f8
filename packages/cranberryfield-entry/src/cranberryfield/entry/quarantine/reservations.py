"""Reservations of upstreams for suspected requests."""

from dataclasses import dataclass, field

from cranberryfield.core.ids import NodeId, UpstreamId

__all__ = [
    "ReservationSection",
    "UpstreamReservation",
    "release_upstream",
    "reserve_upstream",
]


@dataclass(frozen=True, slots=True)
class UpstreamReservation:
    """Reservation of an upstream for a suspect, until a monotonic time in seconds."""

    suspect: tuple[NodeId, bytes]
    until: float


@dataclass(slots=True)
class ReservationSection:
    """Section of the blackboard: reservations that this host has granted."""

    reservations: dict[UpstreamId, UpstreamReservation] = field(default_factory=dict)


def reserve_upstream(
    section: ReservationSection,
    upstream: UpstreamId,
    suspect: tuple[NodeId, bytes],
    now: float,
    until: float,
) -> bool:
    """Reserve an upstream for a suspect unless another one has reserved it.

    Parameters
    ----------
    section : ReservationSection
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
    >>> section = ReservationSection()
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
    section: ReservationSection, upstream: UpstreamId, suspect: tuple[NodeId, bytes]
) -> None:
    """Release a suspect's reservation of an upstream."""
    reservation = section.reservations.get(upstream)
    if reservation is not None and reservation.suspect == suspect:
        del section.reservations[upstream]
