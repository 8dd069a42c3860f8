"""Consistency checks of a declared deployment."""

from collections import Counter

from cranberryfield.core.deployment.model import Deployment

__all__ = ["deployment_faults"]


def deployment_faults(deployment: Deployment) -> list[str]:
    """Check the routes, weights, timeouts and keys of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Deployment to check.

    Returns
    -------
    list of str
        One message for each fault; empty for a valid deployment.

    Examples
    --------
    >>> deployment_faults(Deployment(1))
    []
    """
    return [
        *_route_faults(deployment),
        *_repeated_places(deployment),
        *_shared_keys(deployment),
    ]


def _route_faults(deployment: Deployment) -> list[str]:
    services = {service.name for service in deployment.services}
    found = []
    for route in deployment.routes:
        unknown = sorted({one.service for one in route.targets} - services)
        found += [f"route {route.name}: unknown service {name}" for name in unknown]
        if any(one.weight < 0 for one in route.targets):
            found.append(f"route {route.name}: the weight of a service is negative")
        if sum(one.weight for one in route.targets) <= 0:
            found.append(f"route {route.name}: the weights of its services add up to 0")
        if not route.timeout_ms > 0:
            found.append(f"route {route.name}: the timeout must be above 0")
    return found


def _repeated_places(deployment: Deployment) -> list[str]:
    places = Counter((route.host, route.prefix) for route in deployment.routes)
    return [
        f"{count} routes have host {host} and prefix {prefix}"
        for (host, prefix), count in places.items()
        if count > 1
    ]


def _shared_keys(deployment: Deployment) -> list[str]:
    holders: dict[str, set[str]] = {}
    for workspace in deployment.workspaces:
        for key in workspace.keys:
            holders.setdefault(key, set()).add(workspace.name)
    return [
        f"workspaces {', '.join(sorted(names))} share a key"
        for names in holders.values()
        if len(names) > 1
    ]
