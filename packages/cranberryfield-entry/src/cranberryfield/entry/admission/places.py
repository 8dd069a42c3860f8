"""Number of concurrency slots of a service at this host."""

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
    fresh_upstreams,
    live_peers,
)
from cranberryfield.entry.routing.choose import DispatchSection

__all__ = ["UNLIMITED_PLACES", "make_places", "service_places"]

#: Factor by which slots exceed the capacity, so that engine batches stay full.
OVERCOMMIT = 1.1
#: Slots of a service without upstreams: routing then refuses its requests.
UNLIMITED_PLACES = 1_000_000
MIN_PLACES = 1


def service_places(
    fresh: list[KnownUpstream], in_flight: dict[UpstreamId, int], hosts: int
) -> int:
    """Return the number of requests that may run concurrently from this host.

    Parameters
    ----------
    fresh : list of KnownUpstream
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
    if not fresh:
        return UNLIMITED_PLACES
    capacity = sum(known.record.capacity for known in fresh)
    own = sum(in_flight.get(known.record.upstream, 0) for known in fresh)
    others = 0
    for known in fresh:
        load = known.record.load
        mine = in_flight.get(known.record.upstream, 0)
        others += max(0, load.running + load.queued - mine)
    equal_part = capacity * OVERCOMMIT / max(1, hosts)
    free = capacity * OVERCOMMIT - others - own
    # Only half of the free slots, since the other hosts see the same ones.
    return max(MIN_PLACES, int(max(equal_part, own + free / 2)))


def make_places(board: Blackboard, clock: Clock) -> Callable[[ServiceName], int]:
    """Return a function that computes a service's slots at this host."""
    upstreams = board.read(UpstreamsSection)
    peers = board.read(PeersSection)
    dispatched = board.read(DispatchSection)
    settings = board.read(SettingsSection)

    def places(service: ServiceName) -> int:
        now = clock()
        fresh = [
            known
            for known in fresh_upstreams(upstreams, service, now)
            if not upstream_is_drained(settings.tree, known.record.upstream)
        ]
        hosts = len(live_peers(peers, now))
        ending = _runs_elsewhere(upstreams, dispatched, service, fresh)
        return ending + service_places(fresh, dispatched.in_flight, hosts)

    return places


def _runs_elsewhere(
    upstreams: UpstreamsSection,
    dispatched: DispatchSection,
    service: ServiceName,
    fresh: list[KnownUpstream],
) -> int:
    """Count requests in flight at unusable upstreams of a service.

    They do not occupy slots of the usable upstreams.
    """
    usable = {known.record.upstream for known in fresh}
    return sum(
        count
        for upstream, count in dispatched.in_flight.items()
        if upstream not in usable
        and (known := upstreams.upstreams.get(upstream)) is not None
        and known.record.service == service
    )
