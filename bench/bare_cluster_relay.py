"""A relay of calls on h11 and anyio: ``python -m bench.bare_cluster_relay``.

It decides, checks and records nothing; what it costs is what the libraries cost.
"""

from collections.abc import AsyncIterator

import anyio
import h11
from anyio.abc import SocketStream
from cyclopts import App

__all__ = ["main"]

RECEIVE_BYTES = 65536

app = App(name="bench.bare_cluster_relay")


@app.default
def main(port: int, target_port: int) -> None:
    """Relay calls on a port of 127.0.0.1 to another one until ended.

    Parameters
    ----------
    port : int
        Port to listen on.
    target_port : int
        Port of the upstream.
    """
    anyio.run(_serve, port, target_port)


async def _serve(port: int, target_port: int) -> None:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)

    async def relay(caller: SocketStream) -> None:
        async with caller, await anyio.connect_tcp("127.0.0.1", target_port) as runner:
            await _relay(caller, runner)

    await listener.serve(relay)


async def _relay(caller: SocketStream, runner: SocketStream) -> None:
    inbound, outbound = h11.Connection(h11.SERVER), h11.Connection(h11.CLIENT)
    while True:
        async for event in _events(caller, inbound):
            await runner.send(outbound.send(event) or b"")
        if inbound.their_state is not h11.DONE:
            return
        async for event in _events(runner, outbound):
            await caller.send(inbound.send(event) or b"")
        if outbound.their_state is not h11.DONE or inbound.our_state is not h11.DONE:
            return
        inbound.start_next_cycle()
        outbound.start_next_cycle()


async def _events(
    stream: SocketStream, state: h11.Connection
) -> AsyncIterator[h11.Event]:
    """Yield the events of one message, its end included."""
    while True:
        event = state.next_event()
        if event is h11.NEED_DATA:
            try:
                state.receive_data(await stream.receive(RECEIVE_BYTES))
            except anyio.EndOfStream:
                state.receive_data(b"")
            continue
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            return
        yield event
        if isinstance(event, h11.EndOfMessage):
            return


if __name__ == "__main__":
    app()
