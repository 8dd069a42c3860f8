"""The ``cranberryfield requests`` commands."""

from cyclopts import App

from cranberryfield.client.connection import open_connection
from cranberryfield.client.nodes import discover_nodes, query_nodes
from cranberryfield.client.options import Target
from cranberryfield.client.output import print_progress, print_rows, print_value
from cranberryfield.core.errors import CallerError, ErrorKind
from cranberryfield.core.operators.views import (
    ClaimRow,
    NodeAddress,
    RequestReport,
    RequestView,
)

__all__ = ["app"]

app = App(
    name="requests",
    help="Look up requests.",
    help_epilogue="""Examples:

    cranberryfield requests show booking-4711 --workspace notary
""",
)


@app.command(name="show")
async def show_request(
    key: str, /, *, workspace: str | None = None, target: Target
) -> None:
    """Show the claim of a request and its records on all nodes.

    Parameters
    ----------
    key : str
        The caller's ``Idempotency-Key``.
    workspace : str, optional
        Show only the request of this workspace; required to show the claim.
    """
    view = await _find_request(target, key, workspace)
    if view.claim is None and not view.records:
        silent = f" (no answer from {', '.join(view.silent)})" if view.silent else ""
        raise CallerError(
            ErrorKind.UNKNOWN_REQUEST,
            f"no node has a record of request {key!r}{silent}",
        )
    if target.as_json:
        print_value(view, as_json=True)
        return
    if view.claim is not None:
        print_value(view.claim, as_json=False)
    print_rows(view.records, as_json=False)
    if view.silent:
        print_progress(f"no answer from {', '.join(view.silent)}")


async def _find_request(target: Target, key: str, workspace: str | None) -> RequestView:
    statuses = await discover_nodes(target)
    nodes = [NodeAddress(reply.node, reply.address) for reply in statuses]
    replies = await query_nodes(
        target,
        nodes,
        "/operator/requests",
        list[RequestReport],
        key=key,
        workspace=workspace,
    )
    claim = None
    if workspace is not None:
        async with open_connection(target) as connection:
            claim = await connection.get(
                "/operator/claim", ClaimRow | None, workspace=workspace, key=key
            )
    return RequestView(
        claim,
        [row for reply in replies for row in reply.value or ()],
        tuple(reply.node for reply in replies if reply.value is None),
    )
