"""The control role of a cluster host."""

from collections.abc import Callable
from random import Random

import anyio

from cranberryfield.control.runtime import ControlRuntime, ControlSection
from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import Clock
from cranberryfield.core.config import ClusterConfig
from cranberryfield.core.config.daemon import split_address
from cranberryfield.core.deployment import Deployment, decode_deployment
from cranberryfield.core.http1 import (
    ConnectionPool,
    Exchange,
    ServerLimits,
    ServerState,
    serve_http,
)
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.deployment import (
    DeclareDeployment,
    DeploymentDeclared,
    DeploymentView,
    ReadDeployment,
)
from cranberryfield.core.proposals import Proposer
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.daemon.cluster.capacity import CapacityKeeper
from cranberryfield.daemon.cluster.duties import Leadership, UsageReporter
from cranberryfield.daemon.cluster.faces import Faces, OperatorServices
from cranberryfield.entry.quota import QuotaLeeway, QuotaServer
from cranberryfield.entry.registry import RegistryPublisher, RegistryTable
from cranberryfield.entry.reports import ReportCollector

__all__ = ["ControlHost"]

#: Timeout of a proposal, in seconds; operators time out after about 1 s and
#: resend the same change.
PROPOSE_TIMEOUT_S = 2.5
READ_TIMEOUT_S = 0.9
MAX_BODY_BYTES = 32 << 20
MS_PER_S = 1000
#: Maximum time for calls in progress to end at a stop, in seconds.
STOP_S = 2.0
STOP_POLL_S = 0.05


class ControlHost:
    """The control role of a cluster host.

    Parameters
    ----------
    address : str
        ``IP:PORT`` for operators and upstreams.
    faces : Faces
        Protocol translation.
    runtime : ControlRuntime
        Replica of the log.
    hub : RegistryPublisher
        Publishes the registry of upstreams.
    proposer : Proposer
        Sends commands and queries to the leader.
    duties : tuple
        Background tasks that only act while this host leads.
    """

    def __init__(
        self,
        address: str,
        faces: Faces,
        runtime: ControlRuntime,
        hub: RegistryPublisher,
        proposer: Proposer,
        duties: tuple[UsageReporter | CapacityKeeper, ...],
    ):
        self._address = address
        self._faces = faces
        self._runtime = runtime
        self._hub = hub
        self._proposer = proposer
        self._duties = duties
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
        table = board.add(RegistryTable())
        hub = RegistryPublisher(table, mesh, clock)
        proposer = Proposer(mesh, names.known, clock)
        section = board.read(ControlSection)
        deployment = _applied_deployment(section)
        QuotaServer(
            mesh,
            runtime.leading_term,
            deployment,
            lambda: runtime.leader_since,
            QuotaLeeway.from_tolerance(config.quota_overage, config.quota_tolerance),
            clock,
        )
        collector = ReportCollector(mesh, runtime.leading_term, clock)
        duties = ()
        if config.cloud is not None:
            calls = faces.cloud_calls(ConnectionPool(clock), config.cloud.address)
            leadership = Leadership(
                config.node_id, runtime, config.duty_handover_ms / MS_PER_S, clock
            )
            duties = (
                UsageReporter(
                    section,
                    collector.reports,
                    leadership,
                    runtime.propose,
                    calls,
                    config.usage_window_s,
                    config.usage_due_s,
                ),
                CapacityKeeper(
                    table, collector.reports, leadership, calls, deployment, clock
                ),
            )
        return cls(config.control.operators, faces, runtime, hub, proposer, duties)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._runtime.run)
            tasks.start_soon(self._hub.run)
            for duty in self._duties:
                tasks.start_soon(duty.run)
            address = split_address(self._address)
            tasks.start_soon(serve_http, address, self._answer, self._state)

    async def stop(self) -> None:
        """Stop accepting connections; wait up to `STOP_S` for calls in progress."""
        self._state.closing = True
        self._state.closed.set()
        with anyio.move_on_after(STOP_S):
            while self._state.active:
                await anyio.sleep(STOP_POLL_S)

    async def _answer(self, exchange: Exchange) -> None:
        await self._faces.answer_operator(exchange, self._services)

    async def _declare(self, command: DeclareDeployment) -> DeploymentDeclared:
        return await self._proposer.propose(command, PROPOSE_TIMEOUT_S)

    async def _read(self) -> DeploymentView:
        return await self._proposer.ask(ReadDeployment(), READ_TIMEOUT_S)


def _applied_deployment(
    section: ControlSection,
) -> Callable[[], Deployment | None]:
    """Return a function that decodes the applied deployment once per version."""
    decoded: Deployment | None = None

    def deployment() -> Deployment | None:
        nonlocal decoded
        state = section.state.deployment
        if state.version >= 0 and (decoded is None or decoded.version != state.version):
            decoded = decode_deployment(state.content)
        return decoded

    return deployment
