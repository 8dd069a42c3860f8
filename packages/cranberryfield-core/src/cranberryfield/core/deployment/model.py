"""Data types of a declared deployment."""

from enum import Enum

import msgspec

from cranberryfield.core.ids import DataCentre, ServiceName, WorkspaceId

__all__ = [
    "CallerLimits",
    "Deployment",
    "EngineCapacity",
    "Route",
    "RouteKind",
    "ScalingSpec",
    "ServiceSpec",
    "WeightedService",
    "WorkspaceSpec",
    "decode_deployment",
    "encode_deployment",
]


class RouteKind(Enum):
    """Kind of a route's requests, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its relative share of a route's requests."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Target services and limits for requests to a host name and path prefix.

    Attributes
    ----------
    name : str
        Name of the route.
    host, prefix : str
        Host name and path prefix that a request must match; the route with the
        longest matching prefix is used.
    kind : RouteKind
        Kind of the requests, which decides whether they may be retried.
    targets : tuple of WeightedService
        Services that serve the route.
    timeout_ms : float
        Timeout of a request, in milliseconds.
    target_ms : float
        Latency target in milliseconds; for a stream, of its first event.
    max_attempts : int
        Maximum number of upstreams to which one request is sent.
    rank : int
        Priority of the requests; 0 is the highest.
    public : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may be resumed at another upstream.
    pause_target_ms : float or None
        Target for the pause between two events of a stream, in milliseconds.
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
        """Whether a request may be run again if its outcome is unknown."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


class EngineCapacity(msgspec.Struct, frozen=True):
    """Capacity of one engine of a service.

    Attributes
    ----------
    places : int
        Maximum number of requests in one batch.
    kv_tokens : int
        Size of the KV cache, in tokens.
    """

    places: int
    kv_tokens: int


class ScalingSpec(msgspec.Struct, frozen=True):
    """Bounds on the number of ordered upstreams, and their prices.

    Attributes
    ----------
    least, most : int
        Minimum and maximum number of upstreams in each data centre, on-demand
        and reclaimable ones together.
    start_s : float
        Time from the order of an upstream until it serves, in seconds.
    reclaimable_ratio : float
        Price of a reclaimable upstream divided by the on-demand price.
    price_of : dict
        On-demand price by data centre, in any common unit.
    """

    least: int
    most: int
    start_s: float
    reclaimable_ratio: float
    price_of: dict[DataCentre, float]


class ServiceSpec(msgspec.Struct, frozen=True):
    """Specification of a service.

    Attributes
    ----------
    name : ServiceName
        Name of the service.
    max_connections : int
        Maximum number of connections to one upstream from all hosts together;
        0 for no limit.
    engine : EngineCapacity or None
        Capacity of an engine; None for a plain service.
    scaling : ScalingSpec or None
        Bounds and prices for ordering upstreams; None if none can be ordered.
    """

    name: ServiceName
    max_connections: int = 0
    engine: EngineCapacity | None = None
    scaling: ScalingSpec | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size of requests and on the time to receive them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class WorkspaceSpec(msgspec.Struct, frozen=True):
    """Specification of a workspace.

    Attributes
    ----------
    name : WorkspaceId
        Name of the workspace.
    keys : tuple of str
        Keys that authenticate its callers.
    rank : int or None
        Priority that overrides the route's; None to use the route's.
    rate_per_s, burst : float
        Rate and burst of the quota over all hosts; a rate of 0 means no limit.
    counts_tokens : bool
        Whether the quota counts tokens instead of requests.
    default_tokens : int
        Tokens charged for a request that does not state a number.
    """

    name: WorkspaceId
    keys: tuple[str, ...] = ()
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 1


class Deployment(msgspec.Struct, frozen=True):
    """Versioned declaration of routes, services, workspaces and limits.

    Attributes
    ----------
    version : int
        Version chosen by the operator; the highest one is in force.
    routes, services, workspaces : tuple
        The declared routes, services and workspaces.
    limits : CallerLimits
        Limits for requests of all callers.
    document : bytes
        The declaration as the operator sent it, returned when it is read.
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
    """Decode the output of `encode_deployment`.

    Examples
    --------
    >>> decode_deployment(encode_deployment(Deployment(7))).version
    7
    """
    return msgspec.msgpack.decode(data, type=Deployment)
