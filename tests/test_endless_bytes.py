"""Upstreams that send bytes which are no answer, without end, until the relay closes.

Each case has a bound on the memory that the relay takes, and on the time until it
closes the connection: at once where the bytes cannot become an answer, else the
deadline of the request.
"""

import gc
import tracemalloc

import anyio
import msgspec
import pytest

from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.deployment import RouteKind
from cranberryfield.core.http1 import (
    BrokenExchangeError,
    ConnectionPool,
    RequestHead,
    fetch,
)
from standins.scripted_upstream import ScriptedUpstream
from tests.relay_harness import (
    RESPONSE_HEAD,
    RelayHarness,
    get_request,
    in_sequence,
    read_all,
    respond,
    send_raw,
)

IDEMPOTENT, ONCE, STREAM = (
    RouteKind.IDEMPOTENT,
    RouteKind.NON_IDEMPOTENT,
    RouteKind.STREAM,
)
#: Bound on the memory beyond that at the start, in bytes.
MAX_GROWTH_BYTES = 2 << 20
#: Bytes that an upstream sends at most if nobody closes; far above the bound.
MAX_SENT_BYTES = 64 << 20
PIECE = b"x" * 16_384
#: Deadline of a request in which the relay has to wait for it, in seconds.
SHORT_DEADLINE = b"Time: 1.0"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def endless(begin, piece):
    """Send `begin` with the id of the request, then `piece` until it is closed."""

    async def script(request, stream):
        await stream.send(begin.replace(b"%s", request.header("id").encode()))
        for _ in range(MAX_SENT_BYTES // len(piece)):
            await stream.send(piece)
        raise AssertionError("the connection was not closed")

    return script


HEAD = RESPONSE_HEAD.replace(b"%d", b"200")
CHUNK = b"4000\r\n" + PIECE + b"\r\n"
#: Bytes that cannot become an answer, after the head of the response if any.
NO_ANSWER = [
    ("status line", b"HTTP/1.1 200 ", PIECE),
    ("no protocol", b"", PIECE),
    ("header line", b"HTTP/1.1 200 X\r\nLong: ", PIECE),
    ("header lines", b"HTTP/1.1 200 X\r\n", b"Header: value\r\n" * 1_000),
    ("informational answers", b"", b"HTTP/1.1 102 X\r\n\r\n" * 1_000),
    ("chunk size", HEAD + CHUNKED, b"0" * 16_384),
    ("chunk extension", HEAD + CHUNKED + b"4;", PIECE),
    ("trailer line", HEAD + CHUNKED + b"0\r\nLong: ", PIECE),
    ("trailer lines", HEAD + CHUNKED + b"0\r\n", b"Header: value\r\n" * 1_000),
    (
        "body of a refusal",
        HEAD.replace(b"200", b"503") + b"Not-Run: 1\r\n" + CHUNKED,
        CHUNK,
    ),
    ("body of a failure", HEAD.replace(b"200", b"500") + CHUNKED, CHUNK),
    (
        "answer to another request",
        b"HTTP/1.1 200 X\r\nSigned: 1\r\nId: other\r\n" + CHUNKED,
        CHUNK,
    ),
]
#: What a caller may be told, by the kind of its request.
TOLD = {
    IDEMPOTENT: {"kind": "upstream_failed", "run": "unknown"},
    ONCE: {"kind": "upstream_failed", "run": "unknown"},
    STREAM: {"kind": "upstream_failed", "run": "unknown"},
}


def grown_bytes(run):
    """Return the peak of the memory that `run` takes beyond that at its start."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        run()
        return tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()


def body_of(response):
    return response.partition(b"\r\n\r\n")[2]


def call(harness, *lines):
    """Send one request; return the response, with a bound on the memory."""
    responses = []

    def run():
        responses.append(send_raw(harness, get_request(*lines)))

    assert grown_bytes(run) < MAX_GROWTH_BYTES
    return responses[0]


@pytest.mark.parametrize("kind", [IDEMPOTENT, ONCE, STREAM])
@pytest.mark.parametrize(
    ("begin", "piece"),
    [row[1:] for row in NO_ANSWER],
    ids=[row[0] for row in NO_ANSWER],
)
def test_bytes_that_are_no_answer_end_the_attempt_at_once(kind, begin, piece):
    harness = RelayHarness([endless(begin, piece)], kind, max_attempts=1)
    response = call(harness)
    told = msgspec.json.decode(body_of(response))
    if b"503" in begin:
        assert told == {"kind": "no_upstream", "run": "no"}
    else:
        assert told == TOLD[kind]
    assert harness.upstreams[0].closed_connections == 1
    assert len(harness.received_requests) == 1


@pytest.mark.parametrize("kind", [IDEMPOTENT, STREAM])
@pytest.mark.parametrize(
    ("begin", "piece"),
    [row[1:] for row in NO_ANSWER],
    ids=[row[0] for row in NO_ANSWER],
)
def test_a_request_that_may_run_again_is_answered_by_another_upstream(
    kind, begin, piece
):
    scripts = [endless(begin, piece), respond(404, b"answer")]
    for first in (scripts, scripts[::-1]):
        harness = RelayHarness(first, kind, resumable=True)
        assert body_of(call(harness)) == b"answer"


def test_body_without_end_is_forwarded_until_the_deadline():
    harness = RelayHarness([endless(HEAD + CHUNKED, CHUNK)], IDEMPOTENT)
    received = 0

    async def conversation(stream):
        nonlocal received
        await stream.send(get_request(SHORT_DEADLINE))
        while True:
            try:
                data = await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            received += len(data)
            assert not data.endswith(b"\r\n0\r\n\r\n")
            # A caller that reads slowly slows the upstream down.
            await anyio.sleep(0.01)

    assert grown_bytes(lambda: anyio.run(harness.run, conversation)) < MAX_GROWTH_BYTES
    assert received > 0
    # It is not sent again, since the caller has got a part of it.
    assert len(harness.received_requests) == 1
    assert harness.upstreams[0].closed_connections == 1


@pytest.mark.parametrize("resumable", [False, True])
def test_event_without_end_ends_the_attempt(resumable):
    script = endless(HEAD + CHUNKED, CHUNK)
    harness = RelayHarness([script], STREAM, resumable=resumable, max_attempts=1)
    assert msgspec.json.decode(body_of(call(harness))) == TOLD[STREAM]
    assert harness.upstreams[0].closed_connections == 1


def test_bytes_after_a_whole_answer_do_not_reach_the_next_caller():
    surplus = RESPONSE_HEAD.replace(b"%d", b"200") + b"Content-Length: 2\r\n\r\nok"
    scripts = in_sequence(endless(surplus, PIECE), respond())
    harness = RelayHarness([scripts], IDEMPOTENT)
    bodies = []

    async def conversation(stream):
        for _ in range(3):
            async with await anyio.connect_tcp("127.0.0.1", harness.port) as caller:
                await caller.send(get_request())
                bodies.append(body_of(await read_all(caller)))

    assert grown_bytes(lambda: anyio.run(harness.run, conversation)) < MAX_GROWTH_BYTES
    assert bodies == [b"ok", b"answer", b"answer"]
    assert harness.upstreams[0].closed_connections == 1


@pytest.mark.parametrize("size", [1_000, 400_000, 3_000_000])
@pytest.mark.parametrize("kind", [IDEMPOTENT, ONCE])
def test_slow_large_answer_is_delivered(kind, size):
    body = b"ab" * (size // 2)

    async def script(request, stream):
        head = HEAD.replace(b"%s", request.header("id").encode())
        head += b"Large: " + b"h" * 40_000 + b"\r\n"
        await stream.send(head + b"Content-Length: %d\r\n\r\n" % size)
        for part in range(5):
            await anyio.sleep(0.02)
            await stream.send(body[part * size // 5 : (part + 1) * size // 5])
        return True

    harness = RelayHarness([script], kind)
    response = send_raw(harness, get_request())
    if size > 1_000_000:
        assert response.endswith(b"\r\n0\r\n\r\n")
        assert response.count(b"ab") >= size // 2 - 1_000
    else:
        assert body_of(response) == body
    assert len(harness.received_requests) == 1


def test_slow_large_event_is_delivered():
    event = b"id: 1\ndata: " + b"e" * 400_000 + b"\n\n"

    async def script(request, stream):
        await stream.send(HEAD.replace(b"%s", request.header("id").encode()) + CHUNKED)
        for start in range(0, len(event), 50_000):
            await anyio.sleep(0.02)
            part = event[start : start + 50_000]
            await stream.send(b"%x\r\n" % len(part) + part + b"\r\n")
        await stream.send(b"0\r\n\r\n")
        return True

    harness = RelayHarness([script], STREAM, resumable=True)
    assert send_raw(harness, get_request()).count(b"e") >= 400_000
    assert len(harness.received_requests) == 1


# Guards against a stream that sends a byte now and then and never a whole event.
def test_stalled_stream_that_sends_bytes_is_resumed_elsewhere(monkeypatch):
    monkeypatch.setattr(
        "cranberryfield.entry.relay.attempts.STREAM_STALL_TIMEOUT_S", 0.3
    )

    async def trickle(request, stream):
        await stream.send(HEAD.replace(b"%s", request.header("id").encode()) + CHUNKED)
        while True:
            await stream.send(b"1\r\nx\r\n")
            await anyio.sleep(0.02)

    async def whole(request, stream):
        head = HEAD.replace(b"%s", request.header("id").encode())
        body = b"id: 1\ndata: e1\n\n"
        await stream.send(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        return True

    for scripts in ([trickle, whole], [whole, trickle]):
        harness = RelayHarness(scripts, STREAM, resumable=True)
        assert b"data: e1" in send_raw(harness, get_request())


@pytest.mark.parametrize(
    ("begin", "piece"),
    [row[1:] for row in NO_ANSWER if not row[0].startswith("answer to")],
    ids=[row[0] for row in NO_ANSWER if not row[0].startswith("answer to")],
)
def test_calls_read_no_endless_response(begin, piece):
    upstream = ScriptedUpstream(endless(begin, piece))

    async def run():
        async with anyio.create_task_group() as tasks:
            await tasks.start(upstream.run)
            head = RequestHead(b"POST", b"/", [(b"Host", b"h"), (b"Id", b"c")])
            pool = ConnectionPool(monotonic_clock)
            with pytest.raises(BrokenExchangeError):
                await fetch(pool, upstream.address, head, b"", 30.0)
            while not upstream.closed_connections:
                await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    assert grown_bytes(lambda: anyio.run(run)) < MAX_GROWTH_BYTES
