"""The ``cranberryfield control`` commands."""

import msgspec
from cyclopts import App

from cranberryfield.client.connection import open_connection
from cranberryfield.client.nodes import NodeReply, discover_nodes
from cranberryfield.client.options import Target
from cranberryfield.client.output import print_rows, print_value
from cranberryfield.core.errors import CallerError, ErrorKind
from cranberryfield.core.operators.views import (
    GroupReplacement,
    HoldersRow,
    HostRemoval,
    MemberChange,
    MembersView,
    StatusView,
)

__all__ = ["app"]

app = App(
    name="control",
    help="Show and change the members of the control group.",
    help_epilogue="""Examples:

    cranberryfield control members
    cranberryfield control members --add control-4
    cranberryfield control members --remove control-2
    cranberryfield control replace control-1 --majority-is-lost
""",
)


class MemberRow(msgspec.Struct):
    """Status of one replica of the control group."""

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
async def list_members(
    *, add: str | None = None, remove: str | None = None, target: Target
) -> None:
    """Show the role, term and log position of each replica.

    Parameters
    ----------
    add : str, optional
        Add this host to the group first. It must be running with an empty data
        folder; it becomes a voter once its log has caught up.
    remove : str, optional
        Remove this host from the group first.
    """
    if add is not None or remove is not None:
        async with open_connection(target) as connection:
            change = MemberChange(add, remove)
            await connection.post("/operator/control/members", change, MembersView)
    replies = await discover_nodes(target)
    replies_by_node = {reply.node: reply for reply in replies}
    rows = [
        _row(node, replies_by_node.get(node)) for node in sorted(_member_ids(replies))
    ]
    print_rows(rows, target.as_json)


@app.command(name="replace")
async def replace_group(
    node: str, /, *, majority_is_lost: bool = False, target: Target
) -> None:
    """Replace the group by one control host after the permanent loss of a majority.

    Data that only the lost hosts had is lost. Switch the lost hosts off first:
    never use this command while any of them may come back.

    Parameters
    ----------
    node : str
        The surviving control host; ``--node`` must give its address.
    majority_is_lost : bool
        Confirm that the other hosts are switched off and will not come back.
    """
    if not majority_is_lost:
        raise CallerError(
            ErrorKind.BAD_REQUEST,
            "read `control replace --help`, then confirm with --majority-is-lost",
        )
    async with open_connection(target) as connection:
        view = await connection.post(
            "/operator/control/replace", GroupReplacement(node), MembersView
        )
    print_value(view, target.as_json)


@app.command(name="forget")
async def forget_host(name: str, /, *, target: Target) -> None:
    """Remove a permanently lost entry host from the list of settings holders.

    Parameters
    ----------
    name : str
        The entry host.
    """
    async with open_connection(target) as connection:
        view = await connection.post(
            "/operator/hosts/forget", HostRemoval(name), HoldersRow
        )
    print_value(view, target.as_json)


def _member_ids(replies: list[NodeReply[StatusView]]) -> set[str]:
    views = [
        reply.value.control
        for reply in replies
        if reply.value is not None and reply.value.control is not None
    ]
    # A host that was removed while offline still lists itself as a voter, so the
    # members as seen by the leader take precedence.
    leader_views = [view for view in views if view.role == "leader"]
    if leader_views:
        return set(max(leader_views, key=lambda view: view.term).voters)
    return {voter for view in views for voter in view.voters}


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
