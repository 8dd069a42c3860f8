"""Polls control hosts for the highest committed version of the deployment."""

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.deployment import decode_deployment
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId
from cranberryfield.core.loop_monitor import timed_step
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.deployment import DeploymentView, FollowDeployment
from cranberryfield.entry.deployment.section import (
    DeploymentSection,
    install_deployment,
    is_deployment_current,
)

__all__ = ["DeploymentFollower"]

#: Poll interval while the leader replies, in seconds. Several polls fit into the time
#: within which a change must take effect.
POLL_INTERVAL_S = 0.5
SEARCH_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 0.5

logger = structlog.get_logger(__name__)


class DeploymentFollower:
    """Polls the leader of the control group for the deployment.

    Parameters
    ----------
    section : DeploymentSection
        Section with the deployment in force; updated by this object.
    mesh : Mesh
        Links to other processes.
    names : ControlHostNames
        Names of the control hosts.
    clock : Clock
        Monotonic time that counts suspensions.
    """

    def __init__(
        self,
        section: DeploymentSection,
        mesh: Mesh,
        names: ControlHostNames,
        clock: Clock,
    ):
        self._section = section
        self._mesh = mesh
        self._names = names
        self._clock = clock
        self._leader: NodeId | None = None
        self._was_current = False
        mesh.handle(DeploymentView, self._on_deployment_view)

    @property
    def leader(self) -> NodeId | None:
        """Control host that last confirmed the deployment."""
        return self._leader

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            confirmed = await self._confirm()
            self._log_lease_change()
            await anyio.sleep(POLL_INTERVAL_S if confirmed else SEARCH_INTERVAL_S)

    async def _confirm(self) -> bool:
        """Ask control hosts until the leader is found.

        Returns
        -------
        bool
            Whether the leader confirmed the deployment in force.
        """
        asked: set[NodeId] = set()
        leader_hint = self._leader
        while True:
            linked = [one for one in self._names.known() if self._mesh.is_linked(one)]
            candidates = [one for one in (leader_hint, *linked) if one is not None]
            unasked = [one for one in candidates if one not in asked]
            if not unasked:
                return False
            asked.add(unasked[0])
            sent_at = self._clock()
            view = await self._request_view(unasked[0])
            if view is None:
                continue
            self._install(view)
            if view.is_current and self._section.version >= view.version >= 0:
                self._leader = unasked[0]
                self._section.confirmed_at = max(self._section.confirmed_at, sent_at)
                return True
            leader_hint = view.leader

    async def _request_view(self, node: NodeId) -> DeploymentView | None:
        request = FollowDeployment(self._section.version)
        try:
            return await self._mesh.request(node, request, REQUEST_TIMEOUT_S)
        except CranberryfieldError as error:
            logger.debug(
                "deployment request to control host failed",
                host=node,
                detail=error.detail,
            )
            return None

    def _install(self, view: DeploymentView) -> None:
        if view.content and view.version > self._section.version:
            with timed_step("install of a deployment"):
                install_deployment(self._section, decode_deployment(view.content))
            logger.info("deployment in force", version=view.version)

    def _on_deployment_view(self, sender: NodeId, view: DeploymentView) -> None:
        self._install(view)

    def _log_lease_change(self) -> None:
        is_current = is_deployment_current(self._section, self._clock())
        if is_current != self._was_current:
            self._was_current = is_current
            event = "deployment confirmed" if is_current else "deployment lease lost"
            age_s = round(self._clock() - self._section.confirmed_at, 3)
            logger.info(event, version=self._section.version, age_s=age_s)
