"""Types of a declared deployment."""

from enum import Enum

import msgspec

from cranberryfield.core.ids import DataCentre, ServiceName, WorkspaceId

__all__ = [
    "CallerLimits",
    "Deployment",
    "EngineTraits",
    "PriceOfRunners",
    "Route",
    "RouteKind",
    "ServiceSpec",
    "WeightedService",
    "WorkspaceSpec",
    "decode_deployment",
    "encode_deployment",
]


class RouteKind(Enum):
    """What may be done twice with a request of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of one host name and path prefix go, and how.

    Attributes
    ----------
    name : str
        Name of the route.
    host, prefix : str
        Host name, and beginning of the path; the longest prefix wins.
    kind : RouteKind
        What may be done twice.
    targets : tuple of WeightedService
        Services behind the route.
    timeout_ms : float
        Longest time that a caller is kept waiting, in milliseconds.
    target_ms : float
        Latency target, to the first event of a stream, in milliseconds.
    max_attempts : int
        Upstreams to which one request may be sent at most.
    rank : int
        Urgency; 0 is the most urgent.
    public : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may go on at another upstream.
    pause_target_ms : float or None
        Longest pause between events within the latency target.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[WeightedService, ...]
    timeout_ms: float
    target_ms: float
    max_attempts: int = 1
    rank: int = 0
    public: bool = False
    resumable: bool = False
    pause_target_ms: float | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be run again when its outcome is not known."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


class EngineTraits(msgspec.Struct, frozen=True):
    """What the engines of a service can do.

    Attributes
    ----------
    places : int
        Requests in one batch.
    kv_tokens : int
        Tokens that the memory of one engine holds.
    """

    places: int
    kv_tokens: int


class PriceOfRunners(msgspec.Struct, frozen=True):
    """How many upstreams may be ordered, and what they cost.

    Attributes
    ----------
    least, most : int
        Bounds of the number in each data centre, both classes together.
    start_s : float
        Time from an order until an upstream serves, in seconds.
    reclaimable_ratio : float
        Price of a reclaimable upstream as a part of the on-demand price.
    price_of : dict
        On-demand price by data centre, in any unit.
    """

    least: int
    most: int
    start_s: float
    reclaimable_ratio: float
    price_of: dict[DataCentre, float]


class ServiceSpec(msgspec.Struct, frozen=True):
    """One service.

    Attributes
    ----------
    name : ServiceName
        Its name.
    max_connections : int
        Connections that one upstream accepts from all hosts together; 0 for
        no bound.
    engine : EngineTraits or None
        Set for model engines.
    scaling : PriceOfRunners or None
        Set if upstreams of the service can be ordered.
    """

    name: ServiceName
    max_connections: int = 0
    engine: EngineTraits | None = None
    scaling: PriceOfRunners | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """What callers may send, and how slowly."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class WorkspaceSpec(msgspec.Struct, frozen=True):
    """One workspace.

    Attributes
    ----------
    name : WorkspaceId
        Its name.
    keys : tuple of str
        Keys by which its callers are known.
    rank : int or None
        Urgency that takes precedence over the route's.
    rate_per_s, burst : float
        Quota over all hosts; a rate of 0 is no limit.
    counts_tokens : bool
        Whether the quota counts tokens in place of requests.
    default_tokens : int
        Tokens that a request without a figure of its own counts.
    """

    name: WorkspaceId
    keys: tuple[str, ...] = ()
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 1


class Deployment(msgspec.Struct, frozen=True):
    """All that operators declare, under one version.

    Attributes
    ----------
    version : int
        Chosen by the operator; the highest one is in force.
    document : bytes
        The declaration as the operator sent it, to be read back.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    workspaces: tuple[WorkspaceSpec, ...] = ()
    limits: CallerLimits = CallerLimits()
    document: bytes = b""


def encode_deployment(deployment: Deployment) -> bytes:
    """Encode a deployment for the log and the mesh."""
    return msgspec.msgpack.encode(deployment)


def decode_deployment(data: bytes) -> Deployment:
    """Decode what `encode_deployment` made.

    Examples
    --------
    >>> decode_deployment(encode_deployment(Deployment(7))).version
    7
    """
    return msgspec.msgpack.decode(data, type=Deployment)
