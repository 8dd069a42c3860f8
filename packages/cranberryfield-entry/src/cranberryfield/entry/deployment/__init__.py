"""The declared deployment on a host that serves by it."""

from cranberryfield.entry.deployment.follower import DeploymentFollower
from cranberryfield.entry.deployment.section import (
    DeploymentSection,
    may_serve,
    take_deployment,
)

__all__ = [
    "DeploymentFollower",
    "DeploymentSection",
    "may_serve",
    "take_deployment",
]
