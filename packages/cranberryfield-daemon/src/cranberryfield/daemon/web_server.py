"""Serves the web application with hypercorn's connections on a given listener."""

import asyncio
from collections.abc import Awaitable, Callable

from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.utils import wrap_app

from cranberryfield.core.http.admission import AdmittingListener
from cranberryfield.core.listening import ACCEPTED_AT_ONCE

__all__ = ["serve_web"]


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
        await _WebConnection(wrapped, loop, config, context, {}, reader, writer)

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
        if connections:
            await asyncio.wait(connections, timeout=config.graceful_timeout)
