"""Discovery and concurrent querying of the nodes of a group."""

from dataclasses import dataclass
from typing import Generic, TypeVar

import anyio

from cranberryfield.client.connection import Connection
from cranberryfield.client.options import Target
from cranberryfield.core.errors import CranberryfieldError, ErrorKind
from cranberryfield.core.operators.views import NodeAddress, StatusView

__all__ = ["NodeReply", "discover_nodes", "query_nodes"]

T = TypeVar("T")
MAX_CONCURRENT_QUERIES = 32
QUERY_TIMEOUT_S = 3.0


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


async def discover_nodes(target: Target) -> list[NodeReply[StatusView]]:
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
    discovered = {first.node: NodeReply(first.node, target.node, first)}
    pending = _undiscovered(first, discovered)
    while pending:
        replies = await query_nodes(target, pending, "/operator/status", StatusView)
        discovered |= {reply.node: reply for reply in replies}
        pending = [
            address
            for reply in replies
            if reply.value is not None
            for address in _undiscovered(reply.value, discovered)
        ]
        pending = list({address.node: address for address in pending}.values())
    return [discovered[node] for node in sorted(discovered)]


def _undiscovered(
    status: StatusView, discovered: dict[str, NodeReply[StatusView]]
) -> list[NodeAddress]:
    return [address for address in status.addresses if address.node not in discovered]


async def query_nodes(
    target: Target,
    nodes: list[NodeAddress],
    path: str,
    response_type: type[T],
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
    response_type : type
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
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_QUERIES)

    async def query(node: NodeAddress) -> None:
        async with limiter:
            replies[node.node] = await _query_node(
                target.key, node, path, response_type, params
            )

    async with anyio.create_task_group() as tasks:
        for node in nodes:
            tasks.start_soon(query, node)
    return [replies[node.node] for node in nodes]


async def _query_node(
    key: str, node: NodeAddress, path: str, response_type: type[T], params: dict
) -> NodeReply[T]:
    connection = Connection.from_address(node.address, key)
    error = f"no answer within {QUERY_TIMEOUT_S:g} s"
    value = None
    try:
        with anyio.move_on_after(QUERY_TIMEOUT_S):
            value = await connection.get(path, response_type, **params)
    except CranberryfieldError as caught:
        if caught.kind is ErrorKind.UNAUTHENTICATED:
            raise
        error = caught.detail
    finally:
        await connection.close()
    return NodeReply(node.node, node.address, value, "" if value is not None else error)
