"""Reservations of upstreams for suspected requests."""

from cranberryfield.entry.quarantine.reservations import (
    ReservationSection,
    release_upstream,
    reserve_upstream,
)


def test_only_the_reservation_holder_can_release_it():
    section = ReservationSection()
    first, second = ("e1", b"f"), ("e2", b"g")
    assert reserve_upstream(section, "u1", first, 0.0, 9.0)
    release_upstream(section, "u1", second)
    assert not reserve_upstream(section, "u1", second, 1.0, 9.0)
    assert reserve_upstream(section, "u1", first, 1.0, 9.0)
    release_upstream(section, "u1", first)
    assert reserve_upstream(section, "u1", second, 1.0, 9.0)
