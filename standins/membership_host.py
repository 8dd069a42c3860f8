"""Membership components of entry hosts, several hosts in one process."""

from dataclasses import dataclass, field
from random import Random

import anyio
from anyio.abc import TaskGroup

from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.ids import DataCentre, Incarnation, NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.links import Hello
from cranberryfield.entry.membership import PeersSection, UpstreamsSection
from cranberryfield.entry.membership.gossip import MembershipGossip
from cranberryfield.entry.membership.leases import LeaseManager
from standins.processes import free_port

__all__ = ["MembershipHost", "wait_until_async"]

MESH_KEY = "mesh-key-for-loopback-only"


@dataclass(slots=True)
class MembershipHost:
    """Membership components of one entry host, with its own mesh.

    Attributes
    ----------
    node, data_centre : str
        Id of the host and its configured data centre.
    address : str
        ``IP:PORT`` on which it listens.
    announced_address : str
        ``IP:PORT`` that it announces to other hosts; may be a proxy's.
    """

    node: NodeId
    data_centre: DataCentre
    address: str = ""
    announced_address: str = ""
    seeds: tuple[str, ...] = ()
    incarnation: int = 1
    upstreams: UpstreamsSection = field(default_factory=UpstreamsSection)
    peers: PeersSection | None = None
    mesh: Mesh | None = None
    gossip: MembershipGossip | None = None
    leases: LeaseManager | None = None

    async def start(self, tasks: TaskGroup) -> None:
        """Start listening and gossiping in the given task group."""
        self.address = self.address or f"127.0.0.1:{free_port()}"
        hello = Hello(
            self.node,
            "tables",
            Incarnation(self.incarnation),
            self.data_centre,
            ("entry",),
            self.announced_address or self.address,
            self.address,
        )
        self.peers = PeersSection(self.node)
        self.mesh = Mesh(hello, MESH_KEY)
        self.gossip = MembershipGossip(
            self.peers,
            self.upstreams,
            self.mesh,
            hello,
            self.seeds,
            monotonic_clock,
            Random(self.node),
        )
        self.leases = LeaseManager(
            self.upstreams,
            self.peers,
            self.gossip,
            self.mesh,
            self.data_centre,
            monotonic_clock,
        )
        await tasks.start(self.mesh.listen, self.address)
        tasks.start_soon(self.gossip.run)
        tasks.start_soon(self.leases.run)


async def wait_until_async(condition, what: str, timeout_s: float = 30.0) -> None:
    """Poll until a condition holds; raise `TimeoutError` if it does not in time."""
    with anyio.move_on_after(timeout_s):
        while not condition():
            await anyio.sleep(0.02)
        return
    raise TimeoutError(f"condition not met within {timeout_s} s: {what}")
