"""Links between processes of the system: websockets that carry CBOR frames."""

from cranberryfield.core.mesh.mesh import Mesh

__all__ = ["Mesh"]
