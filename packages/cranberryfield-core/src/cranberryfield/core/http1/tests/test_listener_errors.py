"""Errors of the listener and of addresses, over real sockets on loopback."""

import errno

import anyio
import pytest

from cranberryfield.core.http1 import (
    NotSentError,
    ServerState,
    connect_directly,
    open_stream,
    serve_http,
)
from cranberryfield.core.http1 import server as server_module
from cranberryfield.core.http1.message import RequestHead
from standins.processes import free_port


# Guards against LOST: a relay without free descriptors ended at the next connection.
@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENETDOWN, errno.ECONNABORTED])
def test_an_error_of_the_listener_does_not_end_it(monkeypatch, number):
    address = ("127.0.0.1", free_port())
    accept = server_module.accept_connection
    failures = [OSError(number, "refused by the kernel")] * 2

    def fail_at_first(listener):
        if failures:
            raise failures.pop()
        return accept(listener)

    async def answer(exchange):
        await exchange.respond(200, [], b"served")

    async def main():
        async with anyio.create_task_group() as tasks:
            await tasks.start(serve_http, address, answer, ServerState())
            with anyio.fail_after(10):
                connection = await connect_directly(f"127.0.0.1:{address[1]}", 5.0)
                await connection.send(RequestHead(b"GET", b"/", [(b"Host", b"h")]), b"")
                head = await connection.read_head()
                await connection.close()
            tasks.cancel_scope.cancel()
        return head.status

    monkeypatch.setattr(server_module, "accept_connection", fail_at_first)
    assert anyio.run(main) == 200
    assert not failures


# Guards against a caller whose connection is closed without an answer, since the
# address of an upstream cannot be a port.
@pytest.mark.parametrize("address", ["127.0.0.1:70000", "127.0.0.1:x", "127.0.0.1:-1"])
def test_an_address_that_is_none_counts_as_not_reached(address):
    with pytest.raises(NotSentError):
        anyio.run(open_stream, address, 1.0)


# Guards against an answer that is lost for a header that no number can be read from.
@pytest.mark.parametrize("value", [b"timeout=\xb2", b"timeout=" + b"9" * 5000, b"="])
def test_keep_alive_that_cannot_be_read_is_ignored(value):
    async def main():
        async def answer(stream):
            async with stream:
                await stream.receive()
                await stream.send(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: "
                    + value
                    + b"\r\n\r\nok"
                )

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, answer)
            connection = await connect_directly(f"127.0.0.1:{port}", 5.0)
            await connection.send(RequestHead(b"GET", b"/", [(b"Host", b"h")]), b"")
            head = await connection.read_head()
            body = await connection.read_body(10)
            await connection.close()
            tasks.cancel_scope.cancel()
        return head.status, body

    assert anyio.run(main) == (200, b"ok")
