"""The control role of a cluster host."""

from collections.abc import Callable
from pathlib import Path
from random import Random

import anyio

from cranberryfield.control.rollouts import ExposureBound
from cranberryfield.control.runtime import ControlRuntime, ControlSection
from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import Clock, wall_clock
from cranberryfield.core.config import ClusterConfig
from cranberryfield.core.config.daemon import split_address
from cranberryfield.core.deployment import Deployment, decode_deployment
from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.features import FeatureLevel
from cranberryfield.core.http1 import (
    ConnectionPool,
    Exchange,
    ServerLimits,
    serve_http,
)
from cranberryfield.core.http1.listeners import ListenerFactory
from cranberryfield.core.ids import ServiceName
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.deployment import (
    DeclareDeployment,
    DeploymentDeclared,
    DeploymentView,
    ReadDeployment,
)
from cranberryfield.core.messages.rollouts import (
    BeginRollout,
    ReadRollout,
    RolloutBegun,
    RolloutView,
)
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.proposals import Proposer
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.core.supervision import start_supervised
from cranberryfield.daemon.cluster.autoscaler import UpstreamAutoscaler
from cranberryfield.daemon.cluster.cloud_calls import FencingTokenIssuer, UsageReporter
from cranberryfield.daemon.cluster.protocol_adapter import (
    ControlOperations,
    ProtocolAdapter,
)
from cranberryfield.daemon.cluster.rollouts import RolloutCoordinator
from cranberryfield.daemon.cluster.suspect_store import SuspectStore
from cranberryfield.daemon.cluster.version_store import VersionStore
from cranberryfield.entry.limits import TokenOwner
from cranberryfield.entry.overload.slot_order import least_cost_first
from cranberryfield.entry.paths.relay_directory import answer_relay_queries
from cranberryfield.entry.quarantine import (
    QuarantineSection,
    SuspectExchange,
    make_cluster_reserver,
)
from cranberryfield.entry.quota import QuotaLeeway, QuotaServer
from cranberryfield.entry.registry import RegistryPublisher, RegistryTable
from cranberryfield.entry.reports import ReportCollector
from cranberryfield.entry.slots import SlotOwnerSection, SlotServer
from cranberryfield.entry.slots.waiting_line import rank_then_slack
from cranberryfield.entry.streams import (
    ServedVersionSection,
    StreamDirectory,
    StreamOriginSection,
)

__all__ = ["ControlHost"]

#: Timeout of a proposal, in seconds; operators time out after about 1 s and
#: resend the same change.
PROPOSE_TIMEOUT_S = 2.5
READ_TIMEOUT_S = 0.9
MAX_BODY_BYTES = 32 << 20
MS_PER_S = 1000
#: Maximum time for calls in progress to end at a stop, in seconds.
STOP_TIMEOUT_S = 2.0
STOP_POLL_S = 0.05


class ControlHost:
    """The control role of a cluster host.

    Parameters
    ----------
    address : str
        ``IP:PORT`` for operators and upstreams.
    adapter : ProtocolAdapter
        Protocol translation.
    runtime : ControlRuntime
        Replica of the log.
    publisher : RegistryPublisher
        Publishes the registry of upstreams.
    exchange : SuspectExchange
        Exchanges requests that are suspected of crashing upstreams.
    suspect_store : SuspectStore
        Keeps them on disk.
    streams : StreamDirectory
        Knows what began the streams that callers may take up again.
    version_store : VersionStore
        Keeps the software versions that were in service on disk.
    proposer : Proposer
        Sends commands and queries to the leader.
    leader_tasks : tuple
        Background tasks that only act while this host leads.
    metrics : Metrics
        Counts failures of background tasks.
    listeners : ListenerFactory
        Makes the state of the listener.
    rollouts : RolloutCoordinator, optional
        Moves rollouts forward while this host leads; None if there are none.
    """

    def __init__(
        self,
        address: str,
        adapter: ProtocolAdapter,
        runtime: ControlRuntime,
        publisher: RegistryPublisher,
        exchange: SuspectExchange,
        suspect_store: SuspectStore,
        streams: StreamDirectory,
        version_store: VersionStore,
        proposer: Proposer,
        leader_tasks: tuple[UsageReporter | UpstreamAutoscaler | SlotServer, ...],
        metrics: Metrics,
        listeners: ListenerFactory,
        rollouts: RolloutCoordinator | None = None,
    ):
        self._address = address
        self._adapter = adapter
        self._runtime = runtime
        self._publisher = publisher
        self._exchange = exchange
        self._suspect_store = suspect_store
        self._streams = streams
        self._version_store = version_store
        self._proposer = proposer
        self._leader_tasks = leader_tasks
        self._metrics = metrics
        self._rollouts = rollouts
        self._server_state = listeners.for_callers(
            ServerLimits(max_body_bytes=MAX_BODY_BYTES), "operators"
        )
        self._operations = ControlOperations(
            self._declare_deployment,
            self._read_deployment,
            publisher.announce,
            publisher.depart,
            self._begin_rollout if rollouts is not None else None,
            self._read_rollout if rollouts is not None else None,
        )

    @classmethod
    def from_config(
        cls,
        config: ClusterConfig,
        adapter: ProtocolAdapter,
        mesh: Mesh,
        board: Blackboard,
        names: ControlHostNames,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
        listeners: ListenerFactory,
    ) -> "ControlHost":
        """Build the role; see `ControlRuntime.from_config`."""
        board.add(SettingsSection())
        served = board.add(ServedVersionSection())
        data_folder = Path(config.control.data_folder)
        version_store = VersionStore(data_folder, served, clock, wall_clock)
        # Before the replica of the log creates its files in the folder.
        version_store.load()
        runtime = ControlRuntime.from_config(config, mesh, board, clock, rng, names)
        table = board.add(RegistryTable())
        publisher = RegistryPublisher(table, mesh, names, clock)
        suspects = board.add(QuarantineSection())
        suspect_store = SuspectStore(data_folder, suspects, clock, wall_clock)
        suspect_store.load()
        exchange = SuspectExchange(suspects, mesh, names, clock, rng)
        make_cluster_reserver(board, mesh, names, clock)
        streams = StreamDirectory(
            board.add(StreamOriginSection()), table, mesh, names, clock, served
        )
        streams.watch_versions(version_store.on_change)
        answer_relay_queries(mesh, rng)
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
        collector = ReportCollector(mesh, runtime.leading_term, table, clock)
        TokenOwner(mesh, runtime.leading_term, clock)
        leader_tasks = ()
        if config.shared_slots:
            slots = SlotServer(
                board.add(SlotOwnerSection()),
                table,
                mesh,
                runtime.leading_term,
                lambda: runtime.leader_since,
                clock,
                rng,
                least_cost_first if config.least_cost else rank_then_slack,
            )
            leader_tasks = (slots,)
        if config.cloud is not None:
            cloud = adapter.make_cloud_client(
                ConnectionPool(clock), config.cloud.address
            )
            token_issuer = FencingTokenIssuer(
                config.node_id, runtime, config.duty_handover_ms / MS_PER_S, clock
            )
            leader_tasks += (
                UsageReporter(
                    section,
                    collector.reports,
                    token_issuer,
                    runtime.propose,
                    cloud,
                    config.usage_window_s,
                    config.usage_due_s,
                ),
                UpstreamAutoscaler(
                    table, collector.reports, token_issuer, cloud, deployment, clock
                ),
            )
        rollouts = None
        if config.rollout_exposure_ratio is not None:
            rollouts = RolloutCoordinator(
                section,
                runtime,
                table,
                mesh,
                deployment,
                ExposureBound(
                    config.rollout_exposure_ratio, config.rollout_exposure_allowance
                ),
                clock,
                wall_clock,
                metrics,
            )
        return cls(
            config.control.operators,
            adapter,
            runtime,
            publisher,
            exchange,
            suspect_store,
            streams,
            version_store,
            proposer,
            leader_tasks,
            metrics,
            listeners,
            rollouts,
        )

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            # Not supervised: a replica whose step has failed must not go on with the
            # state that the step left.
            tasks.start_soon(self._runtime.run)
            background = {
                "registry": self._publisher.run,
                "suspects": self._exchange.run,
                "stored suspects": self._suspect_store.run,
                "streams": self._streams.run,
                "stored versions": self._version_store.run,
            }
            for task in self._leader_tasks:
                background[type(task).__name__] = task.run
            if self._rollouts is not None:
                background["rollouts"] = self._rollouts.run
            start_supervised(tasks, background, self._metrics)
            address = split_address(self._address)
            tasks.start_soon(
                serve_http, address, self._handle_control_request, self._server_state
            )

    async def stop(self) -> None:
        """Give up the vote, close the listener and wait for calls in progress."""
        await self._runtime.depart()
        self._server_state.connection_close = True
        self._server_state.stop_event.set()
        with anyio.move_on_after(STOP_TIMEOUT_S):
            while self._server_state.active_requests:
                await anyio.sleep(STOP_POLL_S)

    async def _handle_control_request(self, exchange: Exchange) -> None:
        await self._adapter.answer_control_request(exchange, self._operations)

    async def _declare_deployment(
        self, command: DeclareDeployment
    ) -> DeploymentDeclared:
        return await self._proposer.propose(command, PROPOSE_TIMEOUT_S)

    async def _read_deployment(self) -> DeploymentView:
        return await self._proposer.ask(ReadDeployment(), READ_TIMEOUT_S)

    async def _begin_rollout(self, order: BeginRollout) -> RolloutBegun:
        self._check_level()
        return await self._proposer.ask(order, READ_TIMEOUT_S)

    async def _read_rollout(self, service: ServiceName) -> RolloutView:
        self._check_level()
        return await self._proposer.ask(ReadRollout(service), READ_TIMEOUT_S)

    def _check_level(self) -> None:
        """Send nothing to the leader that its build may not understand."""
        level = self._runtime.section.state.feature_level
        if level < FeatureLevel.ROLLOUTS:
            raise UnavailableError(
                ErrorKind.NOT_READY, "not all control hosts understand rollouts yet"
            )


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
