"""Interface of the adapter that translates outside protocols for a cluster host."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from cranberryfield.core.clock import Clock
from cranberryfield.core.deployment import RouteTable
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.http1 import ConnectionPool, Exchange
from cranberryfield.core.ids import UpstreamId
from cranberryfield.core.messages.deployment import (
    DeclareDeployment,
    DeploymentDeclared,
    DeploymentView,
)
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.daemon.cluster.duties import CloudCalls
from cranberryfield.entry.relay import RelayRequest, UpstreamCodec

__all__ = ["Faces", "OperatorServices"]


@dataclass(frozen=True, slots=True)
class OperatorServices:
    """Operations of a control host for operators and upstreams.

    Attributes
    ----------
    declare : callable
        Commits a deployment to the log.
    read : callable
        Returns the deployment with the highest acknowledged version.
    announce : callable
        Registers an announcement of an upstream.
    depart : callable
        Marks an upstream as leaving; if an incarnation is given, only that
        incarnation.
    """

    declare: Callable[[DeclareDeployment], Awaitable[DeploymentDeclared]]
    read: Callable[[], Awaitable[DeploymentView]]
    announce: Callable[[UpstreamRecord], None]
    depart: Callable[[UpstreamId, int | None], None]


@dataclass(frozen=True, slots=True)
class Faces:
    """Functions that translate the protocols of a cluster host's environment.

    Attributes
    ----------
    read_request : callable
        Converts a caller's request to a `RelayRequest`; raises a `CallerError`.
    dialect : UpstreamCodec
        Codec for the headers that are exchanged with upstreams.
    refuse : callable
        Sends an error response to a caller.
    answer_readiness : callable
        Responds to the load balancer's readiness check.
    answer_operator : callable
        Handles a request of an operator or upstream at a control host.
    cloud_calls : callable
        Returns a client of the cloud API at an address.
    """

    read_request: Callable[[Exchange, RouteTable, Clock], RelayRequest]
    dialect: UpstreamCodec
    refuse: Callable[[Exchange, CranberryfieldError], Awaitable[None]]
    answer_readiness: Callable[[Exchange, bool], Awaitable[None]]
    answer_operator: Callable[[Exchange, OperatorServices], Awaitable[None]]
    cloud_calls: Callable[[ConnectionPool, str], CloudCalls]
