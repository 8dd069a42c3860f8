"""Hosts that find their control group by themselves and relay requests.

What callers, upstreams and operators speak is given by `Faces`.
"""

from cranberryfield.daemon.cluster.faces import Faces, OperatorServices
from cranberryfield.daemon.cluster.host import run_cluster_host

__all__ = ["Faces", "OperatorServices", "run_cluster_host"]
