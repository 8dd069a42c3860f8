"""The functions that translate between a cluster host and those around it."""

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
    """What a control host does for operators and upstreams.

    Attributes
    ----------
    declare : callable
        Puts a deployment through the log.
    read : callable
        Returns the deployment with the highest acknowledged version.
    announce : callable
        Takes in what an upstream says of itself.
    depart : callable
        Takes in that an upstream, of an incarnation if given, takes itself
        out of use.
    """

    declare: Callable[[DeclareDeployment], Awaitable[DeploymentDeclared]]
    read: Callable[[], Awaitable[DeploymentView]]
    announce: Callable[[UpstreamRecord], None]
    depart: Callable[[UpstreamId, int | None], None]


@dataclass(frozen=True, slots=True)
class Faces:
    """What is spoken around a cluster host.

    Attributes
    ----------
    read_request : callable
        Makes a `RelayRequest` of what a caller sent; raises a `CallerError`.
    dialect : UpstreamCodec
        What upstreams are sent.
    refuse : callable
        Answers a caller with an error.
    answer_readiness : callable
        Answers the balancer.
    answer_operator : callable
        Answers an operator or an upstream at a control host.
    cloud_calls : callable
        Returns the calls of the cloud API at an address.
    """

    read_request: Callable[[Exchange, RouteTable, Clock], RelayRequest]
    dialect: UpstreamCodec
    refuse: Callable[[Exchange, CranberryfieldError], Awaitable[None]]
    answer_readiness: Callable[[Exchange, bool], Awaitable[None]]
    answer_operator: Callable[[Exchange, OperatorServices], Awaitable[None]]
    cloud_calls: Callable[[ConnectionPool, str], CloudCalls]
