"""The ``cranberryfield service`` commands."""

import msgspec
from cyclopts import App

from cranberryfield.client.assignments import parse_assignments
from cranberryfield.client.commands.settings import (
    DEFAULT_WAIT_TIMEOUT_S,
    TimeoutOption,
    WaitOption,
)
from cranberryfield.client.connection import open_connection
from cranberryfield.client.drain import drain, running_request_counter
from cranberryfield.client.levels import (
    create_level,
    read_levels,
    require_level,
)
from cranberryfield.client.options import Target
from cranberryfield.client.output import print_rows, print_value
from cranberryfield.core.operators.views import EffectiveValueView, UpstreamView
from cranberryfield.core.settings import ServiceKind

__all__ = ["app"]

LEVEL_PREFIX = "service/"

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
    async with open_connection(target) as connection:
        upstreams = await connection.get("/operator/upstreams", list[UpstreamView])
    rows = []
    for name, level in levels.items():
        if not name.startswith(LEVEL_PREFIX):
            continue
        service = name.removeprefix(LEVEL_PREFIX)
        service_upstreams = [
            upstream for upstream in upstreams if upstream.service == service
        ]
        rows.append(
            ServiceRow(
                service,
                str(level.values.get("kind", "-")),
                bool(level.values.get("drained", False)),
                len(service_upstreams),
                sum(upstream.leaving for upstream in service_upstreams),
                sum(upstream.running for upstream in service_upstreams),
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
    await require_level(target, LEVEL_PREFIX + name)
    async with open_connection(target) as connection:
        rows = await connection.get(
            "/operator/settings/effective", list[EffectiveValueView], service=name
        )
    print_rows(rows, target.as_json)


@app.command(name="create")
async def create_service(
    name: str,
    /,
    *assignments: str,
    kind: ServiceKind,
    wait: WaitOption = False,
    timeout: TimeoutOption = DEFAULT_WAIT_TIMEOUT_S,
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
    level = LEVEL_PREFIX + name
    values = parse_assignments(level, (f"kind={kind.value}", *assignments))
    report = await create_level(target, level, values, wait, timeout)
    print_value(report, target.as_json)


@app.command(name="drain")
async def drain_service(
    name: str,
    /,
    *,
    undo: bool = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = DEFAULT_WAIT_TIMEOUT_S,
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
    await require_level(target, LEVEL_PREFIX + name)
    count = running_request_counter(target, name, None)
    report = await drain(target, LEVEL_PREFIX + name, undo, wait, timeout, count)
    print_value(report, target.as_json)
