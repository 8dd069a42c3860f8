"""Hosts that discover their control group and relay requests to upstreams.

`Faces` translates the protocols of callers, upstreams, operators and the cloud.
"""

from cranberryfield.daemon.cluster.faces import Faces, OperatorServices
from cranberryfield.daemon.cluster.host import run_cluster_host

__all__ = ["Faces", "OperatorServices", "run_cluster_host"]
