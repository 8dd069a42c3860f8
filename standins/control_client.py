"""A mesh client of the control group for tests and benchmarks."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import anyio
from anyio.from_thread import BlockingPortal, start_blocking_portal

from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.ids import DataCentre, Incarnation, NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.proposals import Proposer
from standins.group import MESH_KEY, Group

__all__ = ["ControlClient", "make_mesh", "running_client"]

TIMEOUT_S = 15.0
LINK_POLL_INTERVAL_S = 0.01


def make_mesh(node: str) -> Mesh:
    """Return a mesh that opens connections but does not listen."""
    hello = Hello(
        NodeId(node),
        "loopback",
        Incarnation(1),
        DataCentre("bench"),
        ("client",),
        "127.0.0.1:1",
        "127.0.0.1:1",
    )
    return Mesh(hello, MESH_KEY)


@dataclass(slots=True)
class ControlClient:
    """Client of the control hosts of a group.

    Attributes
    ----------
    portal : anyio.from_thread.BlockingPortal
        Portal to the client's event loop.
    mesh : Mesh
        Mesh with links to all hosts.
    proposer : Proposer
        Sends commands and requests to the leader.
    """

    portal: BlockingPortal
    mesh: Mesh
    proposer: Proposer

    def propose(self, command: Message, timeout_s: float = TIMEOUT_S) -> Message:
        """Propose a command and return its result."""
        return self.portal.call(self.proposer.propose, command, timeout_s)

    def propose_all(self, commands: list[Message]) -> list[Message]:
        """Propose commands concurrently; results are in order of completion."""
        return self.portal.call(self._propose_all, commands)

    async def _propose_all(self, commands: list[Message]) -> list[Message]:
        results: list[Message] = []

        async def propose(command: Message) -> None:
            results.append(await self.proposer.propose(command, TIMEOUT_S))

        async with anyio.create_task_group() as tasks:
            for command in commands:
                tasks.start_soon(propose, command)
        return results

    def ask(self, request: Message, timeout_s: float = TIMEOUT_S) -> Message:
        """Send a request to the leader and return its reply."""
        return self.portal.call(self.proposer.ask, request, timeout_s)

    def ask_node(self, node: str, request: Message) -> Message:
        """Send a request to one host and return its reply."""
        return self.portal.call(self._request_when_linked, NodeId(node), request)

    async def _request_when_linked(self, node: NodeId, request: Message) -> Message:
        with anyio.fail_after(TIMEOUT_S):
            while not self.mesh.is_linked(node):
                await anyio.sleep(LINK_POLL_INTERVAL_S)
        return await self.mesh.request(node, request, TIMEOUT_S)


@contextmanager
def running_client(group: Group) -> Iterator[ControlClient]:
    """Run a client in a thread.

    Parameters
    ----------
    group : Group
        The group.

    Yields
    ------
    ControlClient
        Client that is connecting to all hosts.
    """
    control = tuple(
        NodeId(node)
        for node, host in group.hosts.items()
        if "control" in host.spec.roles
    )
    with start_blocking_portal() as portal:
        mesh = make_mesh("control-client")
        proposer = Proposer(mesh, lambda: control, monotonic_clock)
        dial_tasks = [
            portal.start_task_soon(mesh.dial, host.mesh)
            for host in group.hosts.values()
        ]
        try:
            yield ControlClient(portal, mesh, proposer)
        finally:
            for dial_task in dial_tasks:
                dial_task.cancel()
