"""Draining of services, workspaces and upstreams."""

from collections.abc import Awaitable, Callable
from uuid import uuid4

import anyio

from cranberryfield.client.changes import ChangeReport, author_name, send_change
from cranberryfield.client.nodes import NodeReply, discover_nodes, query_nodes
from cranberryfield.client.options import Target
from cranberryfield.client.output import print_progress
from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.operators.views import (
    ChangeBody,
    EditBody,
    NodeAddress,
    RunningView,
    UpstreamView,
)

__all__ = ["drain", "running_request_counter", "upstream_run_counter"]

POLL_INTERVAL_S = 0.2

#: Returns the number of running requests and the nodes that did not respond.
RunningCounter = Callable[[], Awaitable[tuple[int, tuple[str, ...]]]]


async def drain(
    target: Target,
    level: str,
    undo: bool,
    wait: bool,
    timeout_s: float,
    count_running: RunningCounter,
) -> ChangeReport:
    """Set ``drained`` at a level to true or false and wait for running requests.

    Parameters
    ----------
    target : Target
        The node to call and the operator's key.
    level : str
        Name of the level, such as ``upstream/redacteur-1``.
    undo : bool
        Whether to end the drain.
    wait : bool
        Whether to wait until the change is in force and, without `undo`,
        no requests are running.
    timeout_s : float
        Limit of each of the two waits, in seconds.
    count_running : callable
        Counts the requests that are still running.

    Returns
    -------
    ChangeReport
        Result of the change.

    Raises
    ------
    UnavailableError
        Of kind ``not_ready`` if requests are still running after `timeout_s`, or
        the change is not yet in force on every node.
    """
    edit = EditBody(level, set={"drained": not undo})
    body = ChangeBody(uuid4().hex, (edit,), author_name())
    report = await send_change(target, body, wait, timeout_s)
    if wait and not undo:
        await _wait_until_idle(level, count_running, timeout_s)
    return report


async def _wait_until_idle(
    level: str, count_running: RunningCounter, timeout_s: float
) -> None:
    last_reported = None
    running, unresponsive = 0, ()
    with anyio.move_on_after(timeout_s):
        while True:
            running, unresponsive = await count_running()
            if (running, unresponsive) != last_reported:
                last_reported = (running, unresponsive)
                print_progress(
                    f"{level}: {running} requests run{_no_answer_suffix(unresponsive)}"
                )
            if not running and not unresponsive:
                return
            await anyio.sleep(POLL_INTERVAL_S)
    raise UnavailableError(
        ErrorKind.NOT_READY,
        f"{level} accepts no new requests, but after {timeout_s:g} s {running} "
        f"requests are still running{_no_answer_suffix(unresponsive)}",
    )


def _no_answer_suffix(unresponsive: tuple[str, ...]) -> str:
    return f" (no answer from {', '.join(unresponsive)})" if unresponsive else ""


async def _query_all_nodes(
    target: Target, path: str, response_type: type
) -> list[NodeReply]:
    statuses = await discover_nodes(target)
    nodes = [NodeAddress(reply.node, reply.address) for reply in statuses]
    return await query_nodes(target, nodes, path, response_type)


def running_request_counter(
    target: Target, service: str | None, workspace: str | None
) -> RunningCounter:
    """Return a function that counts running requests of a service or workspace."""

    async def count() -> tuple[int, tuple[str, ...]]:
        replies = await _query_all_nodes(target, "/operator/running", list[RunningView])
        rows = [row for reply in replies for row in reply.value or ()]
        running = sum(
            row.running
            for row in rows
            if service in (None, row.service) and workspace in (None, row.workspace)
        )
        return running, _unresponsive_nodes(replies)

    return count


def upstream_run_counter(target: Target, upstream: str) -> RunningCounter:
    """Return a function that counts the runs of entry hosts on an upstream."""

    async def count() -> tuple[int, tuple[str, ...]]:
        replies = await _query_all_nodes(
            target, "/operator/upstreams", list[UpstreamView]
        )
        rows = [row for reply in replies for row in reply.value or ()]
        running = sum(row.in_flight for row in rows if row.upstream == upstream)
        return running, _unresponsive_nodes(replies)

    return count


def _unresponsive_nodes(replies: list[NodeReply]) -> tuple[str, ...]:
    return tuple(reply.node for reply in replies if reply.value is None)
