"""Links between processes of the system: websockets that carry CBOR frames."""

from cranberryfield.core.mesh.directory import ControlDirectory, ControlHostNames
from cranberryfield.core.mesh.mesh import Mesh

__all__ = ["ControlDirectory", "ControlHostNames", "Mesh"]
