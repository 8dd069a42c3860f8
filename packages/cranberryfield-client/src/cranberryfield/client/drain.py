"""Draining of services, workspaces and upstreams."""

from collections.abc import Awaitable, Callable
from uuid import uuid4

import anyio

from cranberryfield.client.changes import ChangeReport, author_name, send_change
from cranberryfield.client.group import NodeReply, ask_nodes, find_nodes
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

__all__ = ["drain", "running_requests", "runs_on_upstream"]

POLL_S = 0.2

#: Returns the number of running requests and the nodes that did not respond.
CountRunning = Callable[[], Awaitable[tuple[int, tuple[str, ...]]]]


async def drain(
    target: Target,
    level: str,
    undo: bool,
    wait: bool,
    timeout_s: float,
    count_running: CountRunning,
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
    level: str, count_running: CountRunning, timeout_s: float
) -> None:
    told = None
    running, silent = 0, ()
    with anyio.move_on_after(timeout_s):
        while True:
            running, silent = await count_running()
            if (running, silent) != told:
                told = (running, silent)
                print_progress(f"{level}: {running} requests run{_suffix(silent)}")
            if not running and not silent:
                return
            await anyio.sleep(POLL_S)
    raise UnavailableError(
        ErrorKind.NOT_READY,
        f"{level} is drained, but after {timeout_s:g} s {running} requests "
        f"are still running{_suffix(silent)}",
    )


def _suffix(silent: tuple[str, ...]) -> str:
    return f" (no answer from {', '.join(silent)})" if silent else ""


async def _ask_all(target: Target, path: str, kind: type) -> list[NodeReply]:
    found = await find_nodes(target)
    nodes = [NodeAddress(reply.node, reply.address) for reply in found]
    return await ask_nodes(target, nodes, path, kind)


def running_requests(
    target: Target, service: str | None, workspace: str | None
) -> CountRunning:
    """Return a function that counts running requests of a service or workspace."""

    async def count() -> tuple[int, tuple[str, ...]]:
        replies = await _ask_all(target, "/operator/running", list[RunningView])
        rows = [row for reply in replies for row in reply.value or ()]
        running = sum(
            row.running
            for row in rows
            if service in (None, row.service) and workspace in (None, row.workspace)
        )
        return running, _silent(replies)

    return count


def runs_on_upstream(target: Target, upstream: str) -> CountRunning:
    """Return a function that counts the runs of entry hosts on an upstream."""

    async def count() -> tuple[int, tuple[str, ...]]:
        replies = await _ask_all(target, "/operator/upstreams", list[UpstreamView])
        rows = [row for reply in replies for row in reply.value or ()]
        running = sum(row.in_flight for row in rows if row.upstream == upstream)
        return running, _silent(replies)

    return count


def _silent(replies: list[NodeReply]) -> tuple[str, ...]:
    return tuple(reply.node for reply in replies if reply.value is None)
