"""A host of the control group."""

from random import Random

import anyio

from cranberryfield.control.runtime import ControlRuntime
from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import Clock
from cranberryfield.core.config import ClusterConfig
from cranberryfield.core.config.daemon import split_address
from cranberryfield.core.http1 import Exchange, ServerLimits, ServerState, serve_http
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.deployment import (
    DeclareDeployment,
    DeploymentDeclared,
    DeploymentView,
    ReadDeployment,
)
from cranberryfield.core.proposals import Proposer
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.daemon.cluster.faces import Faces, OperatorServices
from cranberryfield.entry.registry import RegistryHub, UpstreamTable

__all__ = ["ControlHost"]

#: Longest wait for the log, in seconds; operators give up after a second or so
#: and send the same again.
PROPOSE_TIMEOUT_S = 2.5
READ_TIMEOUT_S = 0.9
MAX_BODY_BYTES = 32 << 20


class ControlHost:
    """The control role of a cluster host.

    Parameters
    ----------
    address : str
        ``IP:PORT`` for operators and upstreams.
    faces : Faces
        What they speak.
    runtime : ControlRuntime
        The replica of the log.
    hub : RegistryHub
        The table of upstreams.
    proposer : Proposer
        Reaches the leader.
    """

    def __init__(
        self,
        address: str,
        faces: Faces,
        runtime: ControlRuntime,
        hub: RegistryHub,
        proposer: Proposer,
    ):
        self._address = address
        self._faces = faces
        self._runtime = runtime
        self._hub = hub
        self._proposer = proposer
        self._state = ServerState(ServerLimits(max_body_bytes=MAX_BODY_BYTES))
        self._services = OperatorServices(
            self._declare, self._read, hub.announce, hub.depart
        )

    @classmethod
    def from_config(
        cls,
        config: ClusterConfig,
        faces: Faces,
        mesh: Mesh,
        board: Blackboard,
        names: ControlHostNames,
        clock: Clock,
        rng: Random,
    ) -> "ControlHost":
        """Build the role; see `ControlRuntime.from_config`."""
        board.add(SettingsSection())
        runtime = ControlRuntime.from_config(config, mesh, board, clock, rng, names)
        hub = RegistryHub(board.add(UpstreamTable()), mesh, clock)
        proposer = Proposer(mesh, names.known, clock)
        return cls(config.control.operators, faces, runtime, hub, proposer)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._runtime.run)
            tasks.start_soon(self._hub.run)
            address = split_address(self._address)
            tasks.start_soon(serve_http, address, self._answer, self._state)

    async def stop(self) -> None:
        """Let calls in progress end."""

    async def _answer(self, exchange: Exchange) -> None:
        await self._faces.answer_operator(exchange, self._services)

    async def _declare(self, command: DeclareDeployment) -> DeploymentDeclared:
        return await self._proposer.propose(command, PROPOSE_TIMEOUT_S)

    async def _read(self) -> DeploymentView:
        return await self._proposer.ask(ReadDeployment(), READ_TIMEOUT_S)
