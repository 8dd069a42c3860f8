"""Selection of the upstreams whose lease renewals a node receives."""

from collections import defaultdict

import xxhash

from cranberryfield.core.ids import DataCentre, NodeId, ServiceName, UpstreamId
from cranberryfield.core.messages.membership import UpstreamRecord

__all__ = ["FOLLOWED_UPSTREAMS", "MIN_FOLLOWED_PER_SERVICE", "followed_upstreams"]

#: Number of upstreams that one node follows when more exist.
FOLLOWED_UPSTREAMS = 24
#: Minimum for each service, even if the total then exceeds the number above.
MIN_FOLLOWED_PER_SERVICE = 3
#: Fraction of a service's share reserved for other data centres.
REMOTE_RATIO = 0.25


def _rank(node: NodeId, record: UpstreamRecord) -> int:
    return xxhash.xxh64_intdigest(f"{node}\0{record.upstream}".encode())


def followed_upstreams(
    node: NodeId, data_centre: DataCentre, records: list[UpstreamRecord]
) -> frozenset[UpstreamId]:
    """Choose the upstreams that a node follows.

    The choice is deterministic and independent of the order of `records`.

    Parameters
    ----------
    node, data_centre : str
        This node and its data centre.
    records : list of UpstreamRecord
        Upstreams that are not leaving.

    Returns
    -------
    frozenset of UpstreamId
        All upstreams if there are at most `FOLLOWED_UPSTREAMS`. Otherwise a
        share for each service in proportion to its size, three quarters of
        it from the node's own data centre if that has enough.
    """
    if len(records) <= FOLLOWED_UPSTREAMS:
        return frozenset(record.upstream for record in records)
    by_service: dict[ServiceName, list[UpstreamRecord]] = defaultdict(list)
    for record in records:
        by_service[record.service].append(record)
    chosen: set[UpstreamId] = set()
    for members in by_service.values():
        quota = FOLLOWED_UPSTREAMS * len(members) // len(records)
        quota = max(MIN_FOLLOWED_PER_SERVICE, quota)
        members.sort(key=lambda one: _rank(node, one))
        local = [one for one in members if one.data_centre == data_centre]
        remote = [one for one in members if one.data_centre != data_centre]
        local = local[: quota - round(quota * REMOTE_RATIO)]
        chosen.update(one.upstream for one in local)
        chosen.update(one.upstream for one in remote[: quota - len(local)])
    return frozenset(chosen)
