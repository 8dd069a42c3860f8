"""Which peers understand the messages about shared slots."""

from cranberryfield.core.features import FeatureLevel
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh

__all__ = ["is_of_older_build", "understands_slots"]


def understands_slots(mesh: Mesh, node: NodeId) -> bool:
    """Return whether a linked peer understands the messages about shared slots.

    A mesh that does not know the levels of its peers takes all of them for equal.
    """
    supports = getattr(mesh, "supports", None)
    return supports is None or supports(node, FeatureLevel.ROLLOUTS)


def is_of_older_build(mesh: Mesh, node: NodeId) -> bool:
    """Return whether a linked peer does not understand the messages.

    Of one that is not linked, the build is not known.
    """
    return mesh.is_linked(node) and not understands_slots(mesh, node)
