"""Replication of the declared deployment to a relay host."""

from cranberryfield.entry.deployment.follower import DeploymentFollower
from cranberryfield.entry.deployment.section import (
    DeploymentSection,
    install_deployment,
    is_deployment_current,
)

__all__ = [
    "DeploymentFollower",
    "DeploymentSection",
    "install_deployment",
    "is_deployment_current",
]
