"""Stand-in for a model engine: ``python -m standins.engine``."""

import os
import signal
import time
from enum import Enum
from pathlib import Path
from typing import Annotated

import anyio
import msgspec
from cyclopts import App, Parameter
from hypercorn.asyncio import serve
from hypercorn.config import Config as HypercornConfig
from starlette.applications import Starlette
from starlette.requests import Request as HttpRequest
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from standins.announcer import Announcer
from standins.batching import Batcher, PrefixCache, Run, new_run
from standins.journal import Journal
from standins.tokens import CompletionRequest, full_prompt

__all__ = ["Engine", "EngineOptions", "Fencing", "main"]

RUN_HEADER = "Cranberryfield-Run"
CRASH_EXIT_CODE = 70
REQUEST_EXCERPT_LENGTH = 200
CACHE_BLOCKS = 4096
LOAD_REPORT_DELAY_S = 0.2
CACHE_EVENT_DELAY_S = 0.3
MAX_CACHE_EVENT_BLOCKS_PER_S = 1000.0


class Fencing(Enum):
    """Handling of orders with an outdated fencing number."""

    CHECK = "check"
    IGNORE = "ignore"


class EngineOptions(msgspec.Struct, frozen=True):
    """Options of one engine; times in milliseconds."""

    id: str
    service: str
    data_centre: str
    port: int
    journal: str
    announce: tuple[str, ...]
    key: str
    incarnation: int
    step_ms: float = 2.0
    capacity: int = 16
    lease_ms: int = 1000
    reclaim_ms: int = 2000
    machine_class: str = "reclaimable"
    fencing: Fencing = Fencing.CHECK
    address: str = ""


class ResumeBody(msgspec.Struct):
    """Body of ``POST /runs/{run}/resume``."""

    path: str
    request: CompletionRequest
    delivered_events: int
    delivered_text: str


class KvBlob(msgspec.Struct):
    """Exported KV cache of a run, with which it resumes without prefill."""

    run: str
    produced: int


class Order(msgspec.Struct):
    """Body of ``POST /orders``."""

    order_id: str
    fencing: int
    action: str
    name: str = ""


class Engine:
    """HTTP server of one engine.

    Parameters
    ----------
    options : EngineOptions
        Options of the engine.
    """

    def __init__(self, options: EngineOptions):
        self._options = options
        self._journal = Journal(Path(options.journal), options.id, options.incarnation)
        self._batcher = Batcher(options.step_ms / 1000, options.capacity)
        self._cache = PrefixCache(CACHE_BLOCKS)
        self._runs: dict[str, Run] = {}
        self._imported_runs: dict[str, int] = {}
        self._highest_fencing = 0
        self._applied_orders: dict[str, Order] = {}
        self._leaving = False
        self._reported_load = self._batcher.load

    async def run(self) -> None:
        """Serve; on SIGTERM, announce the departure and stop at the reclaim."""
        options = self._options
        announcer = Announcer(
            list(options.announce), options.key, self._description(), self._load
        )
        stop = anyio.Event()
        config = HypercornConfig()
        config.bind = [f"127.0.0.1:{options.port}"]
        config.graceful_timeout = 0.1
        config.accesslog = config.errorlog = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._batcher.run_steps, self._before_token)
            tasks.start_soon(self._update_reported_load)
            tasks.start_soon(announcer.run)
            tasks.start_soon(self._leave_on_signal, announcer, stop)
            await serve(self._build_app(), config, shutdown_trigger=stop.wait)
            tasks.cancel_scope.cancel()

    def _description(self) -> dict:
        options = self._options
        return {
            "id": options.id,
            "incarnation": options.incarnation,
            "service": options.service,
            "data_centre": options.data_centre,
            "address": options.address or f"127.0.0.1:{options.port}",
            "machine_class": options.machine_class,
            "capabilities": [
                "resume",
                "cancel",
                "kv",
                "orders",
                "load",
                "cache_events",
            ],
            "capacity": options.capacity,
            "lease_ms": options.lease_ms,
        }

    def _load(self) -> dict:
        return self._reported_load

    async def _update_reported_load(self) -> None:
        while True:
            load = self._batcher.load
            await anyio.sleep(LOAD_REPORT_DELAY_S)
            self._reported_load = load

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

    def _before_token(self, run: Run) -> None:
        if run.request.crash:
            self._journal.write("crashed", run.run)
            os._exit(CRASH_EXIT_CODE)

    def _build_app(self) -> Starlette:
        return Starlette(
            routes=[
                Route("/v1/chat/completions", self._complete, methods=["POST"]),
                Route("/v1/completions", self._complete, methods=["POST"]),
                Route("/runs/import", self._import, methods=["POST"]),
                Route("/runs/{run}/resume", self._resume, methods=["POST"]),
                Route("/runs/{run}/cancel", self._cancel, methods=["POST"]),
                Route("/runs/{run}/export", self._export, methods=["POST"]),
                Route("/load", self._show_load),
                Route("/cache/events", self._cache_events),
                Route("/orders", self._apply_order, methods=["POST"]),
                Route("/orders", self._list_orders, methods=["GET"]),
            ]
        )

    async def _complete(self, http: HttpRequest) -> Response:
        request = msgspec.json.decode(await http.body(), type=CompletionRequest)
        name = http.headers.get(RUN_HEADER, f"run-{time.time_ns()}")
        excerpt = full_prompt(request)[:REQUEST_EXCERPT_LENGTH]
        if self._leaving:
            self._journal.write("refused", name, request=excerpt)
            return Response(status_code=503)
        run = new_run(name, request, self._cache)
        self._journal.write(
            "started", name, prefill_tokens=run.prefill_left, request=excerpt
        )
        return self._stream(run, http.url.path)

    async def _resume(self, http: HttpRequest) -> Response:
        body = msgspec.json.decode(await http.body(), type=ResumeBody)
        name = http.path_params["run"]
        excerpt = full_prompt(body.request)[:REQUEST_EXCERPT_LENGTH]
        if self._leaving:
            self._journal.write("refused", name, request=excerpt)
            return Response(status_code=503)
        words = (full_prompt(body.request) + body.delivered_text).split()
        imported = self._imported_runs.pop(name, None)
        recomputed_tokens = 0
        if imported is None:
            recomputed_tokens = len(words) - self._cache.count_cached_tokens(words)
            self._cache.add(words)
        run = Run(
            name,
            body.request,
            full_prompt(body.request),
            min(body.delivered_events, body.request.max_tokens),
            recomputed_tokens,
        )
        self._journal.write(
            "resumed",
            name,
            prefill_tokens=recomputed_tokens,
            recomputed_tokens=recomputed_tokens,
            tokens=body.delivered_events,
            request=excerpt,
        )
        return self._stream(run, body.path, body.delivered_events)

    def _stream(self, run: Run, path: str, delivered: int = 0) -> Response:
        self._runs[run.run] = run
        self._batcher.add(run)
        return StreamingResponse(
            self._events(run, path.endswith("/chat/completions"), delivered),
            media_type="text/event-stream",
        )

    async def _events(self, run: Run, chat: bool, delivered: int):
        sent = 0
        finished = False
        try:
            while True:
                while sent < len(run.tokens):
                    yield _chunk(run, chat, run.tokens[sent], None)
                    sent += 1
                if run.is_done:
                    break
                await run.changed.wait()
            if run.cancelled:
                return
            if delivered <= run.request.max_tokens:
                yield _chunk(run, chat, "", "length")
            self._journal.write("finished", run.run, tokens=run.produced)
            finished = True
            yield b"data: [DONE]\n\n"
        finally:
            self._runs.pop(run.run, None)
            if not finished:
                run.cancelled = True
                self._journal.write("cancelled", run.run, tokens=run.produced)

    async def _cancel(self, http: HttpRequest) -> Response:
        run = self._runs.get(http.path_params["run"])
        if run is None:
            return Response(status_code=404)
        run.cancelled = True
        run.notify()
        return Response(status_code=204)

    async def _export(self, http: HttpRequest) -> Response:
        run = self._runs.get(http.path_params["run"])
        if run is None:
            return Response(status_code=404)
        run.cancelled = True
        run.notify()
        self._journal.write("exported", run.run, tokens=run.produced)
        blob = KvBlob(run.run, run.produced)
        return Response(msgspec.json.encode(blob), media_type="application/json")

    async def _import(self, http: HttpRequest) -> Response:
        if self._leaving:
            return Response(status_code=503)
        blob = msgspec.json.decode(await http.body(), type=KvBlob)
        self._imported_runs[blob.run] = blob.produced
        self._journal.write("imported", blob.run, tokens=blob.produced)
        return Response(status_code=204)

    async def _show_load(self, http: HttpRequest) -> Response:
        return JSONResponse(
            {
                **self._reported_load,
                "incarnation": self._options.incarnation,
                "leaving": self._leaving,
            }
        )

    async def _cache_events(self, http: HttpRequest) -> Response:
        rate = float(
            http.query_params.get("blocks_per_s", MAX_CACHE_EVENT_BLOCKS_PER_S)
        )
        return StreamingResponse(
            self._cache_change_lines(rate), media_type="application/x-ndjson"
        )

    async def _cache_change_lines(self, rate: float):
        """Yield cache changes with a delay.

        Changes over the rate limit are skipped, which leaves gaps in their sequence.
        """
        sent = 0
        allowance = rate
        while True:
            await anyio.sleep(CACHE_EVENT_DELAY_S)
            allowance = min(rate, allowance + rate * CACHE_EVENT_DELAY_S)
            for change in list(self._cache.changes):
                size = len(change.added) + len(change.removed)
                if change.sequence > sent and size <= allowance:
                    allowance -= size
                    sent = change.sequence
                    yield msgspec.json.encode(change) + b"\n"

    async def _apply_order(self, http: HttpRequest) -> Response:
        order = msgspec.json.decode(await http.body(), type=Order)
        checks_fencing = self._options.fencing is Fencing.CHECK
        if checks_fencing and order.fencing < self._highest_fencing:
            self._journal.write("order_refused", detail=order.order_id)
            return JSONResponse({"fencing": self._highest_fencing}, status_code=409)
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        if order.order_id not in self._applied_orders:
            self._applied_orders[order.order_id] = order
            detail = f"{order.order_id} {order.fencing} {order.action} {order.name}"
            self._journal.write("order", detail=detail)
        return Response(status_code=204)

    async def _list_orders(self, http: HttpRequest) -> Response:
        return JSONResponse(
            [msgspec.to_builtins(one) for one in self._applied_orders.values()]
        )


def _chunk(run: Run, chat: bool, text: str, reason: str | None) -> bytes:
    choice = {"index": 0, "finish_reason": reason}
    if chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    chunk = {
        "id": run.run,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": 0,
        "model": run.request.model,
        "choices": [choice],
    }
    if reason is not None:
        prompt_tokens = len(run.prompt.split())
        chunk["usage"] = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": run.produced,
            "total_tokens": prompt_tokens + run.produced,
        }
    return b"data: %s\n\n" % msgspec.json.encode(chunk)


app = App(name="standins.engine")


@app.default
def main(options: Annotated[str, Parameter(help="EngineOptions as JSON")]) -> None:
    """Run one engine."""
    engine = Engine(msgspec.json.decode(options, type=EngineOptions))
    anyio.run(engine.run)


if __name__ == "__main__":
    app()
