"""Pass-through proxy for event streams: ``python -m bench.bare_relay PORT TARGET``.

It parses, checks and records nothing, so its cost is that of the HTTP libraries
alone. It serves as the baseline of `bench.measure_relay`.
"""

import signal

import anyio
import httpx
from cyclopts import App
from hypercorn.asyncio import serve
from hypercorn.config import Config as HypercornConfig
from starlette.applications import Starlette
from starlette.requests import Request as HttpRequest
from starlette.responses import StreamingResponse
from starlette.routing import Route

__all__ = ["main"]

app = App(name="bench.bare_relay")


@app.default
def main(port: int, target: str) -> None:
    """Relay requests from a port on 127.0.0.1 to `target` until SIGTERM.

    Parameters
    ----------
    port : int
        Port to listen on.
    target : str
        ``IP:PORT`` of the upstream.
    """
    anyio.run(_serve, port, target)


async def _serve(port: int, target: str) -> None:
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=256)
    async with httpx.AsyncClient(timeout=None, limits=limits, trust_env=False) as http:

        async def relay(request: HttpRequest) -> StreamingResponse:
            url = f"http://{target}{request.url.path}"
            body = await request.body()
            outgoing = http.build_request("POST", url, content=body)
            answer = await http.send(outgoing, stream=True)
            return StreamingResponse(
                _chunks(answer), answer.status_code, media_type="text/event-stream"
            )

        config = HypercornConfig()
        config.bind = [f"127.0.0.1:{port}"]
        config.accesslog = config.errorlog = None
        routes = [Route("/{path:path}", relay, methods=["POST"])]
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stop_on_signal, stop)
            await serve(Starlette(routes=routes), config, shutdown_trigger=stop.wait)
            tasks.cancel_scope.cancel()


async def _chunks(answer: httpx.Response):
    try:
        async for chunk in answer.aiter_raw():
            yield chunk
    finally:
        await answer.aclose()


async def _stop_on_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            stop.set()
            return


if __name__ == "__main__":
    app()
