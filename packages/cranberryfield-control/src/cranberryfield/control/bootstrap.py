"""Bootstrap: forms a control group, or joins one with a new data folder."""

from collections.abc import Callable

import anyio
import structlog

from cranberryfield.control.consensus import GroupFormed, Replica
from cranberryfield.control.consensus.membership import JoinRequest
from cranberryfield.control.features import check_level_supported
from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError, ErrorKind, StorageError
from cranberryfield.core.ids import NodeId, ReplicaId
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.consensus import (
    GroupView,
    JoinGroup,
    LeaveGroup,
    Members,
    node_of,
)

__all__ = ["GroupBootstrap", "initial_members"]

QUERY_INTERVAL_S = 0.3
QUERY_TIMEOUT_S = 1.0
#: Time for which a replica counts as about to stop after it has said so, in seconds.
DEPARTURE_TTL_S = 3.0

logger = structlog.get_logger(__name__)


def initial_members(
    replica: Replica, listed: tuple[NodeId, ...], views: dict[NodeId, GroupView]
) -> Members | None:
    """Return the initial members of a new group.

    Parameters
    ----------
    replica : Replica
        A replica without a log.
    listed : tuple of NodeId
        Control hosts in the configuration.
    views : dict
        Replies of the other control hosts, by node.

    Returns
    -------
    Members or None
        The members, the same on all listed hosts; None unless every other
        listed host has replied that it belongs to no group.

    Notes
    -----
    A host that lost its disk cannot distinguish this from its first start, but
    the others can. No group is formed while any of them might belong to one.

    Examples
    --------
    >>> from random import Random
    >>> fresh = Replica("a~1", Random(1))
    >>> initial_members(fresh, ("a", "b"), {"b": GroupView("b~2", formed=False)}).voters
    ('a~1', 'b~2')
    >>> initial_members(fresh, ("a", "b"), {"b": GroupView("b~2", formed=True)})
    >>> initial_members(fresh, ("a", "b"), {})
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


class GroupBootstrap:
    """Makes this replica a voter, of a new group or of an existing one.

    Parameters
    ----------
    replica : Replica
        This replica, read-only.
    names : ControlHostNames
        The known control hosts, and the founders of a new group.
    mesh : Mesh
        Links to other processes.
    submit : callable
        Queues an event for the replica.
    clock : Clock
        Monotonic time.
    feature_level : callable
        Returns the feature level of the group as far as this replica knows it.
    """

    def __init__(
        self,
        replica: Replica,
        names: ControlHostNames,
        mesh: Mesh,
        submit,
        clock: Clock,
        feature_level: Callable[[], int],
    ):
        self._replica = replica
        self._names = names
        self._mesh = mesh
        self._submit = submit
        self._clock = clock
        self._feature_level = feature_level
        self._join_requests: dict[NodeId, JoinRequest] = {}
        self._departures: dict[ReplicaId, float] = {}
        mesh.handle(JoinGroup, self._on_join)
        mesh.handle(LeaveGroup, self._on_leave)

    @property
    def join_requests(self) -> dict[NodeId, JoinRequest]:
        """Latest requests to join the group of this replica, by node."""
        return self._join_requests

    @property
    def departures(self) -> frozenset[ReplicaId]:
        """Replicas whose hosts are about to stop."""
        now = self._clock()
        return frozenset(
            replica
            for replica, left_at in self._departures.items()
            if now - left_at < DEPARTURE_TTL_S
        )

    def announce_departure(self) -> None:
        """Tell all control hosts that this one is about to stop."""
        own = self._replica.id
        self._departures[own] = self._clock()
        for node in self._names.known():
            if node != node_of(own) and self._mesh.is_linked(node):
                self._mesh.send(node, LeaveGroup(own))

    async def run(self) -> None:
        """Query the control hosts while this replica is no voter or has no leader.

        Raises
        ------
        StorageError
            Of kind ``foreign_data`` if the group was replaced without this
            replica, or this build does not understand its feature level.
        """
        while True:
            is_leaving = self._replica.id in self._departures
            is_outside = not self._replica.is_voter or self._replica.leader is None
            if is_outside and not is_leaving:
                await self._query_hosts()
            await anyio.sleep(QUERY_INTERVAL_S)

    async def _query_hosts(self) -> None:
        views: dict[NodeId, GroupView] = {}
        async with anyio.create_task_group() as tasks:
            for node in self._names.known():
                if self._mesh.is_linked(node):
                    tasks.start_soon(self._query_host, node, views)
        for view in views.values():
            check_level_supported(view.feature_level, self._mesh.hello.feature_level)
        if self._has_group():
            self._check_generation(views)
            return
        founders = self._names.founders()
        if founders is None or node_of(self._replica.id) not in founders:
            return
        members = initial_members(self._replica, founders, views)
        if members is not None:
            logger.info("group formed", voters=members.voters)
            self._submit(GroupFormed(members))

    def _check_generation(self, views: dict[NodeId, GroupView]) -> None:
        generation = self._replica.members.generation
        for node, view in views.items():
            if view.formed and view.generation > generation:
                raise StorageError(
                    ErrorKind.FOREIGN_DATA,
                    f"the group was replaced (generation {view.generation} on "
                    f"{node}, {generation} here); use an empty data folder to join it",
                )

    async def _query_host(self, node: NodeId, views: dict[NodeId, GroupView]) -> None:
        request = JoinGroup(self._replica.id)
        try:
            views[node] = await self._mesh.request(node, request, QUERY_TIMEOUT_S)
        except CranberryfieldError:
            return

    def _has_group(self) -> bool:
        return bool(self._replica.voters) or self._replica.log.last_index > 0

    def _on_join(self, sender: NodeId, message: JoinGroup) -> GroupView:
        # A replica that has left has started again.
        self._departures.pop(message.replica, None)
        self._join_requests[sender] = JoinRequest(message.replica, self._clock())
        generation = self._replica.members.generation
        return GroupView(
            self._replica.id, self._has_group(), generation, self._feature_level()
        )

    def _on_leave(self, sender: NodeId, message: LeaveGroup) -> None:
        if node_of(message.replica) == sender:
            self._departures[message.replica] = self._clock()
