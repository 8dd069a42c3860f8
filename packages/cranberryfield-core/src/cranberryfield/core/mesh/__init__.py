"""WebSocket links between the processes of a group, which carry CBOR frames."""

from cranberryfield.core.mesh.directory import ControlDirectory, ControlHostNames
from cranberryfield.core.mesh.mesh import Mesh

__all__ = ["ControlDirectory", "ControlHostNames", "Mesh"]
