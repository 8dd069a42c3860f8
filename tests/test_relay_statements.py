"""Requests at a relay whose upstreams say that they leave, or want a pause."""

import anyio
import msgspec
import pytest

from cranberryfield.core.deployment import RouteKind
from tests.relay_harness import (
    RESPONSE_HEAD,
    RelayHarness,
    get_request,
    in_sequence,
    read_all,
    refuse,
    respond,
    send_all,
    send_raw,
    stream_events,
)

LEAVING = b"Leaving: 1\r\n"
IDEMPOTENT, ONCE, STREAM = (
    RouteKind.IDEMPOTENT,
    RouteKind.NON_IDEMPOTENT,
    RouteKind.STREAM,
)
REFUSED = {"kind": "no_upstream", "run": "no"}


def leave_with_broken_stream(request, stream):
    """Send the head of a stream, and an event of which the end is missing."""

    async def script():
        head = RESPONSE_HEAD % (200, request.header("id").encode()) + LEAVING
        await stream.send(head + b"Transfer-Encoding: chunked\r\n\r\n2\r\nid\r\n")
        return False

    return script()


# Answers that say that their upstream leaves.
NOTICES = [
    ("answer", IDEMPOTENT, respond(extra=LEAVING)),
    ("answer to a request that may run once", ONCE, respond(extra=LEAVING)),
    ("failure", ONCE, respond(500, extra=LEAVING)),
    ("refusal", ONCE, respond(503, b"", b"Not-Run: 1\r\n" + LEAVING)),
    ("stream that breaks off", STREAM, leave_with_broken_stream),
]


@pytest.mark.parametrize(
    ("kind", "script"), [row[1:] for row in NOTICES], ids=[row[0] for row in NOTICES]
)
def test_upstream_that_leaves_gets_no_further_request(kind, script):
    harness = RelayHarness([script], kind)
    bodies = send_all(harness, 3)
    assert len(harness.received_requests) == 1
    assert [msgspec.json.decode(one) for one in bodies[1:]] == [REFUSED] * 2
    assert all(delay_s > 0.0 for delay_s in harness.retry_delays_s[-2:])


def test_other_upstreams_take_the_requests():
    harness = RelayHarness([respond(body=b"left", extra=LEAVING), respond()])
    bodies = send_all(harness, 12)
    assert bodies.count(b"left") <= 1
    assert bodies.count(b"answer") >= 11


# The stream is resumed on another upstream; without one, its caller gets it broken.
def test_broken_stream_is_not_resumed_on_an_upstream_that_leaves():
    harness = RelayHarness(
        [leave_with_broken_stream, stream_events(1, 3)], STREAM, resumable=True
    )
    response = send_raw(harness, get_request())
    assert response.count(b"data: e") == 3
    assert len(harness.upstreams[0].requests) <= 1


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 X\r\nSigned: yes\r\nId: other\r\n",
        b"HTTP/1.1 421 X\r\nNot-Run: 1\r\nId: r1\r\n",
    ],
    ids=["another request", "another upstream"],
)
def test_answer_of_something_else_says_nothing_of_the_upstream(head):
    async def respond_before(request, stream):
        await stream.send(head + LEAVING + b"Content-Length: 0\r\n\r\n")
        return await respond()(request, stream)

    harness = RelayHarness([in_sequence(respond_before, respond())])
    send_all(harness, 1)
    assert harness.table.active_upstreams("drafts")


PAUSE = b"Pause: 60\r\n"
PAUSES = [
    ("not run", IDEMPOTENT, respond(503, b"", b"Not-Run: 1\r\n" + PAUSE)),
    ("not run, may run once", ONCE, respond(503, b"", b"Not-Run: 1\r\n" + PAUSE)),
    ("may have run", IDEMPOTENT, respond(503, b"", PAUSE)),
    ("may have run, may run once", ONCE, respond(503, b"", PAUSE)),
]


@pytest.mark.parametrize(
    ("kind", "script"), [row[1:] for row in PAUSES], ids=[row[0] for row in PAUSES]
)
def test_upstream_gets_nothing_while_it_wants_a_pause(kind, script):
    harness = RelayHarness([script], kind)
    bodies = send_all(harness, 3)
    assert len(harness.received_requests) == 1
    assert [msgspec.json.decode(one) for one in bodies[1:]] == [REFUSED] * 2
    # The time left, and a part that spreads the callers.
    assert all(59.0 < delay_s < 80.0 for delay_s in harness.retry_delays_s[-2:])


def test_upstream_is_asked_again_after_its_pause():
    short = respond(503, b"", b"Not-Run: 1\r\nPause: 0.05\r\n")
    harness = RelayHarness([in_sequence(short, respond())])
    bodies = []

    async def conversation(stream):
        while b"answer" not in bodies:
            async with await anyio.connect_tcp("127.0.0.1", harness.port) as caller:
                await caller.send(get_request())
                bodies.append((await read_all(caller)).partition(b"\r\n\r\n")[2])

    anyio.run(harness.run, conversation)
    assert len(harness.received_requests) == 2


def test_other_upstreams_take_what_one_refuses():
    paused = respond(503, b"", b"Not-Run: 1\r\n" + PAUSE)
    harness = RelayHarness([paused, respond()])
    assert send_all(harness, 12) == [b"answer"] * 12
    assert len(harness.upstreams[0].requests) <= 1


# Guards against an upstream that is taken for failing although it is only full.
def test_pause_is_no_failure():
    harness = RelayHarness([respond(503, b"", PAUSE)])
    send_all(harness, 1)
    load = harness.loads.load_of("u0")
    assert (load.consecutive_failures, load.failure_ratio) == (0, 0.0)


def test_refusal_without_a_time_is_no_pause():
    harness = RelayHarness([refuse()])
    send_all(harness, 2)
    assert len(harness.received_requests) == 2
