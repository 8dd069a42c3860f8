"""Asks every node of the group, starting from one of them."""

from dataclasses import dataclass
from typing import Generic, TypeVar

import anyio

from cranberryfield.client.connection import Connection
from cranberryfield.client.options import Target
from cranberryfield.core.errors import CranberryfieldError, ErrorKind
from cranberryfield.core.operators.views import NodeAddress, StatusView

__all__ = ["NodeReply", "ask_nodes", "find_nodes"]

T = TypeVar("T")
MAX_AT_ONCE = 32
NODE_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class NodeReply(Generic[T]):
    """What one node answered.

    Attributes
    ----------
    node, address : str
        The node, and where it was asked.
    value : object or None
        The answer; None if there was none.
    error : str
        Why there was none.
    """

    node: str
    address: str
    value: T | None = None
    error: str = ""


async def find_nodes(target: Target) -> list[NodeReply[StatusView]]:
    """Ask the named node, then the nodes that it knows, and so on.

    Parameters
    ----------
    target : Target
        The first node and the operator's key.

    Returns
    -------
    list of NodeReply
        One for each node that answered or that another one has a link to, in
        the order of their ids.

    Raises
    ------
    CranberryfieldError
        If the first node does not answer or refuses the key.
    """
    connection = Connection.from_address(target.node, target.key)
    try:
        first = await connection.get("/operator/status", StatusView)
    finally:
        await connection.close()
    found = {first.node: NodeReply(first.node, target.node, first)}
    waiting = _unknown(first, found)
    while waiting:
        replies = await ask_nodes(target, waiting, "/operator/status", StatusView)
        found |= {reply.node: reply for reply in replies}
        waiting = [
            address
            for reply in replies
            if reply.value is not None
            for address in _unknown(reply.value, found)
        ]
        waiting = list({address.node: address for address in waiting}.values())
    return [found[node] for node in sorted(found)]


def _unknown(
    status: StatusView, found: dict[str, NodeReply[StatusView]]
) -> list[NodeAddress]:
    return [one for one in status.addresses if one.node not in found]


async def ask_nodes(
    target: Target,
    nodes: list[NodeAddress],
    path: str,
    kind: type[T],
    **params: str | None,
) -> list[NodeReply[T]]:
    """Put one question to many nodes at once.

    Parameters
    ----------
    target : Target
        Gives the operator's key.
    nodes : list of NodeAddress
        Whom to ask.
    path : str
        The endpoint.
    kind : type
        What it answers with.
    **params : str or None
        Query parameters.

    Returns
    -------
    list of NodeReply
        In the order of `nodes`; a node that fails is no error.
    """
    replies: dict[str, NodeReply[T]] = {}
    limit = anyio.CapacityLimiter(MAX_AT_ONCE)

    async def ask(node: NodeAddress) -> None:
        async with limit:
            replies[node.node] = await _ask(target.key, node, path, kind, params)

    async with anyio.create_task_group() as tasks:
        for node in nodes:
            tasks.start_soon(ask, node)
    return [replies[node.node] for node in nodes]


async def _ask(
    key: str, node: NodeAddress, path: str, kind: type[T], params: dict
) -> NodeReply[T]:
    connection = Connection.from_address(node.address, key)
    error = f"no answer within {NODE_TIMEOUT_S:g} s"
    value = None
    try:
        with anyio.move_on_after(NODE_TIMEOUT_S):
            value = await connection.get(path, kind, **params)
    except CranberryfieldError as caught:
        if caught.kind is ErrorKind.UNAUTHENTICATED:
            raise
        error = caught.detail
    finally:
        await connection.close()
    return NodeReply(node.node, node.address, value, "" if value is not None else error)
