"""Connections that callers lose: an ordinary event, told in one line."""

import socket
import struct

import anyio
import pytest
from anyio.abc import SocketAttribute
from structlog.testing import capture_logs

from cranberryfield.core.http1 import ServerState, response_writer, serve_http

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
#: Larger than the buffers of a connection, so that its sender waits.
LARGE = b"x" * (32 << 20)


def reset(stream):
    """Close a connection so that its peer gets a reset."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def answer_large(exchange):
    await exchange.respond(200, [], LARGE)


async def fail(exchange):
    raise RuntimeError("fault of the handler")


# What the caller sends before it resets, the handler, and the logged lines.
CASES = [
    ("before a request", b"", fail, ["info"]),
    ("in a request", REQUEST[:9], fail, ["info"]),
    ("in an answer", REQUEST, answer_large, ["info"]),
    ("fault of the handler", REQUEST, fail, ["error"]),
]


@pytest.mark.parametrize(
    ("sent", "handler", "levels"),
    [row[1:] for row in CASES],
    ids=[row[0] for row in CASES],
)
def test_a_lost_connection_is_no_unhandled_exception(sent, handler, levels):
    state = ServerState()

    async def converse():
        address = ("127.0.0.1", free_port())
        async with anyio.create_task_group() as tasks:
            await tasks.start(serve_http, address, handler, state)
            stream = await anyio.connect_tcp(*address)
            if sent:
                await stream.send(sent)
            if handler is answer_large and sent:
                await stream.receive(1)
            elif handler is fail and sent == REQUEST:
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await stream.receive()
            reset(stream)
            await anyio.aclose_forcefully(stream)
            with anyio.fail_after(10.0):
                while not logs:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    with capture_logs() as logs:
        anyio.run(converse)
    assert [line["log_level"] for line in logs] == levels
    if levels == ["info"]:
        assert logs[0]["event"] == "caller's connection lost"


# Guards against a caller that holds a handler, and what it sends, by not reading.
def test_a_caller_that_does_not_read_ends_its_handler(monkeypatch):
    monkeypatch.setattr(response_writer, "WRITE_TIMEOUT_S", 0.2)
    ended = []

    async def answer(exchange):
        try:
            await exchange.respond(200, [], LARGE)
        finally:
            ended.append(exchange)

    async def converse():
        address = ("127.0.0.1", free_port())
        async with anyio.create_task_group() as tasks:
            await tasks.start(serve_http, address, answer, ServerState())
            async with await anyio.connect_tcp(*address) as stream:
                await stream.send(REQUEST)
                with anyio.fail_after(10.0):
                    while not logs:
                        await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    with capture_logs() as logs:
        anyio.run(converse)
    assert ended
    assert logs[0]["event"] == "caller does not take the response"


def test_a_slow_caller_gets_the_whole_response(monkeypatch):
    monkeypatch.setattr(response_writer, "WRITE_TIMEOUT_S", 0.5)
    body = LARGE[: 4 << 20]
    received = 0

    async def answer(exchange):
        await exchange.start(200, [(b"Content-Length", str(len(body)).encode())])
        for start in range(0, len(body), 65_536):
            await exchange.send(body[start : start + 65_536])
        await exchange.finish()

    async def converse():
        nonlocal received
        address = ("127.0.0.1", free_port())
        async with anyio.create_task_group() as tasks:
            await tasks.start(serve_http, address, answer, ServerState())
            async with await anyio.connect_tcp(*address) as stream:
                await stream.send(REQUEST)
                with anyio.fail_after(20.0):
                    while received < len(body):
                        received += len(await stream.receive())
                        await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()

    anyio.run(converse)
    assert received >= len(body)


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]
