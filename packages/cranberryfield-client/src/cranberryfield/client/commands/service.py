"""The ``cranberryfield service`` commands."""

import msgspec
from cyclopts import App

from cranberryfield.client.assignments import read_assignments
from cranberryfield.client.commands.settings import DEFAULT_WAIT_S, Timeout, Wait
from cranberryfield.client.connection import connected
from cranberryfield.client.drain import drain, running_requests
from cranberryfield.client.levels import (
    create_level,
    read_levels,
    refuse_unknown_level,
)
from cranberryfield.client.options import Target
from cranberryfield.client.output import print_rows, print_value
from cranberryfield.core.operators.views import OriginView, UpstreamView
from cranberryfield.core.settings import ServiceKind

__all__ = ["app"]

LEVEL = "service/"

app = App(
    name="service",
    help="List, show, create and drain services.",
    help_epilogue="""Examples:

    cranberryfield service create redacteur --kind model
    cranberryfield service create booking-app --kind plain idempotent=false
    cranberryfield service drain redacteur --wait
""",
)


class ServiceRow(msgspec.Struct):
    """A service with the counts of its upstreams known to the queried node."""

    service: str
    kind: str
    drained: bool
    upstreams: int
    leaving: int
    running: int


@app.command(name="list")
async def list_services(*, target: Target) -> None:
    """List services and the counts of their upstreams known to the queried node."""
    levels = await read_levels(target)
    async with connected(target) as connection:
        upstreams = await connection.get("/operator/upstreams", list[UpstreamView])
    rows = []
    for name, level in levels.items():
        if not name.startswith(LEVEL):
            continue
        service = name.removeprefix(LEVEL)
        behind = [one for one in upstreams if one.service == service]
        rows.append(
            ServiceRow(
                service,
                str(level.values.get("kind", "-")),
                bool(level.values.get("drained", False)),
                len(behind),
                sum(one.leaving for one in behind),
                sum(one.running for one in behind),
            )
        )
    print_rows(rows, target.as_json)


@app.command(name="show")
async def show_service(name: str, /, *, target: Target) -> None:
    """Show the settings in force for a service.

    Parameters
    ----------
    name : str
        The service.
    """
    await refuse_unknown_level(target, LEVEL + name)
    async with connected(target) as connection:
        rows = await connection.get(
            "/operator/settings/effective", list[OriginView], service=name
        )
    print_rows(rows, target.as_json)


@app.command(name="create")
async def create_service(
    name: str,
    /,
    *assignments: str,
    kind: ServiceKind,
    wait: Wait = False,
    timeout: Timeout = DEFAULT_WAIT_S,
    target: Target,
) -> None:
    """Create a service.

    Parameters
    ----------
    name : str
        Name of the service, as used by callers.
    assignments : str
        Settings at the service's level, each as ``NAME=VALUE``.
    kind : ServiceKind
        Whether its upstreams are model engines or plain services.
    """
    level = LEVEL + name
    values = read_assignments(level, (f"kind={kind.value}", *assignments))
    report = await create_level(target, level, values, wait, timeout)
    print_value(report, target.as_json)


@app.command(name="drain")
async def drain_service(
    name: str,
    /,
    *,
    undo: bool = False,
    wait: Wait = False,
    timeout: Timeout = DEFAULT_WAIT_S,
    target: Target,
) -> None:
    """Drain a service: refuse new requests and let running ones finish.

    Parameters
    ----------
    name : str
        The service.
    undo : bool
        End the drain; accept new requests again.
    """
    await refuse_unknown_level(target, LEVEL + name)
    count = running_requests(target, name, None)
    report = await drain(target, LEVEL + name, undo, wait, timeout, count)
    print_value(report, target.as_json)
