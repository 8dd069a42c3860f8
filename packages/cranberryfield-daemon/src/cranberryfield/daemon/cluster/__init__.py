"""Hosts that discover their control group and relay requests to upstreams.

`ProtocolAdapter` translates the protocols of callers, upstreams, operators and
the cloud.
"""

from cranberryfield.daemon.cluster.host import run_cluster_host
from cranberryfield.daemon.cluster.protocol_adapter import (
    ControlOperations,
    ProtocolAdapter,
)

__all__ = ["ControlOperations", "ProtocolAdapter", "run_cluster_host"]
