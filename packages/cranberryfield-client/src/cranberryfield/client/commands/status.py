"""The ``cranberryfield status`` command."""

from typing import Annotated

import msgspec
from cyclopts import App, Parameter

from cranberryfield.client.connection import open_connection
from cranberryfield.client.nodes import NodeReply, discover_nodes
from cranberryfield.client.options import Target
from cranberryfield.client.output import print_rows, print_value
from cranberryfield.core.operators.views import StatusView

__all__ = ["app"]

KIB_PER_MIB = 1024

app = App(
    name="status",
    help="Show the status of every node of the group.",
    help_epilogue="""Examples:

    cranberryfield status
    cranberryfield status --one --json
""",
)


class StatusRow(msgspec.Struct):
    """Status of one node; `problem` tells why the status is missing."""

    node: str
    address: str
    roles: str = "-"
    data_centre: str = "-"
    ready: bool | None = None
    revision: int | None = None
    upstreams: int | None = None
    control: str = "-"
    memory_mib: float | None = None
    problem: str = ""


@app.default
async def show_status(
    *,
    one: Annotated[
        bool, Parameter(negative=(), help="Show only the queried node, with all fields")
    ] = False,
    target: Target,
) -> None:
    """Show the status of every node of the group."""
    if one:
        async with open_connection(target) as connection:
            view = await connection.get("/operator/status", StatusView)
        print_value(view, target.as_json)
        return
    replies = await discover_nodes(target)
    print_rows([_row(reply) for reply in replies], target.as_json)


def _row(reply: NodeReply[StatusView]) -> StatusRow:
    view = reply.value
    if view is None:
        return StatusRow(reply.node, reply.address, problem=reply.error)
    control = "-"
    if view.control is not None:
        control = f"{view.control.role}, term {view.control.term}"
    return StatusRow(
        view.node,
        reply.address,
        " ".join(view.roles),
        view.data_centre,
        view.ready,
        view.settings_revision,
        view.upstreams,
        control,
        round(view.resident_kib / KIB_PER_MIB, 1),
    )
