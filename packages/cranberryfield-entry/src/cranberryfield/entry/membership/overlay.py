"""Overlay network: the entry hosts that keep persistent links to each other."""

import xxhash

from cranberryfield.core.ids import NodeId

__all__ = ["FULL_MESH_NODES", "dialled_neighbours", "neighbours"]

#: Largest number of entry hosts that form a full mesh.
FULL_MESH_NODES = 10
CHORD_BASE = 4


def _ring_key(node: NodeId) -> tuple[int, NodeId]:
    return (xxhash.xxh64_intdigest(node.encode()), node)


def neighbours(own: NodeId, nodes: list[NodeId]) -> frozenset[NodeId]:
    """Return the hosts to which `own` keeps persistent links.

    The hosts are ordered on a ring by the hash of their ids. Each is linked to
    those 1, 4, 16, ... positions before and after it, so that a message reaches
    all hosts in a number of hops logarithmic in their number.

    Parameters
    ----------
    own : NodeId
        This node.
    nodes : list of NodeId
        All live entry hosts, including `own`.

    Returns
    -------
    frozenset of NodeId
        Neighbours, without `own`. The relation is symmetric among nodes that
        know the same hosts.

    Examples
    --------
    >>> names = [NodeId(f"entry-{number}") for number in range(360)]
    >>> len(neighbours(names[0], names))
    10
    """
    others = frozenset(nodes) - {own}
    if len(nodes) <= FULL_MESH_NODES:
        return others
    ring = sorted(nodes, key=_ring_key)
    position = ring.index(own)
    found = set()
    step = 1
    while step < len(ring):
        found.add(ring[(position + step) % len(ring)])
        found.add(ring[position - step])
        step *= CHORD_BASE
    return frozenset(found) - {own}


def dialled_neighbours(own: NodeId, chosen: frozenset[NodeId]) -> frozenset[NodeId]:
    """Return the neighbours that `own` dials: those with a larger ring key."""
    return frozenset(node for node in chosen if _ring_key(node) > _ring_key(own))
