"""Limits of the server while they change, over real sockets on loopback."""

import anyio
import pytest

from cranberryfield.core.http1 import ServerLimits, ServerState, serve_http
from standins.processes import free_port

SMALL = ServerLimits(max_header_bytes=2_000, max_body_bytes=2_000)
LARGE = ServerLimits(max_header_bytes=200_000, max_body_bytes=200_000)
PROVISIONAL = ServerLimits.provisional()
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"


def large_head(size=50_000):
    return HEAD + b"A: " + b"a" * size + b"\r\nContent-Length: 0\r\n\r\n"


def large_body(size=50_000):
    return HEAD + b"Content-Length: %d\r\n\r\n" % size + b"b" * size


def chunked_body(size=50_000):
    chunk = b"%x\r\n" % size + b"b" * size + b"\r\n"
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"


async def answer(exchange):
    await exchange.respond(200, [], str(len(exchange.body)).encode())


def converse(state, conversation):
    """Run a conversation with a server over one connection; return its result."""

    async def main():
        address = ("127.0.0.1", free_port())
        async with anyio.create_task_group() as tasks:
            await tasks.start(serve_http, address, answer, state)
            with anyio.fail_after(20):
                async with await anyio.connect_tcp(*address) as stream:
                    result = await conversation(stream)
            tasks.cancel_scope.cancel()
        return result

    return anyio.run(main)


async def read_response(stream):
    """Return the status and the head of a response."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    return int(data.split()[1]), data.partition(b"\r\n\r\n")[0]


@pytest.mark.parametrize(
    ("limits", "sent", "status"),
    [
        (SMALL, large_head(1_000), 200),
        (SMALL, large_head(), 431),
        (SMALL, large_body(1_000), 200),
        (SMALL, large_body(), 413),
        (SMALL, chunked_body(1_000), 200),
        (SMALL, chunked_body(), 413),
        # Without an end.
        (SMALL, HEAD + b"A: " + b"a" * 70_000, 431),
        (LARGE, large_head(), 200),
        (LARGE, large_body(), 200),
        (PROVISIONAL, large_head(), 200),
        (PROVISIONAL, large_head(2 << 20), 503),
        (PROVISIONAL, large_body(5 << 20), 503),
        (PROVISIONAL, chunked_body(5 << 20), 503),
    ],
)
@pytest.mark.parametrize("piece", [1_000, 1 << 24])
def test_a_request_beyond_the_limits_is_refused(limits, sent, status, piece):
    async def conversation(stream):
        async def send():
            try:
                for start in range(0, len(sent), piece):
                    await stream.send(sent[start : start + piece])
            except anyio.BrokenResourceError:
                # A refusal closes the connection before all is sent.
                assert status in (413, 431, 503)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            response = await read_response(stream)
            tasks.cancel_scope.cancel()
        return response

    got, head = converse(ServerState(limits), conversation)
    assert got == status
    assert (b"Retry-After" in head) == (status == 503)


# Guards against DENIED: a connection kept the limit that was in force as it was opened.
@pytest.mark.parametrize("first", [SMALL, PROVISIONAL])
@pytest.mark.parametrize("request_of", [large_head, large_body, chunked_body])
def test_limits_that_change_hold_for_open_connections(first, request_of):
    state = ServerState(first)

    async def conversation(stream):
        await stream.send(large_head(1_000))
        assert (await read_response(stream))[0] == 200
        state.limits = LARGE
        await stream.send(request_of())
        return (await read_response(stream))[0]

    assert converse(state, conversation) == 200


# Guards against a connection that is closed while its caller may still use it.
def test_an_idle_connection_lives_as_long_as_the_present_limit_says():
    state = ServerState(ServerLimits(idle_timeout_s=0.2))

    async def conversation(stream):
        await anyio.sleep(0.05)
        state.limits = ServerLimits(idle_timeout_s=60.0)
        await anyio.sleep(0.5)
        await stream.send(large_head(10))
        return (await read_response(stream))[0]

    assert converse(state, conversation) == 200


def test_an_idle_connection_is_closed_at_its_limit():
    state = ServerState(ServerLimits(idle_timeout_s=0.05))

    async def conversation(stream):
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()

    converse(state, conversation)
