"""How many requests of a service may run from this host at once."""

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
from cranberryfield.entry.routing.choose import DispatchSection

__all__ = ["UNLIMITED_PLACES", "make_places", "service_places"]

#: Places given out beyond the capacity, so that a batch is never short of work.
OVERCOMMIT = 1.1
#: Without any upstream requests go on at once, to be refused by the routing.
UNLIMITED_PLACES = 1_000_000
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
    # Half of what is free: the other hosts see the same free places.
    return max(MIN_PLACES, int(max(equal_part, own + free / 2)))


def make_places(board: Blackboard, clock: Clock) -> Callable[[ServiceName], int]:
    """Return the function that counts a service's places at this host."""
    upstreams = board.read(UpstreamsSection)
    peers = board.read(PeersSection)
    dispatched = board.read(DispatchSection)
    settings = board.read(SettingsSection)

    def places(service: ServiceName) -> int:
        now = clock()
        fresh = [
            known
            for known in leased_upstreams(upstreams, service, now)
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
    """Count runs on upstreams that leave; they take no place of the others."""
    usable = {known.record.upstream for known in fresh}
    return sum(
        count
        for upstream, count in dispatched.in_flight.items()
        if upstream not in usable
        and (known := upstreams.upstreams.get(upstream)) is not None
        and known.record.service == service
    )
