"""How many requests of a service may run from this host at once."""

from collections.abc import Callable

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import ServiceName, UpstreamId
from cranberryfield.entry.membership import (
    KnownUpstream,
    PeersSection,
    UpstreamsSection,
    fresh_upstreams,
    live_peers,
)
from cranberryfield.entry.routing.choose import DispatchSection

__all__ = ["make_places", "service_places"]

#: Places given out beyond the capacity, so that a batch is never short of work.
OVERCOMMIT = 1.1
#: Without any upstream a few requests go on, to be refused by the routing.
MIN_PLACES = 1


def service_places(
    fresh: list[KnownUpstream], in_flight: dict[UpstreamId, int], hosts: int
) -> int:
    """Return the number of requests that may run from this host at once.

    Parameters
    ----------
    fresh : list of KnownUpstream
        Upstreams of the service with a lease.
    in_flight : dict
        This host's own runs on each upstream.
    hosts : int
        Live entry hosts, this one included.

    Returns
    -------
    int
        An equal part of the capacity; more while the upstreams report that
        the other hosts leave theirs unused.
    """
    if not fresh:
        return MIN_PLACES
    capacity = sum(known.record.capacity for known in fresh)
    own = sum(in_flight.get(known.record.upstream, 0) for known in fresh)
    others = 0
    for known in fresh:
        load = known.record.load
        mine = in_flight.get(known.record.upstream, 0)
        others += max(0, load.running + load.queued - mine)
    equal_part = capacity * OVERCOMMIT / max(1, hosts)
    free = capacity * OVERCOMMIT - others - own
    # Half of what is free: the other hosts see the same free places.
    return max(MIN_PLACES, int(max(equal_part, own + free / 2)))


def make_places(board: Blackboard, clock: Clock) -> Callable[[ServiceName], int]:
    """Return the function that counts a service's places at this host."""
    upstreams = board.read(UpstreamsSection)
    peers = board.read(PeersSection)
    dispatched = board.read(DispatchSection)

    def places(service: ServiceName) -> int:
        now = clock()
        fresh = fresh_upstreams(upstreams, service, now)
        hosts = len(live_peers(peers, now))
        return service_places(fresh, dispatched.in_flight, hosts)

    return places
