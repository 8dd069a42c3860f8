"""Number of admission slots of a service at this host."""

from collections.abc import Callable

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import ServiceName, UpstreamId
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.core.settings.tree import upstream_is_drained
from cranberryfield.entry.membership import (
    KnownUpstream,
    PeersSection,
    UpstreamsSection,
    leased_upstreams,
    live_peers,
)
from cranberryfield.entry.routing.scoring import DispatchSection

__all__ = ["UNLIMITED_SLOTS", "make_slot_counter", "service_slots"]

#: Factor by which slots exceed the capacity, so that engine batches stay full.
OVERCOMMIT_FACTOR = 1.1
#: Slots of a service without upstreams: routing then refuses its requests.
UNLIMITED_SLOTS = 1_000_000
MIN_SLOTS = 1


def service_slots(
    leased: list[KnownUpstream], in_flight: dict[UpstreamId, int], hosts: int
) -> int:
    """Return the number of requests that may run concurrently from this host.

    Parameters
    ----------
    leased : list of KnownUpstream
        Upstreams of the service that have a valid lease.
    in_flight : dict
        Number of requests of this host in flight at each upstream.
    hosts : int
        Number of live entry hosts, including this one.

    Returns
    -------
    int
        An equal part of the capacity, or more while the load reports of the
        upstreams show that other hosts do not use their parts.
    """
    if not leased:
        return UNLIMITED_SLOTS
    capacity = sum(known.record.capacity for known in leased)
    own_runs = sum(in_flight.get(known.record.upstream, 0) for known in leased)
    other_runs = 0
    for known in leased:
        load = known.record.load
        own_at_upstream = in_flight.get(known.record.upstream, 0)
        other_runs += max(0, load.running + load.queued - own_at_upstream)
    equal_part = capacity * OVERCOMMIT_FACTOR / max(1, hosts)
    free = capacity * OVERCOMMIT_FACTOR - other_runs - own_runs
    # Only half of the free slots, since the other hosts see the same ones.
    return max(MIN_SLOTS, int(max(equal_part, own_runs + free / 2)))


def make_slot_counter(board: Blackboard, clock: Clock) -> Callable[[ServiceName], int]:
    """Return a function that computes a service's slots at this host."""
    upstreams = board.read(UpstreamsSection)
    peers = board.read(PeersSection)
    dispatched = board.read(DispatchSection)
    settings = board.read(SettingsSection)

    def count_slots(service: ServiceName) -> int:
        now = clock()
        leased = [
            known
            for known in leased_upstreams(upstreams, service, now)
            if not upstream_is_drained(settings.tree, known.record.upstream)
        ]
        hosts = len(live_peers(peers, now))
        unusable = _in_flight_at_unusable(upstreams, dispatched, service, leased)
        return unusable + service_slots(leased, dispatched.in_flight, hosts)

    return count_slots


def _in_flight_at_unusable(
    upstreams: UpstreamsSection,
    dispatched: DispatchSection,
    service: ServiceName,
    leased: list[KnownUpstream],
) -> int:
    """Count requests in flight at unusable upstreams of a service.

    They do not occupy slots of the usable upstreams.
    """
    usable = {known.record.upstream for known in leased}
    return sum(
        count
        for upstream, count in dispatched.in_flight.items()
        if upstream not in usable
        and (known := upstreams.upstreams.get(upstream)) is not None
        and known.record.service == service
    )
