"""The replicated deployment, and its publication to hosts."""

from cranberryfield.control.deployment.machine import (
    DeploymentState,
    apply_declaration,
)
from cranberryfield.control.deployment.publisher import DeploymentPublisher

__all__ = ["DeploymentPublisher", "DeploymentState", "apply_declaration"]
