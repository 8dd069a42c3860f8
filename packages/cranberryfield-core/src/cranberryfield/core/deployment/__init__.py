"""Declared deployments: routes, services, workspaces and request limits."""

from cranberryfield.core.deployment.model import (
    CallerLimits,
    Deployment,
    EngineCapacity,
    Route,
    RouteKind,
    ScalingSpec,
    ServiceSpec,
    WeightedService,
    WorkspaceSpec,
    decode_deployment,
    encode_deployment,
)
from cranberryfield.core.deployment.table import RouteTable
from cranberryfield.core.deployment.validation import validate_deployment

__all__ = [
    "CallerLimits",
    "Deployment",
    "EngineCapacity",
    "Route",
    "RouteKind",
    "RouteTable",
    "ScalingSpec",
    "ServiceSpec",
    "WeightedService",
    "WorkspaceSpec",
    "decode_deployment",
    "encode_deployment",
    "validate_deployment",
]
