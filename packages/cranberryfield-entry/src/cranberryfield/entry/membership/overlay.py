"""Which entry hosts keep links to each other standing."""

import xxhash

from cranberryfield.core.ids import NodeId

__all__ = ["FULL_MESH_NODES", "dialled_neighbours", "neighbours"]

#: Up to this many entry hosts, each is linked to all others.
FULL_MESH_NODES = 10
CHORD_BASE = 4


def _place(node: NodeId) -> tuple[int, NodeId]:
    return (xxhash.xxh64_intdigest(node.encode()), node)


def neighbours(own: NodeId, nodes: list[NodeId]) -> frozenset[NodeId]:
    """Return the hosts to which `own` has standing links.

    The hosts lie on a ring in the order of their hashes. Each is linked to
    those 1, 4, 16, ... places before and after it, so that a message reaches
    all in a number of steps that grows with the logarithm of their number.

    Parameters
    ----------
    own : NodeId
        This node.
    nodes : list of NodeId
        All live entry hosts, `own` among them.

    Returns
    -------
    frozenset of NodeId
        Without `own`; symmetric among nodes that know the same hosts.

    Examples
    --------
    >>> names = [NodeId(f"entry-{number}") for number in range(360)]
    >>> len(neighbours(names[0], names))
    10
    """
    others = frozenset(nodes) - {own}
    if len(nodes) <= FULL_MESH_NODES:
        return others
    ring = sorted(nodes, key=_place)
    place = ring.index(own)
    found = set()
    step = 1
    while step < len(ring):
        found.add(ring[(place + step) % len(ring)])
        found.add(ring[place - step])
        step *= CHORD_BASE
    return frozenset(found) - {own}


def dialled_neighbours(own: NodeId, chosen: frozenset[NodeId]) -> frozenset[NodeId]:
    """Return the neighbours to which `own` opens the link: those after it."""
    return frozenset(node for node in chosen if _place(node) > _place(own))
