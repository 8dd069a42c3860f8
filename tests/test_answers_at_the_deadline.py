"""Answers that arrive at the moment of the deadline, while the event loop is busy."""

import os
import time

import anyio
import pytest
from anyio.abc import SocketAttribute

from cranberryfield.core.deployment import RouteKind
from tests.relay_harness import RESPONSE_HEAD, RelayHarness, send_raw

DEADLINE_S = 0.3
LENGTH = b"Content-Length: %d\r\n\r\n"
EVENTS = b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"


def at_the_deadline(rest):
    """Answer, and hold the loop until the deadline before the relay can read."""

    async def script(request, stream):
        deadline = time.monotonic() + DEADLINE_S
        await anyio.sleep(DEADLINE_S / 2)
        data = RESPONSE_HEAD % (200, request.header("id").encode()) + rest
        os.write(stream.extra(SocketAttribute.raw_socket).fileno(), data)
        while time.monotonic() < deadline + 0.05:
            pass
        return True

    return script


ANSWERS = {
    "idempotent": (RouteKind.IDEMPOTENT, LENGTH % 6 + b"answer"),
    "once": (RouteKind.NON_IDEMPOTENT, LENGTH % 6 + b"answer"),
    "stream": (RouteKind.STREAM, CHUNKED % (len(EVENTS), EVENTS)),
    "stream with a length": (RouteKind.STREAM, LENGTH % len(EVENTS) + EVENTS),
    "failure": (RouteKind.STREAM, LENGTH % 0),
}


# Guards against LOST: the head of an answer was made, the deadline passed before it was
# written, and the connection was closed without a byte.
@pytest.mark.parametrize(("kind", "rest"), ANSWERS.values(), ids=ANSWERS)
def test_a_connection_is_not_closed_without_an_answer(kind, rest):
    harness = RelayHarness([at_the_deadline(rest)], kind)
    sent = b"GET /x/ HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nTime: %.1f\r\n"
    raw = send_raw(harness, sent % DEADLINE_S + b"Connection: close\r\n\r\n")
    status = int(raw.split()[1])
    assert status in (200, 502, 504)
    # Events of a stream may be cut off by the deadline, visibly.
    if status == 200 and kind is not RouteKind.STREAM:
        assert raw.endswith(b"answer")
