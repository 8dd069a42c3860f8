"""The relay role of a cluster host, which serves callers' requests."""

from collections.abc import Callable
from random import Random

import anyio
import structlog

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import Clock, wall_clock
from cranberryfield.core.config import ClusterConfig
from cranberryfield.core.config.daemon import split_address
from cranberryfield.core.deployment import Deployment
from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    WasRun,
)
from cranberryfield.core.features import FeatureLevel
from cranberryfield.core.http1 import (
    ConnectionPool,
    Exchange,
    ServerLimits,
    find_lost_connection,
    serve_http,
)
from cranberryfield.core.http1.listeners import ListenerFactory
from cranberryfield.core.ids import NodeId, ServiceName
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.supervision import start_supervised
from cranberryfield.daemon.cluster.protocol_adapter import ProtocolAdapter
from cranberryfield.entry.deployment import (
    DeploymentFollower,
    DeploymentSection,
    is_deployment_current,
)
from cranberryfield.entry.limits import StatedLimits
from cranberryfield.entry.paths.connector import PathConnector
from cranberryfield.entry.paths.relay_directory import RelayDirectory, RelayFinder
from cranberryfield.entry.paths.section import UpstreamPaths
from cranberryfield.entry.paths.tunnel_exit import TunnelExit
from cranberryfield.entry.quarantine import (
    QuarantineSection,
    SuspectExchange,
    make_cluster_reserver,
)
from cranberryfield.entry.quota import QuotaClient
from cranberryfield.entry.registry import RegistryReplica, RegistryTable
from cranberryfield.entry.relay import (
    LoadSection,
    Relay,
    RelayRequest,
    WindowedRetryBudget,
)
from cranberryfield.entry.relay.attempts import UpstreamTransport
from cranberryfield.entry.relay.brittle_upstreams import BrittleUpstreams
from cranberryfield.entry.relay.crash_detection import CrashDetector
from cranberryfield.entry.relay.demand import DemandSection
from cranberryfield.entry.relay.quarantine import RelayQuarantine
from cranberryfield.entry.relay.request import ResponseMetadata
from cranberryfield.entry.relay.upstream_limits import (
    UpstreamLimiter,
    make_upstream_leaser,
)
from cranberryfield.entry.relay.upstream_pauses import UpstreamPauses
from cranberryfield.entry.relay.upstream_statements import UpstreamStatements
from cranberryfield.entry.relay.usage import UsageSection
from cranberryfield.entry.reports import HostReporter
from cranberryfield.entry.rollouts import (
    RolloutReporter,
    RolloutSection,
    RolloutTraffic,
)
from cranberryfield.entry.slots import RelaySlots, SlotClient
from cranberryfield.entry.streams import StreamDirectory, StreamOriginSection

__all__ = ["RelayHost", "not_ready_retry_s"]

MS_PER_S = 1000
#: Lease of a confirmed deployment, as a fraction of `key_validity_ms`, the time for
#: which a withdrawn API key may still be accepted. The rest covers the time until a
#: request reaches an upstream.
LEASE_FRACTION = 0.8
#: Typical time from start to readiness if all hosts start at once, in seconds: one
#: election and one round of confirmations.
TYPICAL_START_S = 1.3
#: Minimum retry delay sent to callers of a host that is not ready, in seconds, and
#: the jitter added to the delay, as a fraction of it.
MIN_NOT_READY_RETRY_S = 0.3
RETRY_JITTER_FRACTION = 0.3
#: Announcements that an upstream misses until it is doubtful, and the time in seconds
#: in which a relay hears of one from the control hosts.
MISSED_ANNOUNCEMENTS = 3
ANNOUNCEMENT_DELAY_S = 1.0
IDLE_CHECK_INTERVAL_S = 0.5
#: Time for the load balancer to detect that the host is not ready, in seconds.
NOT_READY_NOTICE_S = 2.6
#: Fraction of the stop time within which responses may end.
DRAIN_FRACTION = 0.92
DRAIN_POLL_S = 0.05

logger = structlog.get_logger(__name__)


def not_ready_retry_s(age_s: float, rng: Random) -> float:
    """Return the retry delay for callers of a host that is not ready, in seconds.

    Parameters
    ----------
    age_s : float
        Time since the host's start, in seconds.
    rng : random.Random
        Source of the jitter.
    """
    delay_s = max(MIN_NOT_READY_RETRY_S, TYPICAL_START_S - age_s)
    return delay_s * rng.uniform(1.0, 1.0 + RETRY_JITTER_FRACTION)


class RelayHost:
    """The relay role of a cluster host.

    Parameters
    ----------
    config : ClusterConfig
        The checked settings.
    adapter : ProtocolAdapter
        Protocol translation.
    deployment : DeploymentSection
        The deployment in force.
    follower : DeploymentFollower
        Replicates the deployment from the control hosts.
    replica : RegistryReplica
        Replicates the registry of upstreams.
    exchange : SuspectExchange
        Exchanges requests that are suspected of crashing upstreams.
    relay : Relay
        Forwards requests to upstreams.
    reporter : HostReporter
        Reports this host's load and usage to the leader.
    pool : ConnectionPool
        Connections to upstreams.
    connector : PathConnector
        Opens them.
    finder : RelayFinder
        Knows other relays.
    tunnels : TunnelExit
        Connects the tunnels of other relays.
    metrics : Metrics
        Counts failures of background tasks.
    clock : Clock
        Monotonic time that counts suspensions.
    rng : random.Random
        Source of the jitter in retry delays.
    listeners : ListenerFactory
        Makes the states of the listeners.
    rollout_reporter : RolloutReporter, optional
        Reports to the leader about rollouts; not given if the deployment has none.
    slots : SlotClient, optional
        Takes slots of services that relays share.
    """

    def __init__(
        self,
        config: ClusterConfig,
        adapter: ProtocolAdapter,
        deployment: DeploymentSection,
        follower: DeploymentFollower,
        replica: RegistryReplica,
        exchange: SuspectExchange,
        relay: Relay,
        reporter: HostReporter,
        pool: ConnectionPool,
        connector: PathConnector,
        finder: RelayFinder,
        tunnels: TunnelExit,
        metrics: Metrics,
        clock: Clock,
        rng: Random,
        listeners: ListenerFactory,
        rollout_reporter: RolloutReporter | None = None,
        slots: SlotClient | None = None,
    ):
        self._config = config
        self._adapter = adapter
        self._deployment = deployment
        self._follower = follower
        self._replica = replica
        self._exchange = exchange
        self._relay = relay
        self._reporter = reporter
        self._pool = pool
        self._connector = connector
        self._finder = finder
        self._tunnels = tunnels
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._rollout_reporter = rollout_reporter
        self._slots = slots
        self._started_at = clock()
        self._stopping = False
        self._server_state = listeners.for_callers(
            ServerLimits.provisional(), "callers"
        )
        self._readiness_state = listeners.for_tools("readiness")
        follower.watch(self._apply_limits)

    @classmethod
    def from_config(
        cls,
        config: ClusterConfig,
        adapter: ProtocolAdapter,
        mesh: Mesh,
        board: Blackboard,
        metrics: Metrics,
        names: ControlHostNames,
        clock: Clock,
        rng: Random,
        listeners: ListenerFactory,
    ) -> "RelayHost":
        """Build the role.

        Parameters
        ----------
        config : ClusterConfig
            The checked settings.
        adapter : ProtocolAdapter
            Protocol translation.
        mesh : Mesh
            Links to other processes.
        board : Blackboard
            The role's sections are added to it.
        metrics : Metrics
            Counters and histograms.
        names : ControlHostNames
            The control hosts.
        clock : Clock
            Monotonic time that counts suspensions.
        rng : random.Random
            Seeded generator.
        listeners : ListenerFactory
            Makes the states of the listeners.

        Returns
        -------
        RelayHost
            Ready to `run`.
        """
        lease_s = LEASE_FRACTION * config.key_validity_ms / MS_PER_S
        deployment = board.add(DeploymentSection(lease_s))
        interval_s = config.announce_interval_ms / MS_PER_S
        max_silence_s = MISSED_ANNOUNCEMENTS * interval_s + ANNOUNCEMENT_DELAY_S
        table = board.add(RegistryTable(max_silence_s=max_silence_s))
        pool = ConnectionPool(clock)
        paths = board.add(UpstreamPaths())
        relays = board.add(RelayDirectory())
        connector = PathConnector(paths, relays, mesh, pool, clock, rng)
        pool.dial = connector.dial
        loads = board.add(LoadSection())
        demand = board.add(DemandSection())
        usage = board.add(UsageSection(config.usage_window_s or 1.0, wall_clock))
        follower = DeploymentFollower(deployment, mesh, names, clock)

        def leader() -> NodeId | None:
            return follower.leader

        limits = board.add(StatedLimits())
        reporter = HostReporter(mesh, leader, loads, demand, usage, limits, clock)

        def hosts() -> int:
            return reporter.hosts

        budget = WindowedRetryBudget(
            config.retry_ratio,
            config.retry_allowance,
            config.retry_window_s,
            hosts,
            clock(),
        )
        suspects = board.add(QuarantineSection())
        exchange = SuspectExchange(suspects, mesh, names, clock, rng)
        reserver = make_cluster_reserver(board, mesh, names, clock)
        detector = CrashDetector(
            suspects, exchange, table, pool, connector.is_refused, metrics, clock
        )
        replica = RegistryReplica(table, mesh, names, clock, rng)
        replica.watch(detector.on_announcement)
        replica.watch(connector.on_announcement)
        streams = StreamDirectory(
            board.add(StreamOriginSection()), table, mesh, names, clock
        )
        replica.watch(streams.on_announcement)
        leaser = make_upstream_leaser(leader, hosts, mesh, clock)
        limiter = UpstreamLimiter(limits, table, leaser, hosts, clock)
        pauses = board.add(UpstreamPauses())
        statements = UpstreamStatements(
            limiter,
            pauses,
            board.add(BrittleUpstreams()),
            table,
            replica.record_leaving,
            clock,
            loads,
        )

        def on_answer(
            record: UpstreamRecord,
            metadata: ResponseMetadata,
            sent_at: float,
            via: NodeId | None,
        ) -> None:
            connector.on_answer(record.process, metadata.pause_s, via)
            statements.on_answer(record, metadata, sent_at)

        rollouts = rollout_reporter = None
        if config.rollout_exposure_ratio is not None:
            section = board.add(RolloutSection())
            rollouts = RolloutTraffic(section, table, metrics, clock, rng)
            rollout_reporter = RolloutReporter(
                mesh,
                leader,
                lambda node: mesh.supports(node, FeatureLevel.ROLLOUTS),
                section,
                table,
                clock,
            )
            replica.watch(rollout_reporter.on_announcement)

        slots = None
        if config.shared_slots:
            slots = SlotClient(
                board.add(RelaySlots(mesh.hello.incarnation, config.zone)),
                table,
                mesh,
                leader,
                hosts,
                _plain_services(deployment),
                metrics,
                clock,
                rng,
            )
        relay = Relay(
            table,
            loads,
            demand,
            QuotaClient(mesh, leader, hosts, clock, rng),
            board.add(budget),
            usage,
            RelayQuarantine(suspects, reserver, clock),
            detector,
            limiter,
            statements,
            streams,
            UpstreamTransport(
                pool,
                adapter.upstream_codec,
                clock,
                on_answer,
                connector.suspect,
                rollouts.may_send if rollouts is not None else None,
            ),
            adapter.answer_error,
            metrics,
            config.zone,
            config.node_id,
            hosts,
            clock,
            rng,
            rollouts,
            slots,
        )
        return cls(
            config,
            adapter,
            deployment,
            follower,
            replica,
            exchange,
            relay,
            reporter,
            pool,
            connector,
            RelayFinder(relays, mesh, names, clock, rng),
            TunnelExit(table, paths, pauses, mesh, clock),
            metrics,
            clock,
            rng,
            listeners,
            rollout_reporter,
            slots,
        )

    def is_ready(self) -> bool:
        """Return whether the host accepts new requests."""
        return (
            not self._stopping
            and is_deployment_current(self._deployment, self._clock())
            and self._knows_rollouts()
        )

    def _knows_rollouts(self) -> bool:
        return self._rollout_reporter is None or self._rollout_reporter.is_ready

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            background = {
                "deployment": self._follower.run,
                "registry": self._replica.run,
                "suspects": self._exchange.run,
                "relay": self._relay.run,
                "reports": self._reporter.run,
                "paths": self._connector.run,
                "other relays": self._finder.run,
                "idle connections": self._close_idle_connections,
            }
            if self._rollout_reporter is not None:
                background["rollouts"] = self._rollout_reporter.run
            if self._slots is not None:
                background["slots"] = self._slots.run
            start_supervised(tasks, background, self._metrics)
            readiness = split_address(self._config.relay.readiness)
            tasks.start_soon(
                serve_http, readiness, self._answer_readiness, self._readiness_state
            )
            callers = split_address(self._config.relay.callers)
            tasks.start_soon(
                serve_http, callers, self._handle_request, self._server_state
            )

    async def stop(self) -> None:
        """Report not ready, then close connections as their responses end.

        A load balancer with too few ready hosts keeps routing callers here, so
        no new connection is accepted after `NOT_READY_NOTICE_S`.
        """
        self._stopping = True
        self._server_state.connection_close = True
        self._tunnels.stop()
        drain_timeout_s = DRAIN_FRACTION * self._config.stop_s
        with anyio.move_on_after(drain_timeout_s):
            await anyio.sleep(NOT_READY_NOTICE_S)
            self._server_state.stop_event.set()
            while self._server_state.active_requests or self._tunnels.open_count:
                await anyio.sleep(DRAIN_POLL_S)

    async def _close_idle_connections(self) -> None:
        while True:
            await anyio.sleep(IDLE_CHECK_INTERVAL_S)
            await self._pool.close_expired()

    async def _answer_readiness(self, exchange: Exchange) -> None:
        await self._adapter.answer_readiness(exchange, self.is_ready())

    async def _handle_request(self, exchange: Exchange) -> None:
        try:
            request = self._read_request(exchange)
        except CranberryfieldError as error:
            logger.info(
                "request refused",
                target=exchange.head.target.decode("latin-1"),
                kind=error.kind.value,
                detail=error.detail,
                version=self._deployment.version,
            )
            await self._adapter.answer_error(exchange, error)
            return
        try:
            await self._relay.handle(request, exchange)
        except Exception as error:
            if find_lost_connection(error) is not None:
                raise
            logger.exception("request failed", request=request.id)
            await self._answer_failure(exchange)

    async def _answer_failure(self, exchange: Exchange) -> None:
        """End a request that a fault of this program has stopped; it may have run."""
        if exchange.response_started:
            exchange.abort()
            return
        error = UnavailableError(
            ErrorKind.UPSTREAM_FAILED,
            "the request failed on this host",
            was_run=WasRun.UNKNOWN,
        )
        await self._adapter.answer_error(exchange, error)

    def _read_request(self, exchange: Exchange) -> RelayRequest:
        now = self._clock()
        if not is_deployment_current(self._deployment, now):
            raise UnavailableError(
                ErrorKind.NOT_READY,
                "no deployment is in force, or its lease has expired",
                was_run=WasRun.NO,
                retry_after_s=not_ready_retry_s(now - self._started_at, self._rng),
            )
        if not self._knows_rollouts():
            raise UnavailableError(
                ErrorKind.NOT_READY,
                "the leader has not said yet which versions may be used",
                was_run=WasRun.NO,
                retry_after_s=not_ready_retry_s(now - self._started_at, self._rng),
            )
        table = self._deployment.table
        request = self._adapter.read_request(exchange, table, self._clock)
        request.is_ordered_by_cost = self._config.least_cost
        return request

    def _apply_limits(self, deployment: Deployment) -> None:
        limits = deployment.limits
        self._server_state.limits = ServerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        )


def _plain_services(
    deployment: DeploymentSection,
) -> Callable[[ServiceName], bool]:
    """Return a function that tells whether a service is declared without an engine."""
    version: int | None = None
    plain: frozenset[ServiceName] = frozenset()

    def is_plain(service: ServiceName) -> bool:
        nonlocal version, plain
        declared = deployment.table.deployment
        if declared.version != version:
            version = declared.version
            plain = frozenset(
                one.name for one in declared.services if one.engine is None
            )
        return service in plain

    return is_plain
