"""Which peers understand the messages about shared slots."""

from cranberryfield.core.features import FeatureLevel
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh

__all__ = ["understands_slots"]


def understands_slots(mesh: Mesh, node: NodeId) -> bool:
    """Return whether a peer understands the messages about shared slots.

    A mesh that does not know the levels of its peers takes all of them for equal.
    """
    supports = getattr(mesh, "supports", None)
    return supports is None or supports(node, FeatureLevel.ROLLOUTS)
