"""The deployment in force on one host, and how long it may be served by."""

from dataclasses import dataclass

from cranberryfield.core.deployment import Deployment, RouteTable

__all__ = ["DeploymentSection", "may_serve", "take_deployment"]


@dataclass(slots=True)
class DeploymentSection:
    """Section of the blackboard: the deployment in force.

    Attributes
    ----------
    lease_s : float
        Time for which keys are honoured after the leader of the control group
        last confirmed that no newer version was acknowledged, in seconds.
    table : RouteTable or None
        The deployment; None before the first.
    confirmed_at : float
        Time in seconds, by a clock that counts suspensions, at which the
        question was sent that was last answered so.
    """

    lease_s: float
    table: RouteTable | None = None
    confirmed_at: float = float("-inf")

    @property
    def version(self) -> int:
        """Version in force; -1 for none."""
        return -1 if self.table is None else self.table.deployment.version


def take_deployment(section: DeploymentSection, deployment: Deployment) -> bool:
    """Put a committed deployment in force if its version is higher.

    Examples
    --------
    >>> section = DeploymentSection(4.0)
    >>> take_deployment(section, Deployment(7)), take_deployment(section, Deployment(6))
    (True, False)
    >>> section.version
    7
    """
    if deployment.version <= section.version:
        return False
    section.table = RouteTable.from_deployment(deployment)
    return True


def may_serve(section: DeploymentSection, now: float) -> bool:
    """Say whether the deployment in force is current enough to serve with.

    Parameters
    ----------
    section : DeploymentSection
        The deployment.
    now : float
        Time in seconds by the clock of `confirmed_at`.

    Returns
    -------
    bool
        False before the first deployment, and once no confirmation has come
        for the time of the lease: a key may have been withdrawn meanwhile.
    """
    return section.table is not None and now - section.confirmed_at < section.lease_s
