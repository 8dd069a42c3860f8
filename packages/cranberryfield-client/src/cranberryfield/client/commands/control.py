"""``cranberryfield control``."""

import msgspec
from cyclopts import App

from cranberryfield.client.group import NodeReply, find_nodes
from cranberryfield.client.options import Target
from cranberryfield.client.output import print_rows
from cranberryfield.core.operators.views import StatusView

__all__ = ["app"]

app = App(
    name="control",
    help="Show and change the members of the control group.",
    help_epilogue="""Examples:

    cranberryfield control members
""",
)


class MemberRow(msgspec.Struct):
    """One replica of the control group."""

    node: str
    data_centre: str = "-"
    role: str = "-"
    term: int | None = None
    leader: str | None = None
    committed: int | None = None
    last: int | None = None
    voters: tuple[str, ...] = ()
    problem: str = ""


@app.command(name="members")
async def list_members(*, target: Target) -> None:
    """Show each replica: its role, term, and how far its log goes."""
    replies = await find_nodes(target)
    voters = {
        voter
        for reply in replies
        if reply.value is not None and reply.value.control is not None
        for voter in reply.value.control.voters
    }
    known = {reply.node: reply for reply in replies}
    rows = [_row(node, known.get(node)) for node in sorted(voters)]
    print_rows(rows, target.as_json)


def _row(node: str, reply: NodeReply[StatusView] | None) -> MemberRow:
    view = reply.value if reply is not None else None
    if view is None or view.control is None:
        error = reply.error if reply is not None else "no node has a link to it"
        return MemberRow(node, problem=error or "no control role")
    control = view.control
    return MemberRow(
        node,
        view.data_centre,
        control.role,
        control.term,
        control.leader,
        control.commit_index,
        control.last_index,
        control.voters,
    )
