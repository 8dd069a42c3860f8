"""Interface of the adapter that translates outside protocols for a cluster host."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from cranberryfield.core.clock import Clock
from cranberryfield.core.deployment import RouteTable
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.http1 import ConnectionPool, Exchange
from cranberryfield.core.ids import ServiceName, UpstreamId
from cranberryfield.core.messages.deployment import (
    DeclareDeployment,
    DeploymentDeclared,
    DeploymentView,
)
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.rollouts import (
    BeginRollout,
    RolloutBegun,
    RolloutView,
)
from cranberryfield.daemon.cluster.cloud import CloudClient
from cranberryfield.entry.relay import RelayRequest, UpstreamCodec

__all__ = ["ControlOperations", "ProtocolAdapter"]


@dataclass(frozen=True, slots=True)
class ControlOperations:
    """Operations of a control host for operators and upstreams.

    Attributes
    ----------
    declare_deployment : callable
        Commits a deployment to the log.
    read_deployment : callable
        Returns the deployment with the highest acknowledged version.
    announce : callable
        Registers an announcement of an upstream. If it leaves, most control hosts
        know it at the end.
    depart : callable
        Marks an upstream as leaving; if an incarnation is given, only that
        incarnation. Most control hosts know it at the end.
    begin_rollout : callable, optional
        Commits the order of a rollout; the leader states when it has begun and which
        versions serve. None if the deployment has no rollouts.
    read_rollout : callable, optional
        Returns the latest rollout of a service.
    """

    declare_deployment: Callable[[DeclareDeployment], Awaitable[DeploymentDeclared]]
    read_deployment: Callable[[], Awaitable[DeploymentView]]
    announce: Callable[[UpstreamRecord], Awaitable[None]]
    depart: Callable[[UpstreamId, int | None], Awaitable[None]]
    begin_rollout: Callable[[BeginRollout], Awaitable[RolloutBegun]] | None = None
    read_rollout: Callable[[ServiceName], Awaitable[RolloutView]] | None = None


@dataclass(frozen=True, slots=True)
class ProtocolAdapter:
    """Functions that translate the protocols of a cluster host's environment.

    Attributes
    ----------
    read_request : callable
        Converts a caller's request to a `RelayRequest`; raises a `CallerError`.
    upstream_codec : UpstreamCodec
        Codec for the headers that are exchanged with upstreams.
    answer_error : callable
        Sends an error response to a caller.
    answer_readiness : callable
        Responds to the load balancer's readiness check.
    answer_control_request : callable
        Handles a request of an operator or upstream at a control host.
    make_cloud_client : callable
        Returns a client of the cloud API at an address.
    """

    read_request: Callable[[Exchange, RouteTable, Clock], RelayRequest]
    upstream_codec: UpstreamCodec
    answer_error: Callable[[Exchange, CranberryfieldError], Awaitable[None]]
    answer_readiness: Callable[[Exchange, bool], Awaitable[None]]
    answer_control_request: Callable[[Exchange, ControlOperations], Awaitable[None]]
    make_cloud_client: Callable[[ConnectionPool, str], CloudClient]
