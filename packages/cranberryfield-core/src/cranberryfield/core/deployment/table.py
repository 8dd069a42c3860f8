"""Index of a deployment's routes, services and workspaces."""

from dataclasses import dataclass, field

from cranberryfield.core.deployment.model import (
    Deployment,
    Route,
    ServiceSpec,
    WorkspaceSpec,
)
from cranberryfield.core.ids import ServiceName

__all__ = ["RouteTable"]


@dataclass(slots=True)
class RouteTable:
    """Index of a deployment for look-ups by host name and path, name and key.

    Attributes
    ----------
    deployment : Deployment
        The indexed deployment.
    services : dict
        Services by name.
    """

    deployment: Deployment
    services: dict[ServiceName, ServiceSpec] = field(default_factory=dict)
    _routes: dict[str, dict[str, Route]] = field(default_factory=dict)
    _workspaces: dict[str, WorkspaceSpec] = field(default_factory=dict)

    @classmethod
    def from_deployment(cls, deployment: Deployment) -> "RouteTable":
        """Build the index of a valid deployment."""
        table = cls(
            deployment, {service.name: service for service in deployment.services}
        )
        for route in deployment.routes:
            table._routes.setdefault(route.host.lower(), {})[route.prefix] = route
        for workspace in deployment.workspaces:
            table._workspaces.update(dict.fromkeys(workspace.keys, workspace))
        return table

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path.

        Parameters
        ----------
        host : str
            Host name of the request, with or without a port.
        path : str
            Path of the request, with or without a query.

        Returns
        -------
        Route or None
            None if no route matches.
        """
        by_prefix = self._routes.get(host.partition(":")[0].lower())
        if not by_prefix:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_workspace(self, key: str) -> WorkspaceSpec | None:
        """Return the workspace that a key belongs to; None if there is none."""
        return self._workspaces.get(key)
