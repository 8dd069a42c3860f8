"""Reservation of upstreams for suspected requests, over hosts."""

from collections.abc import Callable

import xxhash

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId, UpstreamId
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.requests import LeavePlace, PlaceTaken, TakePlace
from cranberryfield.entry.quarantine.reservations import (
    ReservationSection,
    release_upstream,
    reserve_upstream,
)

__all__ = ["UpstreamReserver", "make_cluster_reserver"]

#: Time in milliseconds that a reservation may outlast the request's deadline.
RESERVATION_GRACE_MS = 1_000
ASK_TIMEOUT_S = 1.0
#: The same on a cluster, where a request may take another upstream, of which another
#: control host grants the reservations.
CLUSTER_ASK_TIMEOUT_S = 0.1
MS_PER_S = 1000


class UpstreamReserver:
    """Reserves upstreams for suspects, and grants reservations to other hosts.

    Parameters
    ----------
    section : ReservationSection
        Reservations that this host has granted; owned by this object.
    mesh : Mesh
        Links to other hosts.
    choose_host : callable
        Returns the host that grants reservations of an upstream, the same on all
        hosts; None if there is none in reach, so that nothing is reserved.
    clock : Clock
        Monotonic time.
    ask_timeout_s : float
        Time in seconds after which a reservation counts as not granted.
    """

    def __init__(
        self,
        section: ReservationSection,
        mesh: Mesh,
        choose_host: Callable[[UpstreamId], NodeId | None],
        clock: Clock,
        ask_timeout_s: float = ASK_TIMEOUT_S,
    ):
        self._section = section
        self._mesh = mesh
        self._choose_host = choose_host
        self._clock = clock
        self._ask_timeout_s = ask_timeout_s
        self._held: dict[tuple[UpstreamId, bytes], NodeId] = {}
        mesh.handle(TakePlace, self._on_reserve)
        mesh.handle(LeavePlace, self._on_release)

    async def reserve(
        self, upstream: UpstreamId, fingerprint: bytes, deadline: float
    ) -> bool:
        """Reserve an upstream for a suspect; return whether it may run there.

        Parameters
        ----------
        upstream : UpstreamId
            The upstream.
        fingerprint : bytes
            Fingerprint of the suspect.
        deadline : float
            Monotonic time in seconds at which its run has ended.
        """
        host = self._choose_host(upstream)
        if host is None:
            return True
        left_s = max(0.0, deadline - self._clock())
        reservation_ms = int(left_s * MS_PER_S) + RESERVATION_GRACE_MS
        message = TakePlace(upstream, fingerprint, reservation_ms)
        try:
            reply = await self._mesh.request(host, message, self._ask_timeout_s)
        except CranberryfieldError:
            return False
        if reply.granted:
            self._held[upstream, fingerprint] = host
        return reply.granted

    def release(self, upstream: UpstreamId, fingerprint: bytes) -> None:
        """Release a reservation, if there is one."""
        host = self._held.pop((upstream, fingerprint), None)
        if host is None:
            return
        message = LeavePlace(upstream, fingerprint)
        if host == self._mesh.hello.node:
            self._on_release(host, message)
        else:
            self._mesh.send(host, message)

    def _on_reserve(self, sender: NodeId, message: TakePlace) -> PlaceTaken:
        now = self._clock()
        until = now + message.reservation_ms / MS_PER_S
        suspect = (sender, message.fingerprint)
        return PlaceTaken(
            reserve_upstream(self._section, message.upstream, suspect, now, until)
        )

    def _on_release(self, sender: NodeId, message: LeavePlace) -> None:
        suspect = (sender, message.fingerprint)
        release_upstream(self._section, message.upstream, suspect)


def make_cluster_reserver(
    board: Blackboard, mesh: Mesh, names: ControlHostNames, clock: Clock
) -> UpstreamReserver:
    """Build the reserver of a host of a cluster.

    Each control host grants the reservations of a part of the upstreams.

    Parameters
    ----------
    board : Blackboard
        The reservations are added to it.
    mesh : Mesh
        Links to other processes.
    names : ControlHostNames
        Names of the control hosts.
    clock : Clock
        Monotonic time.
    """

    def choose_host(upstream: UpstreamId) -> NodeId | None:
        linked = [node for node in names.known() if mesh.is_linked(node)]
        return max(
            linked,
            key=lambda node: xxhash.xxh64_intdigest(f"{node}\0{upstream}".encode()),
            default=None,
        )

    section = board.add(ReservationSection())
    return UpstreamReserver(section, mesh, choose_host, clock, CLUSTER_ASK_TIMEOUT_S)
