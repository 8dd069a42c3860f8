"""Runs one process: mesh, roles, HTTP server and shutdown."""

import logging
import signal
import time
from collections.abc import Callable
from random import Random

import anyio
import structlog
from anyio.abc import TaskGroup
from hypercorn.config import Config as ServerConfig

from cranberryfield.control.runtime import ControlRuntime
from cranberryfield.core.admission import ConnectionTable
from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.config import DaemonConfig, Role
from cranberryfield.core.config.daemon import split_address
from cranberryfield.core.features import SUPPORTED_LEVEL
from cranberryfield.core.http.admission import AdmissionMiddleware, AdmittingListener
from cranberryfield.core.http1.listeners import ListenerFactory, ProcessLimits
from cranberryfield.core.ids import Incarnation, NodeId
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.control import ReadTraffic, TrafficView
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.proposals import Proposer
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.daemon.operators.view_builders import (
    build_status_view,
    build_upstream_views,
)
from cranberryfield.daemon.state_changes import Observation, log_changes
from cranberryfield.daemon.web import build_web_app
from cranberryfield.daemon.web_server import serve_web
from cranberryfield.entry.runtime import EntryRuntime

__all__ = ["run_process"]

#: Time for the load balancer to detect that the host is not ready, in seconds.
NOT_READY_NOTICE_S = 0.5
#: Maximum time for open responses to end after the listener is closed, in seconds.
MAX_RESPONSE_S = 86_400
KEEP_ALIVE_TIMEOUT_S = 75
NS_PER_MS = 1_000_000

logger = structlog.get_logger(__name__)


def _make_hello(config: DaemonConfig) -> Hello:
    return Hello(
        config.node_id,
        config.group,
        Incarnation(time.time_ns() // NS_PER_MS),
        config.zone,
        tuple(role.value for role in config.roles),
        config.mesh,
        config.callers,
        SUPPORTED_LEVEL,
    )


def _make_server_config() -> ServerConfig:
    server_config = ServerConfig()
    server_config.graceful_timeout = MAX_RESPONSE_S
    server_config.shutdown_timeout = MAX_RESPONSE_S
    server_config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    server_config.accesslog = None
    server_config.errorlog = logging.getLogger("hypercorn.error")
    return server_config


async def run_process(config: DaemonConfig) -> None:
    """Run until a signal; return when all requests in progress have ended.

    SIGTERM and SIGINT request a planned stop, which waits for all responses.
    SIGUSR1 announces that the host is reclaimed: requests in progress are handed
    over to other hosts.

    Parameters
    ----------
    config : DaemonConfig
        The checked configuration.

    Raises
    ------
    StorageError
        If the data folder cannot be used.
    """
    board = Blackboard()
    board.add(SettingsSection())
    metrics = Metrics.from_config(config.statsd, config.node)
    limits = ProcessLimits.from_config(config)
    listeners = ListenerFactory(limits, metrics, monotonic_clock)
    mesh = Mesh(_make_hello(config), config.mesh_key, config.tls, listeners.for_links())
    mesh.handle(ReadTraffic, lambda sender, message: TrafficView(*mesh.traffic_bytes))
    members = tuple(NodeId(member.node) for member in config.control)
    proposer = Proposer(mesh, lambda: members, monotonic_clock)
    rng = Random(config.node)
    control = None
    if Role.CONTROL in config.roles:
        names = ControlHostNames.from_list(members)
        control = ControlRuntime.from_config(
            config, mesh, board, monotonic_clock, rng, names
        )
    async with anyio.create_task_group() as tasks:
        entry = None
        if Role.ENTRY in config.roles:
            entry = EntryRuntime.from_config(
                config,
                mesh,
                board,
                metrics,
                proposer,
                tasks,
                monotonic_clock,
                rng,
            )
            tasks.start_soon(entry.run)
        if control is not None:
            tasks.start_soon(control.run)
        await tasks.start(mesh.listen, config.mesh_listen_address)
        _dial_control_hosts(config, mesh, tasks)
        web = build_web_app(config, board, mesh, metrics, proposer, entry, control)
        listener = AdmittingListener(
            *split_address(config.callers),
            ConnectionTable(listeners.caller_connections),
            listeners.reporter("callers"),
            monotonic_clock,
        )
        admitting = AdmissionMiddleware(web, listener, listeners.budget)
        stop = anyio.Event()
        tasks.start_soon(_drain_on_signal, entry, stop)
        tasks.start_soon(log_changes, _make_observer(config, board, mesh, entry))
        logger.info("started", callers=config.callers, mesh=config.mesh)
        await serve_web(admitting, _make_server_config(), listener, stop.wait)
        if entry is not None:
            await entry.close()
        logger.info("stopped")
        tasks.cancel_scope.cancel()


def _make_observer(
    config: DaemonConfig, board: Blackboard, mesh: Mesh, entry: EntryRuntime | None
) -> Callable[[], Observation]:
    def observe() -> Observation:
        ready = entry is None or entry.is_ready()
        status = build_status_view(config, board, mesh, ready)
        upstreams = []
        if entry is not None:
            upstreams = build_upstream_views(board, monotonic_clock())
        return Observation.from_views(status, upstreams)

    return observe


def _dial_control_hosts(config: DaemonConfig, mesh: Mesh, tasks: TaskGroup) -> None:
    addresses = {member.mesh for member in config.control}
    for address in sorted(addresses - {config.mesh}):
        tasks.start_soon(mesh.dial, address)


async def _drain_on_signal(entry: EntryRuntime | None, stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGUSR1
    ) as signals:
        async for number in signals:
            logger.info("stopping", signal=number)
            if entry is not None and number == signal.SIGUSR1:
                await entry.hand_over_and_drain()
            elif entry is not None:
                entry.begin_stop()
                await anyio.sleep(NOT_READY_NOTICE_S)
                await entry.wait_drained()
            stop.set()
            return
