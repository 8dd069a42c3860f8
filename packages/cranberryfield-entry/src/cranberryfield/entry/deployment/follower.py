"""Polls control hosts for the highest committed version of the deployment."""

from collections.abc import Callable

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.deployment import Deployment, decode_deployment
from cranberryfield.core.deployment.delta import apply_delta
from cranberryfield.core.errors import CranberryfieldError, ProtocolError
from cranberryfield.core.ids import NodeId
from cranberryfield.core.loop_monitor import timed_step
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.deployment import DeploymentView, FollowDeployment
from cranberryfield.entry.deployment.section import (
    DeploymentSection,
    install_deployment,
    is_deployment_current,
)
from cranberryfield.entry.deployment.transfer import (
    IncomingDeployment,
    add_part,
    next_ask,
    received,
    start_transfer,
)

__all__ = ["DeploymentFollower"]

#: Poll interval while the leader replies, in seconds. Several polls fit into the time
#: within which a change must take effect.
POLL_INTERVAL_S = 0.5
SEARCH_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 0.5
#: Timeout of one part. A part takes 26 ms on a link of 5 Mbit/s without other traffic.
PART_TIMEOUT_S = 1.0

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
        self._incoming: IncomingDeployment | None = None
        self._offered = anyio.Event()
        self._watchers: list[Callable[[Deployment], None]] = []
        mesh.handle(DeploymentView, self._on_deployment_view)

    @property
    def leader(self) -> NodeId | None:
        """Control host that last confirmed the deployment."""
        return self._leader

    def watch(self, watcher: Callable[[Deployment], None]) -> None:
        """Call `watcher` with each deployment that comes into force."""
        self._watchers.append(watcher)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self._offered = anyio.Event()
            confirmed = await self._confirm()
            self._log_lease_change()
            with anyio.move_on_after(
                POLL_INTERVAL_S if confirmed else SEARCH_INTERVAL_S
            ):
                await self._offered.wait()

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
            self._take(view)
            await self._fetch_rest(unasked[0])
            if view.is_current and self._section.version >= view.version >= 0:
                self._leader = unasked[0]
                self._section.confirmed_at = max(self._section.confirmed_at, sent_at)
                return True
            leader_hint = view.leader

    async def _request_view(self, node: NodeId) -> DeploymentView | None:
        request = FollowDeployment(self._section.version, takes_parts=True)
        try:
            return await self._mesh.request(node, request, REQUEST_TIMEOUT_S)
        except CranberryfieldError as error:
            logger.debug(
                "deployment request to control host failed",
                host=node,
                detail=error.detail,
            )
            return None

    def _take(self, view: DeploymentView) -> None:
        """Install the deployment of a view, or note the transfer that it offers."""
        if view.content and view.version > self._section.version:
            self._install(lambda: decode_deployment(view.content))
        if view.transfer is not None:
            self._incoming = start_transfer(
                self._incoming, view.transfer, self._section.version
            )

    def _install(self, decode: Callable[[], Deployment]) -> None:
        with timed_step("install of a deployment"):
            installed = install_deployment(self._section, decode())
        if installed:
            logger.info("deployment in force", version=self._section.version)
            for watcher in self._watchers:
                watcher(self._section.table.deployment)

    async def _fetch_rest(self, node: NodeId) -> None:
        """Fetch the missing parts of a transfer from a host, and install it.

        Parts that have arrived are kept if the host does not reply.
        """
        while (incoming := self._incoming) is not None:
            ask = next_ask(incoming)
            if ask is None:
                self._install_received(node)
                return
            try:
                part = await self._mesh.request(node, ask, PART_TIMEOUT_S)
            except CranberryfieldError as error:
                logger.info(
                    "transfer of a deployment interrupted",
                    host=node,
                    version=ask.version,
                    received_bytes=ask.offset,
                    size=incoming.transfer.size,
                    detail=error.detail,
                )
                return
            if not add_part(incoming, ask.offset, part.data):
                self._incoming = None

    def _install_received(self, node: NodeId) -> None:
        incoming, self._incoming = self._incoming, None
        if incoming.transfer.version <= self._section.version:
            return
        table = self._section.table
        present = table.deployment if table is not None else None
        try:
            self._install(lambda: apply_delta(present, received(incoming)))
        except ProtocolError as error:
            logger.warning("deployment not installed", host=node, detail=error.detail)

    def _on_deployment_view(self, sender: NodeId, view: DeploymentView) -> None:
        self._take(view)
        if self._incoming is None:
            return
        if next_ask(self._incoming) is None:
            self._install_received(sender)
        else:
            self._offered.set()

    def _log_lease_change(self) -> None:
        is_current = is_deployment_current(self._section, self._clock())
        if is_current != self._was_current:
            self._was_current = is_current
            event = "deployment confirmed" if is_current else "deployment lease lost"
            age_s = round(self._clock() - self._section.confirmed_at, 3)
            logger.info(event, version=self._section.version, age_s=age_s)
