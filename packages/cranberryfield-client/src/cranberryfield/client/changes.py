"""Sends settings changes and waits until they are in force."""

import getpass

import anyio
import msgspec

from cranberryfield.client.connection import connected
from cranberryfield.client.group import NodeReply, find_nodes
from cranberryfield.client.options import Target
from cranberryfield.client.output import print_progress
from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    error_of_kind,
)
from cranberryfield.core.operators.views import ChangeBody, ChangeResult, StatusView

__all__ = ["ChangeReport", "author_name", "send_change", "wait_in_force"]

CHANGES_PATH = "/operator/settings"
POLL_S = 0.2


class ChangeReport(msgspec.Struct):
    """What became of a change.

    Attributes
    ----------
    change_id : str
        Its id; a resend under it has no second effect.
    revision : int
        Revision of the tree at which it took effect.
    in_force, nodes : int or None
        How many nodes have it, of how many that answer; None if nobody asked.
    no_answer : tuple of str
        Nodes that did not answer.
    """

    change_id: str
    revision: int
    in_force: int | None = None
    nodes: int | None = None
    no_answer: tuple[str, ...] = ()


def author_name() -> str:
    """Return the name under which changes stand in the history."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "operator"


async def send_change(
    target: Target, body: ChangeBody, wait: bool, timeout_s: float
) -> ChangeReport:
    """Send a change and, if asked to, wait until every node has it.

    Parameters
    ----------
    target : Target
        The node and the key.
    body : ChangeBody
        The change.
    wait : bool
        Whether to wait.
    timeout_s : float
        Longest wait in seconds.

    Returns
    -------
    ChangeReport
        What became of it.

    Raises
    ------
    CranberryfieldError
        If it was refused; or ``not_ready`` or ``no_quorum`` if its outcome is
        not known, with the id under which it can be sent again.
    """
    try:
        async with connected(target) as connection:
            result = await connection.post(CHANGES_PATH, body, ChangeResult)
    except CranberryfieldError as error:
        if error.kind not in (ErrorKind.NOT_READY, ErrorKind.NO_QUORUM):
            raise
        raise error_of_kind(
            error.kind,
            f"{error.detail}; whether the change took effect is not known: "
            f"repeat the command, with --change-id {body.change_id} if it takes one",
        ) from error
    report = ChangeReport(body.change_id, result.revision)
    if wait:
        await wait_in_force(target, report, timeout_s)
    return report


async def wait_in_force(target: Target, report: ChangeReport, timeout_s: float) -> None:
    """Wait until every node that answers has a change in force.

    Parameters
    ----------
    target : Target
        The first node to ask, and the key.
    report : ChangeReport
        Names the revision; told how many nodes have it.
    timeout_s : float
        Longest wait in seconds.

    Raises
    ------
    UnavailableError
        Of kind ``not_ready`` if some node still lacks it.
    """
    told = None
    with anyio.move_on_after(timeout_s):
        while True:
            replies = await find_nodes(target)
            _count(report, replies)
            if report.in_force != told:
                told = report.in_force
                print_progress(
                    f"revision {report.revision}: in force on {told} "
                    f"of {report.nodes} nodes"
                )
            if report.in_force == report.nodes:
                return
            await anyio.sleep(POLL_S)
    raise UnavailableError(
        ErrorKind.NOT_READY,
        f"revision {report.revision} is accepted, and after {timeout_s:g} s in force "
        f"on {report.in_force} of {report.nodes} nodes",
    )


def _count(report: ChangeReport, replies: list[NodeReply[StatusView]]) -> None:
    answered = [reply.value for reply in replies if reply.value is not None]
    report.nodes = len(answered)
    report.in_force = sum(one.settings_revision >= report.revision for one in answered)
    report.no_answer = tuple(reply.node for reply in replies if reply.value is None)
