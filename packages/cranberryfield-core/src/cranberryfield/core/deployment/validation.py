"""Consistency checks of a declared deployment."""

from collections import Counter

from cranberryfield.core.deployment.model import Deployment

__all__ = ["validate_deployment"]


def validate_deployment(deployment: Deployment) -> list[str]:
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
    >>> validate_deployment(Deployment(1))
    []
    """
    return [
        *_find_route_faults(deployment),
        *_find_duplicate_routes(deployment),
        *_find_shared_keys(deployment),
    ]


def _find_route_faults(deployment: Deployment) -> list[str]:
    services = {service.name for service in deployment.services}
    faults = []
    for route in deployment.routes:
        unknown = sorted({target.service for target in route.targets} - services)
        faults += [f"route {route.name}: unknown service {name}" for name in unknown]
        if any(target.weight < 0 for target in route.targets):
            faults.append(f"route {route.name}: a weight is negative")
        if sum(target.weight for target in route.targets) <= 0:
            faults.append(f"route {route.name}: the weights add up to 0")
        if not route.timeout_ms > 0:
            faults.append(f"route {route.name}: the timeout is not above 0")
    return faults


def _find_duplicate_routes(deployment: Deployment) -> list[str]:
    # Host names are compared without their case (RFC 9110, section 4.2.3).
    paths = Counter((route.host.lower(), route.prefix) for route in deployment.routes)
    return [
        f"{count} routes have host {host} and prefix {prefix}"
        for (host, prefix), count in paths.items()
        if count > 1
    ]


def _find_shared_keys(deployment: Deployment) -> list[str]:
    workspaces_by_key: dict[str, set[str]] = {}
    for workspace in deployment.workspaces:
        for key in workspace.keys:
            workspaces_by_key.setdefault(key, set()).add(workspace.name)
    return [
        f"workspaces {', '.join(sorted(names))} share a key"
        for names in workspaces_by_key.values()
        if len(names) > 1
    ]
