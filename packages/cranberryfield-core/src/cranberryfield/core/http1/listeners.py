"""Limits on connections and bytes that follow from the machine of a process."""

import resource
from collections.abc import Callable
from dataclasses import dataclass

from cranberryfield.core.admission import (
    ByteBudget,
    ConnectionTable,
    ShedReason,
)
from cranberryfield.core.clock import Clock
from cranberryfield.core.config.cluster import ClusterConfig
from cranberryfield.core.config.daemon import DaemonConfig
from cranberryfield.core.http1.server import ServerLimits, ServerState
from cranberryfield.core.log_throttle import LogThrottle
from cranberryfield.core.mesh.handshakes import HandshakeGate
from cranberryfield.core.metrics import Metrics

__all__ = ["ListenerFactory", "ProcessLimits"]

#: Descriptors that are kept for files.
RESERVED_DESCRIPTORS = 200
#: Descriptors of a process that has no limit on them.
MAX_DESCRIPTORS = 1 << 20
#: Parts of the other descriptors for connections of callers, and for those of other
#: processes that have not shown the key yet.
CALLERS_PART = 1 / 2
LINKS_PART = 1 / 4
#: Connections of callers for each MiB of memory.
CONNECTIONS_PER_MB = 2.5
#: Part of the memory for requests, and for responses that wait for their caller.
HELD_PART = 1 / 5
#: Connections to a listener that only programs of the operators call, and the size of
#: a request on them, in bytes.
TOOL_CONNECTIONS = 32
TOOL_BODY_BYTES = 16_384
BYTES_PER_MB = 1 << 20


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits of one process.

    Attributes
    ----------
    caller_connections : int
        Connections to the listener for callers, or for operators and upstreams.
    link_connections : int
        Connections of other processes that have not shown the key yet.
    held_bytes : int
        Bytes of requests, and of responses that wait for their caller.
    """

    caller_connections: int
    link_connections: int
    held_bytes: int

    @classmethod
    def from_config(cls, config: ClusterConfig | DaemonConfig) -> "ProcessLimits":
        """Derive the limits that are not set from memory and descriptors.

        Parameters
        ----------
        config : ClusterConfig or DaemonConfig
            The checked settings.
        """
        descriptors = config.max_descriptors
        if descriptors is None:
            descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors == resource.RLIM_INFINITY:
            descriptors = MAX_DESCRIPTORS
        # A process with few descriptors keeps half of them.
        usable = max(descriptors - RESERVED_DESCRIPTORS, descriptors // 2)
        connections = config.max_connections or min(
            int(CALLERS_PART * usable), int(CONNECTIONS_PER_MB * config.memory_mb)
        )
        held_bytes = int(HELD_PART * config.memory_mb * BYTES_PER_MB)
        if config.max_held_mb is not None:
            held_bytes = int(config.max_held_mb * BYTES_PER_MB)
        return cls(
            min(connections, usable),
            int(LINKS_PART * usable),
            held_bytes,
        )


class ListenerFactory:
    """Makes the states of the listeners of one process, which share its limits.

    Parameters
    ----------
    limits : ProcessLimits
        The limits.
    metrics : Metrics
        Counts what they cost callers.
    clock : Clock
        Monotonic time.
    """

    def __init__(self, limits: ProcessLimits, metrics: Metrics, clock: Clock):
        self._limits = limits
        self._metrics = metrics
        self._throttle = LogThrottle(clock)
        self._budget = ByteBudget(limits.held_bytes)

    def for_callers(self, limits: ServerLimits, listener: str) -> ServerState:
        """Return the state of a listener for callers, or for operators."""
        return ServerState(
            limits,
            table=ConnectionTable(self._limits.caller_connections),
            budget=self._budget,
            on_shed=self.reporter(listener),
        )

    def for_tools(self, listener: str) -> ServerState:
        """Return the state of a listener for requests without a body."""
        return ServerState(
            ServerLimits(max_body_bytes=TOOL_BODY_BYTES),
            table=ConnectionTable(
                min(TOOL_CONNECTIONS, self._limits.caller_connections)
            ),
            budget=self._budget,
            on_shed=self.reporter(listener),
        )

    @property
    def budget(self) -> ByteBudget:
        """Bytes that all connections may hold."""
        return self._budget

    @property
    def caller_connections(self) -> int:
        """Number of connections of callers that may be open."""
        return self._limits.caller_connections

    def for_links(self) -> HandshakeGate:
        """Return the bound on connections of peers that have not shown the key."""
        table = ConnectionTable(self._limits.link_connections)
        return HandshakeGate(table, self.reporter("mesh"))

    def reporter(self, listener: str) -> Callable[[ShedReason], None]:
        """Return the function that counts and logs what a listener sheds."""

        def report(reason: ShedReason) -> None:
            self._metrics.count(f"shed_{reason.value}")
            self._throttle.warn(
                "load of callers shed", reason=reason.value, listener=listener
            )

        return report
