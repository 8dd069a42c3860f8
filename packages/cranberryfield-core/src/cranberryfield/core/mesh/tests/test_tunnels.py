"""Tunnels between two processes, over real sockets on loopback."""

import socket
from contextlib import asynccontextmanager

import anyio
import pytest

from cranberryfield.core.http1 import open_stream
from cranberryfield.core.mesh import Mesh, tunnels
from cranberryfield.core.mesh import mesh as mesh_module
from cranberryfield.core.mesh.tunnels import TunnelError
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.tunnels import TunnelFailure, TunnelReply
from standins.processes import free_port

KEY = "a-key-of-the-mesh"


def make_mesh(node, key=KEY):
    return Mesh(Hello(node, "g", 1, "fann", ("relay",), "", ""), key)


@asynccontextmanager
async def running_exit(handle_upstream):
    """Run an upstream, and a process that connects tunnels to it."""
    mesh = make_mesh("exit")
    mesh_address = f"127.0.0.1:{free_port()}"
    opened = []

    async def connect(address):
        stream = await open_stream(address, 1.0)
        opened.append(address)
        return stream

    mesh.handle_tunnels(connect)
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(listener.serve, handle_upstream)
        await tasks.start(mesh.listen, mesh_address)
        try:
            yield mesh_address, f"127.0.0.1:{port}", opened
        finally:
            tasks.cancel_scope.cancel()


async def read_all(stream):
    parts = []
    try:
        while True:
            parts.append(await stream.receive())
    except anyio.EndOfStream:
        return b"".join(parts), "complete"
    except anyio.BrokenResourceError:
        return b"".join(parts), "broken"


def reset(stream):
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")


# Guards against an answer without a length that looks complete though it was cut off.
@pytest.mark.parametrize(
    ("resets", "size", "expected"),
    [(False, 10, "complete"), (False, 1_000_000, "complete"), (True, 10, "broken")],
)
def test_end_and_loss_of_the_upstream_connection_are_told_apart(resets, size, expected):
    async def handle(stream):
        assert await stream.receive() == b"request"
        await stream.send(b"x" * size)
        if resets:
            await anyio.sleep(0.1)
            reset(stream)
        await stream.aclose()

    async def main():
        async with running_exit(handle) as (mesh_address, address, _):
            tunnel = await make_mesh("entry").open_tunnel(mesh_address, address)
            await tunnel.send(b"request")
            with anyio.fail_after(10):
                return await read_all(tunnel)

    data, end = anyio.run(main)
    assert (len(data), end) == (size, expected)


# Guards against an upstream that goes on to work for a caller who has left.
def test_closing_a_tunnel_closes_the_connection_to_the_upstream():
    closed = anyio.Event()

    async def handle(stream):
        assert await stream.receive() == b"request"
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await stream.receive()
        closed.set()

    async def main():
        async with running_exit(handle) as (mesh_address, address, _):
            tunnel = await make_mesh("entry").open_tunnel(mesh_address, address)
            await tunnel.send(b"request")
            await anyio.sleep(0.05)
            await tunnel.aclose()
            with anyio.fail_after(10):
                await closed.wait()

    anyio.run(main)


# Guards against a request that reaches its upstream long after it was sent, since the
# process in between was suspended.
def test_a_request_that_was_held_up_is_not_passed_on(monkeypatch):
    monkeypatch.setattr(tunnels, "FIRST_BYTES_TIMEOUT_S", 0.1)
    received = []

    async def handle(stream):
        received.append(await read_all_or_nothing(stream))

    async def read_all_or_nothing(stream):
        try:
            return await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return b""

    async def main():
        async with running_exit(handle) as (mesh_address, address, _):
            tunnel = await make_mesh("entry").open_tunnel(mesh_address, address)
            with anyio.fail_after(10):
                while not received:
                    await anyio.sleep(0.02)
            with pytest.raises(anyio.BrokenResourceError):
                while True:
                    await tunnel.send(b"request")
                    await anyio.sleep(0.02)

    anyio.run(main)
    assert received == [b""]


async def serve_nothing(stream):
    await stream.aclose()


def failing(failure):
    async def connect(address):
        raise TunnelError(failure)

    return connect


@pytest.mark.parametrize("failure", TunnelFailure)
def test_why_a_tunnel_is_not_opened_is_told(failure):
    async def main():
        mesh = make_mesh("exit")
        mesh.handle_tunnels(failing(failure))
        mesh_address = f"127.0.0.1:{free_port()}"
        async with anyio.create_task_group() as tasks:
            await tasks.start(mesh.listen, mesh_address)
            with pytest.raises(TunnelError) as caught:
                await make_mesh("entry").open_tunnel(mesh_address, "127.0.0.1:1")
            tasks.cancel_scope.cancel()
        return caught.value.failure

    assert anyio.run(main) is failure


@pytest.mark.parametrize("case", ["wrong key", "no process", "no handler"])
def test_a_process_that_serves_no_tunnel_is_unavailable(case):
    async def main():
        mesh = make_mesh("exit")
        mesh_address = f"127.0.0.1:{free_port()}"
        if case == "wrong key":
            mesh.handle_tunnels(failing(TunnelFailure.REFUSED))
        key = "another-key-of-a-mesh" if case == "wrong key" else KEY
        async with anyio.create_task_group() as tasks:
            if case != "no process":
                await tasks.start(mesh.listen, mesh_address)
            with pytest.raises(TunnelError) as caught:
                await make_mesh("entry", key).open_tunnel(mesh_address, "127.0.0.1:1")
            tasks.cancel_scope.cancel()
        return caught.value.failure

    assert anyio.run(main) is TunnelFailure.UNAVAILABLE


async def end_of_tunnel(end):
    """Open a tunnel to a process that ends it as `end` does; return what is received.

    `end` gets the connection and the scope of the process that listens.
    """
    received, listening = anyio.Event(), anyio.CancelScope()
    mesh = make_mesh("exit")
    mesh_address = f"127.0.0.1:{free_port()}"

    async def serve(connection, handler):
        await connection.recv()
        await connection.send(tunnels._encode(TunnelReply(None)))
        await connection.send(b"part")
        await received.wait()
        await end(connection, listening)

    async def listen(*, task_status=anyio.TASK_STATUS_IGNORED):
        with listening:
            await mesh.listen(mesh_address, task_status=task_status)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(mesh_module, "serve_tunnel", serve)
        async with anyio.create_task_group() as tasks:
            await tasks.start(listen)
            tunnel = await make_mesh("entry").open_tunnel(mesh_address, "u:1")
            assert await tunnel.receive() == b"part"
            received.set()
            with anyio.fail_after(10):
                result = await read_all(tunnel)
            tasks.cancel_scope.cancel()
            return result


def closing(*arguments):
    async def end(connection, scope):
        await connection.close(*arguments)

    return end


async def stop_process(connection, scope):
    scope.cancel()
    await anyio.sleep_forever()


async def return_early(connection, scope):
    pass


async def fail(connection, scope):
    raise KeyError("upstream")


async def drop_connection(connection, scope):
    connection.transport.abort()


ENDS = {
    "upstream has ended": (closing(1000, tunnels.END_REASON), "complete"),
    "normal closure": (closing(), "broken"),
    "other reason": (closing(1000, "bye"), "broken"),
    "going away": (closing(1001), "broken"),
    "going away, with the reason": (closing(1001, tunnels.END_REASON), "broken"),
    "internal error": (closing(1011), "broken"),
    "service restart": (closing(1012), "broken"),
    "private code": (closing(4000), "broken"),
    "process stops": (stop_process, "broken"),
    "handler returns": (return_early, "broken"),
    "handler fails": (fail, "broken"),
    "connection is lost": (drop_connection, "broken"),
}


# Guards against MIXED: a part of an answer without a length looked complete, since the
# process that it led through had stopped.
@pytest.mark.parametrize(("end", "expected"), ENDS.values(), ids=ENDS)
def test_only_the_end_of_the_upstream_ends_a_tunnel_in_good_order(end, expected):
    assert anyio.run(end_of_tunnel, end) == (b"", expected)


# Guards against an upstream whose loss is noticed first while a request is sent to it.
def test_loss_of_the_upstream_while_sending_breaks_the_tunnel():
    class LostUpstream(anyio.abc.ByteStream):
        async def send(self, item):
            raise anyio.BrokenResourceError

        async def receive(self, max_bytes=65536):
            await anyio.sleep_forever()

        async def send_eof(self):
            pass

        async def aclose(self):
            pass

    async def connect(address):
        return LostUpstream()

    async def main():
        mesh = make_mesh("exit")
        mesh.handle_tunnels(connect)
        mesh_address = f"127.0.0.1:{free_port()}"
        async with anyio.create_task_group() as tasks:
            await tasks.start(mesh.listen, mesh_address)
            tunnel = await make_mesh("entry").open_tunnel(mesh_address, "127.0.0.1:1")
            await tunnel.send(b"request")
            with anyio.fail_after(10):
                end = await read_all(tunnel)
            tasks.cancel_scope.cancel()
        return end

    assert anyio.run(main) == (b"", "broken")
