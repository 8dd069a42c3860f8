"""Replication of the declared deployment to a relay host."""

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
