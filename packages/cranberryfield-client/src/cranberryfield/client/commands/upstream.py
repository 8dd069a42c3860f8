"""The ``cranberryfield upstream`` commands."""

from cyclopts import App

from cranberryfield.client.assignments import parse_assignments
from cranberryfield.client.commands.settings import (
    DEFAULT_WAIT_TIMEOUT_S,
    TimeoutOption,
    WaitOption,
)
from cranberryfield.client.connection import open_connection
from cranberryfield.client.drain import drain, upstream_run_counter
from cranberryfield.client.levels import create_level
from cranberryfield.client.nodes import discover_nodes, query_nodes
from cranberryfield.client.options import Target
from cranberryfield.client.output import print_rows, print_value
from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.operators.views import NodeAddress, UpstreamView

__all__ = ["app"]

LEVEL_PREFIX = "upstream/"

app = App(
    name="upstream",
    help="List, show, prepare and drain upstreams.",
    help_epilogue="""Examples:

    cranberryfield upstream list
    cranberryfield upstream drain redacteur-1 --wait --timeout 120
""",
)


class NodeUpstreamView(UpstreamView, kw_only=True):
    """State of an upstream as known to one node."""

    node: str


@app.command(name="list")
async def list_upstreams(*, service: str | None = None, target: Target) -> None:
    """List the upstreams known to the queried entry host.

    Parameters
    ----------
    service : str, optional
        List only the upstreams of this service.
    """
    async with open_connection(target) as connection:
        rows = await connection.get("/operator/upstreams", list[UpstreamView])
    print_rows([row for row in rows if service in (None, row.service)], target.as_json)


@app.command(name="show")
async def show_upstream(name: str, /, *, target: Target) -> None:
    """Show the state of an upstream as known to each node.

    Parameters
    ----------
    name : str
        The upstream's id.
    """
    statuses = await discover_nodes(target)
    nodes = [NodeAddress(reply.node, reply.address) for reply in statuses]
    replies = await query_nodes(
        target, nodes, "/operator/upstreams", list[UpstreamView]
    )
    rows = [
        _add_node(row, reply.node)
        for reply in replies
        for row in reply.value or ()
        if row.upstream == name
    ]
    if not rows:
        raise ControlError(ErrorKind.UNKNOWN_PATH, f"no node knows the upstream {name}")
    print_rows(rows, target.as_json)


def _add_node(row: UpstreamView, node: str) -> NodeUpstreamView:
    fields = {name: getattr(row, name) for name in row.__struct_fields__}
    return NodeUpstreamView(**fields, node=node)


@app.command(name="create")
async def create_upstream(
    name: str,
    /,
    *assignments: str,
    wait: WaitOption = False,
    timeout: TimeoutOption = DEFAULT_WAIT_TIMEOUT_S,
    target: Target,
) -> None:
    """Create the settings of an upstream before it announces itself.

    Without settings the upstream is created drained: after it announces itself,
    it gets no requests until ``upstream drain NAME --undo``.

    Parameters
    ----------
    name : str
        The id that the upstream will announce.
    assignments : str
        Settings of the upstream, each as ``NAME=VALUE``.
    """
    level = LEVEL_PREFIX + name
    values = parse_assignments(level, assignments or ("drained=true",))
    report = await create_level(target, level, values, wait, timeout)
    print_value(report, target.as_json)


@app.command(name="drain")
async def drain_upstream(
    name: str,
    /,
    *,
    undo: bool = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = DEFAULT_WAIT_TIMEOUT_S,
    target: Target,
) -> None:
    """Drain an upstream: send it no new requests and let running ones finish.

    Parameters
    ----------
    name : str
        The upstream's id.
    undo : bool
        End the drain; send it new requests again.
    """
    count = upstream_run_counter(target, name)
    report = await drain(target, LEVEL_PREFIX + name, undo, wait, timeout, count)
    print_value(report, target.as_json)
