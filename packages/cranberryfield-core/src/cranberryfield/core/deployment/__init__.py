"""Declared deployments: routes, services, workspaces and request limits."""

from cranberryfield.core.deployment.check import deployment_faults
from cranberryfield.core.deployment.model import (
    CallerLimits,
    Deployment,
    EngineTraits,
    PriceOfRunners,
    Route,
    RouteKind,
    ServiceSpec,
    WeightedService,
    WorkspaceSpec,
    decode_deployment,
    encode_deployment,
)
from cranberryfield.core.deployment.table import RouteTable

__all__ = [
    "CallerLimits",
    "Deployment",
    "EngineTraits",
    "PriceOfRunners",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceSpec",
    "WeightedService",
    "WorkspaceSpec",
    "decode_deployment",
    "deployment_faults",
    "encode_deployment",
]
