"""Forming a group, and joining one with a new data folder."""

import anyio
import structlog

from cranberryfield.control.consensus import GroupFormed, Replica
from cranberryfield.control.consensus.membership import JoinRequest
from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError, ErrorKind, StorageError
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.consensus import (
    GroupView,
    JoinGroup,
    Members,
    node_of,
)

__all__ = ["Joining", "first_members"]

ASK_INTERVAL_S = 0.3
ASK_TIMEOUT_S = 1.0

logger = structlog.get_logger(__name__)


def first_members(
    replica: Replica, listed: tuple[NodeId, ...], views: dict[NodeId, GroupView]
) -> Members | None:
    """Return the members with which a group may begin.

    Parameters
    ----------
    replica : Replica
        A replica without a log.
    listed : tuple of NodeId
        The control hosts that the configuration names.
    views : dict
        What the others answered.

    Returns
    -------
    Members or None
        The same on all of them; None unless every listed host has answered
        that it belongs to no group either.

    Notes
    -----
    A host that lost its disk cannot tell this from its first start; the
    others can. So no group begins while one of them might know of another.

    Examples
    --------
    >>> from random import Random
    >>> fresh = Replica("a~1", Random(1))
    >>> first_members(fresh, ("a", "b"), {"b": GroupView("b~2", formed=False)}).voters
    ('a~1', 'b~2')
    >>> first_members(fresh, ("a", "b"), {"b": GroupView("b~2", formed=True)})
    >>> first_members(fresh, ("a", "b"), {})
    """
    replicas = [replica.id]
    for node in listed:
        if node == node_of(replica.id):
            continue
        view = views.get(node)
        if view is None or view.formed:
            return None
        replicas.append(view.replica)
    return Members(tuple(sorted(replicas)))


class Joining:
    """Asks the other control hosts until this replica is a voter.

    Parameters
    ----------
    replica : Replica
        This replica, for reading.
    names : ControlHostNames
        The control hosts, and those that may form a group.
    mesh : Mesh
        Links to them.
    submit : callable
        Hands an event to the replica.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        replica: Replica,
        names: ControlHostNames,
        mesh: Mesh,
        submit,
        clock: Clock,
    ):
        self._replica = replica
        self._names = names
        self._mesh = mesh
        self._submit = submit
        self._clock = clock
        self._joiners: dict[NodeId, JoinRequest] = {}
        mesh.handle(JoinGroup, self._on_join)

    @property
    def joiners(self) -> dict[NodeId, JoinRequest]:
        """By node, the replicas that ask to join this one's group."""
        return self._joiners

    async def run(self) -> None:
        """Ask whenever this replica is no voter or knows no leader.

        Raises
        ------
        StorageError
            Of kind ``foreign_data`` if the group has been replaced without
            this replica.
        """
        while True:
            if not self._replica.is_voter or self._replica.leader is None:
                await self._ask_all()
            await anyio.sleep(ASK_INTERVAL_S)

    async def _ask_all(self) -> None:
        views: dict[NodeId, GroupView] = {}
        async with anyio.create_task_group() as tasks:
            for node in self._names.known():
                if self._mesh.is_linked(node):
                    tasks.start_soon(self._ask, node, views)
        if self._is_formed():
            self._refuse_replaced(views)
            return
        founders = self._names.founders()
        if founders is None or node_of(self._replica.id) not in founders:
            return
        members = first_members(self._replica, founders, views)
        if members is not None:
            logger.info("group formed", voters=members.voters)
            self._submit(GroupFormed(members))

    def _refuse_replaced(self, views: dict[NodeId, GroupView]) -> None:
        generation = self._replica.members.generation
        for node, view in views.items():
            if view.formed and view.generation > generation:
                raise StorageError(
                    ErrorKind.FOREIGN_DATA,
                    f"the group was replaced (generation {view.generation} on "
                    f"{node}, {generation} here); an empty data folder joins it",
                )

    async def _ask(self, node: NodeId, views: dict[NodeId, GroupView]) -> None:
        request = JoinGroup(self._replica.id)
        try:
            views[node] = await self._mesh.request(node, request, ASK_TIMEOUT_S)
        except CranberryfieldError:
            return

    def _is_formed(self) -> bool:
        return bool(self._replica.voters) or self._replica.log.last_index > 0

    def _on_join(self, sender: NodeId, message: JoinGroup) -> GroupView:
        self._joiners[sender] = JoinRequest(message.replica, self._clock())
        generation = self._replica.members.generation
        return GroupView(self._replica.id, self._is_formed(), generation)
