"""Sending of settings changes and waiting until they are in force."""

import getpass

import anyio
import msgspec

from cranberryfield.client.connection import open_connection
from cranberryfield.client.nodes import NodeReply, discover_nodes
from cranberryfield.client.options import Target
from cranberryfield.client.output import print_progress
from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    error_of_kind,
)
from cranberryfield.core.operators.views import ChangeBody, ChangeResult, StatusView

__all__ = ["ChangeReport", "author_name", "send_change", "wait_until_in_force"]

SETTINGS_PATH = "/operator/settings"
POLL_INTERVAL_S = 0.2


class ChangeReport(msgspec.Struct):
    """Result of a change.

    Attributes
    ----------
    change_id : str
        Id of the change; resending the change with it has no second effect.
    revision : int
        Revision of the settings tree at which the change took effect.
    in_force, nodes : int or None
        Number of nodes on which the change is in force, and number of nodes
        that responded; None if the nodes were not queried.
    no_answer : tuple of str
        Nodes that did not respond.
    """

    change_id: str
    revision: int
    in_force: int | None = None
    nodes: int | None = None
    no_answer: tuple[str, ...] = ()


def author_name() -> str:
    """Return the author name to record in the change history."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "operator"


async def send_change(
    target: Target, body: ChangeBody, wait: bool, timeout_s: float
) -> ChangeReport:
    """Send a change and optionally wait until it is in force on every node.

    Parameters
    ----------
    target : Target
        The node to call and the operator's key.
    body : ChangeBody
        The change.
    wait : bool
        Whether to wait until the change is in force on every node.
    timeout_s : float
        Wait limit in seconds.

    Returns
    -------
    ChangeReport
        Result of the change.

    Raises
    ------
    CranberryfieldError
        If the change was rejected; of kind ``not_ready`` or ``no_quorum`` if its
        outcome is unknown, with the change id to use for a resend, or
        ``not_ready`` if it is not in force on every node after `timeout_s`.
    """
    try:
        async with open_connection(target) as connection:
            result = await connection.post(SETTINGS_PATH, body, ChangeResult)
    except CranberryfieldError as error:
        if error.kind not in (ErrorKind.NOT_READY, ErrorKind.NO_QUORUM):
            raise
        raise error_of_kind(
            error.kind,
            f"{error.detail}; it is unknown whether the change took effect: repeat "
            f"the command, with --change-id {body.change_id} if it has this option",
        ) from error
    report = ChangeReport(body.change_id, result.revision)
    if wait:
        await wait_until_in_force(target, report, timeout_s)
    return report


async def wait_until_in_force(
    target: Target, report: ChangeReport, timeout_s: float
) -> None:
    """Wait until a change is in force on every node that responds.

    Parameters
    ----------
    target : Target
        The first node to query and the operator's key.
    report : ChangeReport
        Report with the revision to wait for; its node counts are updated.
    timeout_s : float
        Wait limit in seconds.

    Raises
    ------
    UnavailableError
        Of kind ``not_ready`` if the change is not in force on every responding
        node after `timeout_s`.
    """
    last_reported = None
    with anyio.move_on_after(timeout_s):
        while True:
            replies = await discover_nodes(target)
            _update_node_counts(report, replies)
            if report.in_force != last_reported:
                last_reported = report.in_force
                print_progress(
                    f"revision {report.revision}: in force on {last_reported} "
                    f"of {report.nodes} nodes"
                )
            if report.in_force == report.nodes:
                return
            await anyio.sleep(POLL_INTERVAL_S)
    raise UnavailableError(
        ErrorKind.NOT_READY,
        f"revision {report.revision} is accepted, but after {timeout_s:g} s it is in "
        f"force on only {report.in_force} of {report.nodes} nodes",
    )


def _update_node_counts(
    report: ChangeReport, replies: list[NodeReply[StatusView]]
) -> None:
    statuses = [reply.value for reply in replies if reply.value is not None]
    report.nodes = len(statuses)
    report.in_force = sum(
        status.settings_revision >= report.revision for status in statuses
    )
    report.no_answer = tuple(reply.node for reply in replies if reply.value is None)
