"""The declared deployment in the replicated log, and the hosts that follow it."""

from cranberryfield.control.deployment.machine import (
    DeploymentState,
    apply_declaration,
)
from cranberryfield.control.deployment.publisher import DeploymentPublisher

__all__ = ["DeploymentPublisher", "DeploymentState", "apply_declaration"]
