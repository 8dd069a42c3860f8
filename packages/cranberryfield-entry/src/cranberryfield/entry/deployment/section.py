"""Deployment in force on a host and its lease."""

from dataclasses import dataclass

from cranberryfield.core.deployment import Deployment, RouteTable

__all__ = ["DeploymentSection", "install_deployment", "is_deployment_current"]


@dataclass(slots=True)
class DeploymentSection:
    """Section of the blackboard: deployment in force.

    Attributes
    ----------
    lease_s : float
        Time for which the deployment may be used after the leader of the control
        group confirmed that no newer version has been acknowledged, in seconds.
    table : RouteTable or None
        Deployment in force; None before the first one.
    confirmed_at : float
        Time in seconds, by a clock that counts suspensions, at which the last
        confirmed request was sent.
    """

    lease_s: float
    table: RouteTable | None = None
    confirmed_at: float = float("-inf")

    @property
    def version(self) -> int:
        """Version of the deployment in force; -1 if there is none."""
        return -1 if self.table is None else self.table.deployment.version


def install_deployment(section: DeploymentSection, deployment: Deployment) -> bool:
    """Install a committed deployment if its version is higher.

    Examples
    --------
    >>> section = DeploymentSection(4.0)
    >>> [install_deployment(section, Deployment(version)) for version in (7, 6)]
    [True, False]
    >>> section.version
    7
    """
    if deployment.version <= section.version:
        return False
    section.table = RouteTable.from_deployment(deployment)
    return True


def is_deployment_current(section: DeploymentSection, now: float) -> bool:
    """Return whether the lease of the deployment in force is valid.

    Parameters
    ----------
    section : DeploymentSection
        Section with the deployment.
    now : float
        Time in seconds by the clock of `confirmed_at`.

    Returns
    -------
    bool
        False before the first deployment and after the lease has expired without a
        confirmation, since an API key may have been revoked in the meantime.
    """
    return section.table is not None and now - section.confirmed_at < section.lease_s
