"""Publication of the deployment to the hosts that follow it."""

from dataclasses import dataclass

import structlog

from cranberryfield.control.consensus import Replica, ReplicaRole
from cranberryfield.control.consensus.leader_replication import leader_lease_expiry
from cranberryfield.control.deployment.history import (
    DeploymentHistory,
    read_part,
    record_version,
    transfer_to,
)
from cranberryfield.control.deployment.machine import DeploymentState
from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.commands import ProposalRedirected
from cranberryfield.core.messages.deployment import (
    AskDeploymentPart,
    DeploymentPart,
    DeploymentView,
    FollowDeployment,
    ReadDeployment,
)

__all__ = ["DeploymentPublisher"]

#: Time without a request after which a host is sent no new versions, in seconds.
SILENCE_TIMEOUT_S = 5.0

logger = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class _Follower:
    """A host's latest request for the deployment, and its time."""

    request: FollowDeployment
    requested_at: float


class DeploymentPublisher:
    """Serves reads of the deployment, and sends new versions to following hosts.

    Parameters
    ----------
    section : ControlSection
        This replica and its applied state, read-only.
    mesh : Mesh
        Links to other processes.
    wait_until_current : callable
        Waits until the applied state includes every change acknowledged so far.
    clock : Clock
        Monotonic time.
    """

    def __init__(self, section, mesh: Mesh, wait_until_current, clock: Clock):
        self._section = section
        self._mesh = mesh
        self._wait_until_current = wait_until_current
        self._clock = clock
        self._followers: dict[NodeId, _Follower] = {}
        self._history = DeploymentHistory()
        self._hosts_take_parts = False
        self._published_version = self._state.version
        mesh.handle(FollowDeployment, self._on_follow)
        mesh.handle(AskDeploymentPart, self._on_ask_part)
        mesh.handle(ReadDeployment, self._on_read)

    @property
    def _state(self) -> DeploymentState:
        return self._section.state.deployment

    @property
    def _replica(self) -> Replica:
        return self._section.replica

    def following_hosts(self) -> list[NodeId]:
        """Return the hosts that recently requested the deployment from this one."""
        now = self._clock()
        return [
            node
            for node, follower in self._followers.items()
            if now - follower.requested_at < SILENCE_TIMEOUT_S
        ]

    def publish(self) -> None:
        """As the leader, send a newly applied version to all following hosts."""
        if self._state.version <= self._published_version:
            return
        self._published_version = self._state.version
        if self._hosts_take_parts:
            # Also on followers, so that the next leader has the versions of hosts.
            record_version(self._history, self._state)
        hosts = self.following_hosts()
        logger.info(
            "deployment applied", version=self._published_version, followers=len(hosts)
        )
        if self._replica.role is not ReplicaRole.LEADER:
            return
        for node in hosts:
            self._mesh.send(node, self._view(self._followers[node].request))

    def _view(self, request: FollowDeployment) -> DeploymentView:
        """Return what a host needs to have the applied version."""
        state = self._state
        content, transfer = b"", None
        if state.version > request.version:
            if request.takes_parts:
                record_version(self._history, state)
                transfer = transfer_to(self._history, request.version)
            else:
                content = state.content
        leader = self._replica.leader_node
        is_current = self._is_current()
        return DeploymentView(state.version, content, is_current, leader, transfer)

    def _is_current(self) -> bool:
        """Return whether this replica has every acknowledged version.

        It does while its leader lease holds and it has committed an entry of its
        own term.
        """
        replica = self._replica
        return (
            replica.role is ReplicaRole.LEADER
            and leader_lease_expiry(replica) > self._clock()
            and replica.log.term_at(replica.commit_index) == replica.term
        )

    def _on_follow(self, sender: NodeId, message: FollowDeployment) -> DeploymentView:
        if self._replica.role is ReplicaRole.LEADER:
            self._followers[sender] = _Follower(message, self._clock())
        self._hosts_take_parts |= message.takes_parts
        return self._view(message)

    def _on_ask_part(self, sender: NodeId, ask: AskDeploymentPart) -> DeploymentPart:
        return DeploymentPart(
            read_part(self._history, ask.version, ask.base, ask.digest, ask.offset)
        )

    async def _on_read(
        self, sender: NodeId, message: ReadDeployment
    ) -> DeploymentView | ProposalRedirected:
        if self._replica.role is not ReplicaRole.LEADER:
            return ProposalRedirected(self._replica.leader_node)
        await self._wait_until_current()
        state = self._state
        node = self._replica.leader_node
        return DeploymentView(state.version, state.content, True, node)
