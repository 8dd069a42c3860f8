"""``cranberryfield requests``."""

from cyclopts import App

from cranberryfield.client.group import ask_nodes, find_nodes
from cranberryfield.client.options import Target
from cranberryfield.client.output import print_progress, print_rows
from cranberryfield.core.errors import CallerError, ErrorKind
from cranberryfield.core.operators.views import NodeAddress, RequestReport

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
    """Show what every node knows of a request.

    Parameters
    ----------
    key : str
        The caller's ``Idempotency-Key``.
    workspace : str, optional
        Only this workspace's request.
    """
    found = await find_nodes(target)
    nodes = [NodeAddress(reply.node, reply.address) for reply in found]
    replies = await ask_nodes(
        target,
        nodes,
        "/operator/requests",
        list[RequestReport],
        key=key,
        workspace=workspace,
    )
    silent = [reply.node for reply in replies if reply.value is None]
    if silent:
        print_progress(f"no answer from {', '.join(silent)}")
    rows = [row for reply in replies for row in reply.value or ()]
    if not rows:
        raise CallerError(
            ErrorKind.UNKNOWN_REQUEST, f"no node has a record of the request {key!r}"
        )
    print_rows(rows, target.as_json)
