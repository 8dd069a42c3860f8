"""Serves the web application with hypercorn's connections on a given listener."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.utils import wrap_app

from cranberryfield.core.http.admission import AdmittingListener
from cranberryfield.core.listening import ACCEPTED_AT_ONCE

__all__ = ["serve_web"]

#: Time for which a stop waits for a caller that neither sends the rest of its request
#: nor takes its response, in seconds, and between two checks.
STALLED_S = 10.0
STOP_POLL_S = 0.5
#: Time in which a connection ends once its socket is closed, in seconds.
CLOSED_S = 5.0

logger = structlog.get_logger(__name__)


class _WebConnection(TCPServer):
    """Connection that ends with its peer.

    The library's goes on until the time-out of an idle connection.
    """

    async def _read_data(self) -> None:
        await super()._read_data()
        await self.idle_task.stop()


async def serve_web(
    app: Callable,
    config: Config,
    listener: AdmittingListener,
    wait_for_stop: Callable[[], Awaitable[None]],
) -> None:
    """Serve until `wait_for_stop` returns, and then until all responses have ended.

    Then a connection is closed if its caller does not go on for `STALLED_S`.

    Hypercorn's own function has no place for the listener and for the connections.

    Parameters
    ----------
    app : callable
        The ASGI application.
    config : hypercorn.config.Config
        Time-outs and log of the connections.
    listener : AdmittingListener
        The listening socket.
    wait_for_stop : callable
        Returns once the server has to stop.
    """
    loop = asyncio.get_running_loop()
    context = WorkerContext(None)
    wrapped = wrap_app(app, config.wsgi_max_body_size, "asgi")
    connections: set[asyncio.Task] = set()

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        connections.add(task)
        task.add_done_callback(connections.discard)
        is_closed = False

        def close() -> None:
            nonlocal is_closed
            is_closed = True
            # The library waits for bytes of some connections that are closed.
            loop.call_later(CLOSED_S, task.cancel)

        peer = writer.get_extra_info("peername")
        use = listener.find(peer[:2]) if peer else None
        if use is not None:
            use.on_end = close
        try:
            await _WebConnection(wrapped, loop, config, context, {}, reader, writer)
        except asyncio.CancelledError:
            if not is_closed:
                raise
            logger.debug("connection ended after its socket")

    server = await asyncio.start_server(
        serve_connection, sock=listener, backlog=ACCEPTED_AT_ONCE
    )
    try:
        await wait_for_stop()
    finally:
        # Closes the idle connections.
        await context.terminated.set()
        server.close()
        await server.wait_closed()
        ends_at = loop.time() + config.graceful_timeout
        while connections and loop.time() < ends_at:
            # Callers that do not go on would keep the process for as long as they like.
            listener.shed_stalled(STALLED_S)
            await asyncio.wait(connections, timeout=STOP_POLL_S)
