"""Discovery and concurrent querying of the nodes of a group."""

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
    """Result of a query to one node.

    Attributes
    ----------
    node, address : str
        Id of the node and the address that was queried.
    value : object or None
        Decoded response; None if the query failed.
    error : str
        Reason of the failure; empty on success.
    """

    node: str
    address: str
    value: T | None = None
    error: str = ""


async def find_nodes(target: Target) -> list[NodeReply[StatusView]]:
    """Discover all nodes of the group, starting from the target node.

    Each node reports the addresses of the nodes that it is linked to; these are
    queried in turn.

    Parameters
    ----------
    target : Target
        The first node to query and the operator's key.

    Returns
    -------
    list of NodeReply
        Status of each node that responded or that another node is linked to,
        sorted by node id.

    Raises
    ------
    CranberryfieldError
        If the first node does not respond or rejects the key.
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
    """Query several nodes concurrently.

    Parameters
    ----------
    target : Target
        Source of the operator's key; its address is not used.
    nodes : list of NodeAddress
        Nodes to query.
    path : str
        Path of the endpoint.
    kind : type
        Type of the response body.
    **params : str or None
        Query parameters; those that are None are omitted.

    Returns
    -------
    list of NodeReply
        Replies in the order of `nodes`. A failed query gives a reply without a
        value; only a rejected key raises an error.
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
