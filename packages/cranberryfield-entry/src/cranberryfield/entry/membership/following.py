"""Which upstreams' renewals a node asks for."""

from collections import defaultdict

import xxhash

from cranberryfield.core.ids import DataCentre, NodeId, ServiceName, UpstreamId
from cranberryfield.core.messages.membership import UpstreamRecord

__all__ = ["FOLLOWED_UPSTREAMS", "MIN_PER_SERVICE", "followed_upstreams"]

#: Upstreams whose renewals one node receives, where there are more.
FOLLOWED_UPSTREAMS = 24
#: At least this many of each service, beyond the number above if need be.
MIN_PER_SERVICE = 3
#: Part of a service's places that goes to other data centres.
SPILL_RATIO = 0.25


def _rank(node: NodeId, record: UpstreamRecord) -> int:
    return xxhash.xxh64_intdigest(f"{node}\0{record.upstream}".encode())


def followed_upstreams(
    node: NodeId, data_centre: DataCentre, records: list[UpstreamRecord]
) -> frozenset[UpstreamId]:
    """Choose the same upstreams for the same table, whatever its order.

    Parameters
    ----------
    node, data_centre : str
        This node and where it runs.
    records : list of UpstreamRecord
        Upstreams that are not leaving.

    Returns
    -------
    frozenset of UpstreamId
        All of them if they are few. Else a share for each service, three
        quarters of it in the node's own data centre as far as it has so many.
    """
    if len(records) <= FOLLOWED_UPSTREAMS:
        return frozenset(record.upstream for record in records)
    by_service: dict[ServiceName, list[UpstreamRecord]] = defaultdict(list)
    for record in records:
        by_service[record.service].append(record)
    chosen: set[UpstreamId] = set()
    for members in by_service.values():
        places = FOLLOWED_UPSTREAMS * len(members) // len(records)
        places = max(MIN_PER_SERVICE, places)
        members.sort(key=lambda one: _rank(node, one))
        near = [one for one in members if one.data_centre == data_centre]
        far = [one for one in members if one.data_centre != data_centre]
        near = near[: places - round(places * SPILL_RATIO)]
        chosen.update(one.upstream for one in near)
        chosen.update(one.upstream for one in far[: places - len(near)])
    return frozenset(chosen)
