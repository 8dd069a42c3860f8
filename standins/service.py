"""Stand-in for a plain service: ``python -m standins.service``."""

import signal
from pathlib import Path
from typing import Annotated

import anyio
import msgspec
from cyclopts import App, Parameter
from hypercorn.asyncio import serve
from hypercorn.config import Config as HypercornConfig
from starlette.applications import Starlette
from starlette.requests import Request as HttpRequest
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.announcer import Announcer
from standins.journal import Journal

__all__ = ["PlainService", "ServiceOptions", "main"]

RUN_HEADER = "Cranberryfield-Run"
REQUEST_EXCERPT_LENGTH = 200


class ServiceOptions(msgspec.Struct, frozen=True):
    """Options of one plain service process; times in milliseconds."""

    id: str
    service: str
    data_centre: str
    port: int
    journal: str
    announce: tuple[str, ...]
    key: str
    incarnation: int
    work_ms: float = 20.0
    lease_ms: int = 1000
    reclaim_ms: int = 2000
    address: str = ""


class PlainService:
    """Echoes each request after a simulated processing time.

    Parameters
    ----------
    options : ServiceOptions
        Options of the process.
    """

    def __init__(self, options: ServiceOptions):
        self._options = options
        self._journal = Journal(Path(options.journal), options.id, options.incarnation)
        self._running = 0
        self._leaving = False

    async def run(self) -> None:
        """Serve; on SIGTERM, announce the departure and stop at the reclaim."""
        options = self._options
        description = {
            "id": options.id,
            "incarnation": options.incarnation,
            "service": options.service,
            "data_centre": options.data_centre,
            "address": options.address or f"127.0.0.1:{options.port}",
            "lease_ms": options.lease_ms,
            "capacity": 64,
        }
        announcer = Announcer(
            list(options.announce),
            options.key,
            description,
            lambda: {"running": self._running},
        )
        stop = anyio.Event()
        config = HypercornConfig()
        config.bind = [f"127.0.0.1:{options.port}"]
        config.graceful_timeout = 0.1
        config.accesslog = config.errorlog = None
        methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
        web = Starlette(routes=[Route("/{path:path}", self._call, methods=methods)])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(announcer.run)
            tasks.start_soon(self._leave_on_signal, announcer, stop)
            await serve(web, config, shutdown_trigger=stop.wait)
            tasks.cancel_scope.cancel()

    async def _leave_on_signal(self, announcer: Announcer, stop: anyio.Event) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                self._leaving = True
                self._journal.write("leaving")
                await announcer.leave(self._options.reclaim_ms)
                # Until the reclaim, running requests may end; new ones are refused.
                await anyio.sleep(self._options.reclaim_ms / 1000)
                self._journal.write("stopped")
                stop.set()
                return

    async def _call(self, http: HttpRequest) -> Response:
        body = await http.body()
        run = http.headers.get(RUN_HEADER, "")
        excerpt = body[:REQUEST_EXCERPT_LENGTH].decode(errors="replace")
        if self._leaving:
            self._journal.write("refused", run, request=excerpt)
            return Response(status_code=503)
        self._journal.write("started", run, request=excerpt, detail=http.url.path)
        self._running += 1
        try:
            await anyio.sleep(self._options.work_ms / 1000)
        finally:
            self._running -= 1
        self._journal.write("finished", run, detail=http.url.path)
        return JSONResponse(
            {
                "service": self._options.service,
                "method": http.method,
                "path": http.url.path,
                "echo": body.decode(errors="replace"),
            }
        )


app = App(name="standins.service")


@app.default
def main(options: Annotated[str, Parameter(help="ServiceOptions as JSON")]) -> None:
    """Run one process of a plain service."""
    service = PlainService(msgspec.json.decode(options, type=ServiceOptions))
    anyio.run(service.run)


if __name__ == "__main__":
    app()
