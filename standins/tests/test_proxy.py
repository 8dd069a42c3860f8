"""Races between cutting a link and opening a connection through it."""

import anyio
import pytest

from standins import proxy as proxy_module
from standins.processes import free_port
from standins.proxy import FaultProxy


class Target:
    """A server that records the data that it receives."""

    def __init__(self):
        self.port = free_port()
        self.received = b""

    async def run(self, *, task_status):
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        async with listener:
            task_status.started()
            await listener.serve(self._receive_all)

    async def _receive_all(self, stream):
        async with stream:
            try:
                async for data in stream:
                    self.received += data
            except anyio.BrokenResourceError:
                return


@pytest.mark.parametrize("cut_while_dialling", [False, True])
def test_no_connection_outlives_a_cut(monkeypatch, cut_while_dialling):
    connect_tcp = anyio.connect_tcp

    async def scenario():
        target = Target()
        dialling, may_connect = anyio.Event(), anyio.Event()

        async def slow_connect(host, port):
            dialling.set()
            await may_connect.wait()
            return await connect_tcp(host, port)

        monkeypatch.setattr(proxy_module.anyio, "connect_tcp", slow_connect)
        link = FaultProxy(free_port(), target.port)
        async with anyio.create_task_group() as tasks:
            await tasks.start(target.run)
            await tasks.start(link.run)
            client = await connect_tcp("127.0.0.1", link.port)
            await dialling.wait()
            if not cut_while_dialling:
                may_connect.set()
                await client.send(b"before")
                while target.received != b"before":
                    await anyio.sleep(0)
            await link.stop_listening()
            await link.close_open_connections()
            may_connect.set()
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await client.receive()
            tasks.cancel_scope.cancel()

    async def bounded():
        with anyio.fail_after(30):
            await scenario()

    anyio.run(bounded)
