"""Builds and runs one host of a cluster."""

import math
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from random import Random
from typing import TYPE_CHECKING

import anyio
import structlog

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import Clock, boot_time_clock
from cranberryfield.core.config import ClusterConfig
from cranberryfield.core.config.daemon import split_address
from cranberryfield.core.features import SUPPORTED_LEVEL
from cranberryfield.core.http1 import Exchange, serve_http
from cranberryfield.core.http1.listeners import ListenerFactory, ProcessLimits
from cranberryfield.core.ids import Incarnation
from cranberryfield.core.loop_monitor import LoopMonitor
from cranberryfield.core.mesh import ControlDirectory, Mesh
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.supervision import start_supervised
from cranberryfield.daemon.cluster.protocol_adapter import ProtocolAdapter

if TYPE_CHECKING:
    from cranberryfield.daemon.cluster.control import ControlHost
    from cranberryfield.daemon.cluster.relay import RelayHost

__all__ = ["run_cluster_host"]

NS_PER_MS = 1_000_000
#: Time for which rendered metrics are served again, in seconds.
METRICS_MAX_AGE_S = 0.25
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

logger = structlog.get_logger(__name__)


def _make_hello(config: ClusterConfig) -> Hello:
    callers = config.relay.callers if config.relay is not None else ""
    return Hello(
        config.node_id,
        config.group,
        Incarnation(time.time_ns() // NS_PER_MS),
        config.zone,
        config.roles,
        config.mesh,
        callers,
        SUPPORTED_LEVEL,
    )


async def run_cluster_host(config: ClusterConfig, adapter: ProtocolAdapter) -> None:
    """Run until SIGTERM or SIGINT; return when all roles have stopped.

    Parameters
    ----------
    config : ClusterConfig
        The checked settings.
    adapter : ProtocolAdapter
        Protocol translation.

    Raises
    ------
    StorageError
        If the data folder cannot be used.
    """
    board = Blackboard()
    clock = boot_time_clock
    rng = Random(config.node)
    metrics = Metrics()
    listeners = ListenerFactory(ProcessLimits.from_config(config), metrics, clock)
    mesh = Mesh(_make_hello(config), config.mesh_key, gate=listeners.for_links())
    directory = ControlDirectory(
        mesh, config.mesh_seeds, config.first_start, clock, rng
    )
    roles = []
    # A host imports only the roles that it has, as imports are most of its start.
    if config.control is not None:
        from cranberryfield.daemon.cluster.control import ControlHost

        roles.append(
            ControlHost.from_config(
                config,
                adapter,
                mesh,
                board,
                directory.names,
                clock,
                rng,
                metrics,
                listeners,
            )
        )
    if config.relay is not None:
        from cranberryfield.daemon.cluster.relay import RelayHost

        roles.append(
            RelayHost.from_config(
                config,
                adapter,
                mesh,
                board,
                metrics,
                directory.names,
                clock,
                rng,
                listeners,
            )
        )
    # Installed before the roles start, as signals may arrive during the start.
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        await _run_roles(config, mesh, directory, roles, metrics, listeners, signals)


async def _run_roles(
    config: ClusterConfig,
    mesh: Mesh,
    directory: ControlDirectory,
    roles: "list[ControlHost | RelayHost]",
    metrics: Metrics,
    listeners: ListenerFactory,
    signals: AsyncIterator[signal.Signals],
) -> None:
    async with anyio.create_task_group() as tasks:
        await tasks.start(mesh.listen, config.mesh)
        background = {
            "control hosts": directory.run,
            "loop monitor": LoopMonitor(metrics).run,
        }
        start_supervised(tasks, background, metrics)
        if config.metrics is not None:
            address = split_address(config.metrics)
            tasks.start_soon(
                serve_http,
                address,
                _metrics_handler(metrics, mesh, boot_time_clock),
                listeners.for_tools("metrics"),
            )
        for role in roles:
            tasks.start_soon(role.run)
        logger.info(
            "started",
            roles=config.roles,
            data_centre=config.data_centre,
            first_start=config.first_start,
            seeds=config.mesh_seeds,
        )
        await _wait_for_stop(signals)
        for role in roles:
            await role.stop()
        logger.info("stopped")
        tasks.cancel_scope.cancel()


def _metrics_handler(
    metrics: Metrics, mesh: Mesh, clock: Clock
) -> Callable[[Exchange], Awaitable[None]]:
    counted = 0
    rendered = b""
    rendered_at = -math.inf

    async def answer(exchange: Exchange) -> None:
        nonlocal counted, rendered, rendered_at
        # Limits the processor time that callers of this listener can use.
        if clock() - rendered_at >= METRICS_MAX_AGE_S:
            from cranberryfield.core.metrics.prometheus import render_metrics

            skipped = mesh.skipped_messages
            metrics.count("messages_skipped", skipped - counted)
            counted = skipped
            rendered = render_metrics(metrics)
            rendered_at = clock()
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        await exchange.respond(200, headers, rendered)

    return answer


async def _wait_for_stop(signals: AsyncIterator[signal.Signals]) -> None:
    async for received in signals:
        if received == signal.SIGHUP:
            # Only the seeds may change at run time; they are used only at a start.
            logger.info("settings file may have changed")
            continue
        logger.info("stopping", signal=received)
        return
