"""Bounds on what all connections of a server hold, over real sockets on loopback."""

import tracemalloc

import anyio
import pytest

from cranberryfield.core.admission import ByteBudget, ConnectionTable, ShedReason
from cranberryfield.core.http1 import ServerState, serve_http
from cranberryfield.core.http1.client import UpstreamConnection
from cranberryfield.core.http1.message import RequestHead
from standins.processes import free_port

BODY_BYTES = 100_000
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
WHOLE = HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b"b" * BODY_BYTES
#: All but the last byte.
UNFINISHED = WHOLE[:-1]
SMALL = HEAD + b"Content-Length: 0\r\n\r\n"


def run(conversation, *, held_bytes=150_000, connections=10, handler=None):
    """Run a conversation with a server; return its result and what was shed."""
    shed = []
    state = ServerState(
        budget=ByteBudget(held_bytes),
        table=ConnectionTable(connections),
        on_shed=shed.append,
    )

    async def answer(exchange):
        await exchange.respond(200, [], b"%d" % len(exchange.body))

    async def main():
        address = ("127.0.0.1", free_port())
        async with anyio.create_task_group() as tasks:
            await tasks.start(serve_http, address, handler or answer, state)
            with anyio.fail_after(20):
                result = await conversation(lambda: anyio.connect_tcp(*address))
            tasks.cancel_scope.cancel()
        return result

    result = anyio.run(main)
    assert state.budget.held_bytes == 0
    assert state.table.open_count == 0
    return result, shed


async def read_head(stream):
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    return data.partition(b"\r\n\r\n")[0]


def status_of(head):
    return int(head.split()[1])


# Guards against a refusal of a request that is within the limits, and alone.
def test_a_request_that_is_alone_is_served_beyond_the_budget():
    async def conversation(connect):
        async with await connect() as stream:
            await stream.send(WHOLE)
            return status_of(await read_head(stream))

    assert run(conversation, held_bytes=1_000) == (200, [])


def test_the_largest_unfinished_request_makes_room():
    async def conversation(connect):
        async with await connect() as slow, await connect() as other:
            await slow.send(UNFINISHED)
            await anyio.sleep(0.1)
            await other.send(WHOLE[: len(HEAD) + 50_000])
            await anyio.sleep(0.1)
            refused = await read_head(slow)
            await other.send(WHOLE[len(HEAD) + 50_000 :])
            return status_of(refused), refused, status_of(await read_head(other))

    (refused, head, served), shed = run(conversation, held_bytes=130_000)
    assert (refused, served) == (503, 200)
    assert b"Retry-After: 1" in head
    assert shed == [ShedReason.REQUEST_REFUSED]


def test_a_request_that_is_handled_is_not_given_up():
    released = anyio.Event()

    async def answer_later(exchange):
        if exchange.body:
            await released.wait()
        await exchange.respond(200, [], b"%d" % len(exchange.body))

    async def conversation(connect):
        async with await connect() as first, await connect() as second:
            await first.send(WHOLE)
            await anyio.sleep(0.1)
            await second.send(WHOLE)
            refused = await read_head(second)
            async with await connect() as small:
                await small.send(SMALL)
                served = status_of(await read_head(small))
            released.set()
            return status_of(refused), served, status_of(await read_head(first))

    result, shed = run(conversation, handler=answer_later)
    assert result == (503, 200, 200)
    assert shed == [ShedReason.REQUEST_REFUSED]


def test_a_caller_that_does_not_read_makes_room():
    async def answer_large(exchange):
        size = 4 << 20 if exchange.body == b"" else 1
        await exchange.respond(200, [], b"a" * size)

    async def conversation(connect):
        async with await connect() as silent, await connect() as other:
            await silent.send(SMALL)
            await anyio.sleep(0.2)
            await other.send(WHOLE)
            return status_of(await read_head(other))

    result, shed = run(conversation, held_bytes=1 << 20, handler=answer_large)
    assert result == 200
    assert shed == [ShedReason.RESPONSE_DROPPED]


def test_a_new_connection_takes_the_place_of_the_one_that_waits_for_longest():
    async def conversation(connect):
        idle = [await connect() for _ in range(3)]
        await anyio.sleep(0.1)
        async with await connect() as stream:
            await stream.send(SMALL)
            status = status_of(await read_head(stream))
            with pytest.raises(anyio.EndOfStream):
                await idle[0].receive()
            for one in idle:
                await one.aclose()
        return status

    result, shed = run(conversation, connections=3)
    assert result == 200
    assert shed == [ShedReason.CONNECTION_CLOSED]


def test_a_connection_is_refused_if_all_others_are_served():
    released = anyio.Event()

    async def answer_later(exchange):
        await released.wait()
        await exchange.respond(200, [], b"")

    async def conversation(connect):
        async with await connect() as first:
            await first.send(SMALL)
            await anyio.sleep(0.1)
            async with await connect() as second:
                refused = await read_head(second)
            released.set()
            return status_of(refused), refused, status_of(await read_head(first))

    (refused, head, served), shed = run(
        conversation, connections=1, handler=answer_later
    )
    assert (refused, served) == (503, 200)
    assert b"Retry-After: 1" in head and b"Connection: close" in head
    assert shed == [ShedReason.CONNECTION_REFUSED]


# Guards against lists of small parts, which take many times the bytes of a body.
def test_a_body_in_small_chunks_takes_about_its_size():
    chunks = b"2\r\nbb\r\n" * 100_000 + b"0\r\n\r\n"
    peaks = []

    async def measure(exchange):
        peaks.append(tracemalloc.get_traced_memory()[1])
        await exchange.respond(200, [], b"%d" % len(exchange.body))

    async def conversation(connect):
        async with await connect() as stream:
            await stream.send(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks)
            return status_of(await read_head(stream))

    tracemalloc.start()
    try:
        result, _ = run(conversation, held_bytes=1 << 20, handler=measure)
    finally:
        tracemalloc.stop()
    assert result == 200
    # The chunks are sent from this process, which keeps them meanwhile.
    assert peaks[0] < 3 * len(chunks)


# Guards against ids as long as a head, of which each connection remembers many.
@pytest.mark.parametrize("request_id", ["short", "i" * 16_000])
def test_ids_are_remembered_in_little_room(request_id):
    class SilentStream:
        async def send(self, data):
            pass

    connection = UpstreamConnection(SilentStream())
    head = RequestHead(b"GET", b"/", [(b"Host", b"h")])
    anyio.run(connection.send, head, b"", request_id)
    assert connection.has_carried(request_id)
    assert not connection.has_carried(request_id + "1")
    assert all(len(one) <= 64 for one in connection._carried_ids)
