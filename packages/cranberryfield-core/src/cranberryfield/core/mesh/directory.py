"""Discovery of the control hosts from the addresses of some of them."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh.mesh import Mesh
from cranberryfield.core.messages.deployment import (
    AskControlHosts,
    ControlHost,
    ControlHosts,
)
from cranberryfield.core.messages.links import Hello

__all__ = ["ControlDirectory", "ControlHostNames"]

CONTROL_ROLE = "control"
#: Interval between discovery rounds, before and after most seeds are linked.
SEARCH_INTERVAL_S = 0.1
FOLLOW_INTERVAL_S = 1.0
QUERY_TIMEOUT_S = 0.5
#: Time without a link after which a control host is removed from the directory.
FORGET_AFTER_S = 60.0

logger = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class ControlHostNames:
    """Source of the ids of the control hosts.

    Attributes
    ----------
    known : callable
        Returns the ids of all known control hosts.
    founders : callable
        Returns the ids of the hosts that may form a new group together; None if
        they are not all known yet or if no group may be formed.
    grows : bool
        Whether every control host that is found joins the group automatically.
    """

    known: Callable[[], tuple[NodeId, ...]]
    founders: Callable[[], tuple[NodeId, ...] | None]
    grows: bool = False

    @classmethod
    def from_list(cls, nodes: tuple[NodeId, ...]) -> "ControlHostNames":
        """Return a source of the fixed ids that a configuration file lists."""
        return cls(lambda: nodes, lambda: nodes)


class ControlDirectory:
    """Discovers all control hosts, starting from the seeds, and links with them.

    Parameters
    ----------
    mesh : Mesh
        Links to other processes.
    seeds : tuple of str
        Mesh addresses of some of the control hosts.
    first_start : bool
        Whether the hosts at the seeds may form a new group.
    clock : Clock
        Monotonic clock.
    rng : random.Random
        Selects the control host to ask.
    """

    def __init__(
        self,
        mesh: Mesh,
        seeds: tuple[str, ...],
        first_start: bool,
        clock: Clock,
        rng: Random,
    ):
        self._mesh = mesh
        self._seeds = seeds
        self._first_start = first_start
        self._clock = clock
        self._rng = rng
        self._addresses: dict[NodeId, str] = {}
        self._last_seen_at: dict[NodeId, float] = {}
        self._is_control = CONTROL_ROLE in mesh.hello.roles
        if self._is_control:
            self._record_host(mesh.hello.node, mesh.hello.mesh)
        mesh.watch_links(self._on_link)
        mesh.handle(AskControlHosts, self._on_control_hosts_request)

    @property
    def names(self) -> ControlHostNames:
        """Source of the ids of the control hosts found so far."""
        return ControlHostNames(self._known, self._founders, grows=True)

    def _known(self) -> tuple[NodeId, ...]:
        return tuple(sorted(self._addresses))

    def _founders(self) -> tuple[NodeId, ...] | None:
        node_at = {address: node for node, address in self._addresses.items()}
        if not self._first_start or not set(self._seeds) <= node_at.keys():
            return None
        return tuple(sorted(node_at[seed] for seed in self._seeds))

    async def run(self) -> None:
        """Discover control hosts until cancelled."""
        while True:
            self._forget_unlinked_hosts()
            missing = [seed for seed in self._seeds if not self._is_linked_at(seed)]
            for seed in missing:
                self._mesh.dial_once(seed)
            searching = bool(missing) and len(missing) * 2 >= len(self._seeds)
            await self._query_linked_hosts(searching)
            self._mesh.set_persistent_peers(self._hosts_to_dial())
            await anyio.sleep(SEARCH_INTERVAL_S if searching else FOLLOW_INTERVAL_S)

    def _is_linked_at(self, address: str) -> bool:
        return any(
            known == address and self._mesh.is_linked(node)
            for node, known in self._addresses.items()
        )

    def _hosts_to_dial(self) -> frozenset[NodeId]:
        """Return the hosts to dial.

        A control host dials only the control hosts with a larger id, so that
        one of each two dials the other.
        """
        own = self._mesh.hello.node
        return frozenset(
            node
            for node in self._addresses
            if node != own and (not self._is_control or own < node)
        )

    async def _query_linked_hosts(self, searching: bool) -> None:
        """Ask all linked control hosts for others; one, if most seeds are linked."""
        own = self._mesh.hello.node
        linked = [
            one for one in self._known() if one != own and self._mesh.is_linked(one)
        ]
        if linked and not searching and not self._is_control:
            linked = [self._rng.choice(linked)]
        async with anyio.create_task_group() as tasks:
            for node in linked:
                tasks.start_soon(self._query_host, node)

    async def _query_host(self, node: NodeId) -> None:
        try:
            found = await self._mesh.request(node, AskControlHosts(), QUERY_TIMEOUT_S)
        except CranberryfieldError as error:
            logger.debug("control host query failed", host=node, detail=error.detail)
            return
        for host in found.hosts:
            if host.node not in self._addresses or not self._mesh.is_linked(host.node):
                self._record_host(host.node, host.mesh)

    def _record_host(self, node: NodeId, address: str) -> None:
        if self._addresses.get(node) != address:
            logger.info("control host found", host=node, address=address)
        self._addresses[node] = address
        self._last_seen_at[node] = self._clock()
        if node != self._mesh.hello.node:
            self._mesh.learn_address(node, address)

    def _forget_unlinked_hosts(self) -> None:
        now = self._clock()
        for node in list(self._addresses):
            if self._mesh.is_linked(node):
                self._last_seen_at[node] = now
            elif now - self._last_seen_at[node] > FORGET_AFTER_S:
                logger.info("control host forgotten", host=node)
                del self._addresses[node]
                self._mesh.forget_address(node)

    def _on_link(self, peer: Hello, is_open: bool) -> None:
        if is_open and CONTROL_ROLE in peer.roles:
            self._record_host(peer.node, peer.mesh)
            self._mesh.set_persistent_peers(self._hosts_to_dial())

    def _on_control_hosts_request(
        self, sender: NodeId, message: AskControlHosts
    ) -> ControlHosts:
        return ControlHosts(
            tuple(
                ControlHost(node, address)
                for node, address in self._addresses.items()
                if self._mesh.is_linked(node)
            )
        )
