"""Result of a service call for each behaviour of the upstream's connection.

A request counts as not run only if it was never written or was refused with 429
or 503; otherwise a retry could run it twice.
"""

import anyio
import pytest

from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.settings import EffectiveSettings, ServiceKind
from cranberryfield.entry.dispatch import Dispatcher
from cranberryfield.entry.membership import KnownUpstream
from cranberryfield.entry.requests import Request, RequestRecord
from cranberryfield.entry.requests.retry_policy import AttemptResult

FINISHED, NOT_RUN, BROKEN = (
    AttemptResult.FINISHED,
    AttemptResult.NOT_RUN,
    AttemptResult.BROKEN,
)
SETTINGS = EffectiveSettings(kind=ServiceKind.PLAIN, max_answer_bytes=100)
BIG_BODY = b"x" * (8 << 20)

# Id, bytes that the upstream reads before it responds (None if it does not listen),
# its response, the request body, and the expected result.
UPSTREAM_BEHAVIOURS = [
    ("refused: nobody listens", None, b"", b"a", NOT_RUN),
    ("closed at once", 0, b"", b"a", BROKEN),
    ("closed at once under a large body", 0, b"", BIG_BODY, BROKEN),
    ("closed while the body is written", 70_000, b"", BIG_BODY, BROKEN),
    ("closed after the request", 10, b"", b"a", BROKEN),
    (
        "refused before start: 503",
        10,
        b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n",
        b"a",
        NOT_RUN,
    ),
    (
        "refused before start: 429",
        10,
        b"HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n",
        b"a",
        NOT_RUN,
    ),
    ("no HTTP", 10, b"nonsense\r\n\r\n", b"a", BROKEN),
    (
        "half an answer",
        10,
        b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf",
        b"a",
        BROKEN,
    ),
    (
        "answer over the limit",
        10,
        b"HTTP/1.1 200 x\r\nContent-Length: 101\r\n\r\n" + b"y" * 101,
        b"a",
        BROKEN,
    ),
    (
        "whole answer",
        10,
        b"HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok",
        b"a",
        FINISHED,
    ),
    (
        "the service's own error",
        10,
        b"HTTP/1.1 500 x\r\nContent-Length: 2\r\n\r\nno",
        b"a",
        FINISHED,
    ),
]


@pytest.mark.parametrize(
    ("read_bytes", "response", "body", "expected"),
    [row[1:] for row in UPSTREAM_BEHAVIOURS],
    ids=[row[0] for row in UPSTREAM_BEHAVIOURS],
)
def test_call_result_by_upstream_behaviour(read_bytes, response, body, expected):
    async def serve_upstream(stream):
        async with stream:
            seen = 0
            while seen < read_bytes:
                seen += len(await stream.receive())
            if response:
                await stream.send(response)

    async def run_call():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        dispatcher = Dispatcher.from_clock(monotonic_clock)
        async with anyio.create_task_group() as tasks:
            if read_bytes is None:
                await listener.aclose()
            else:
                tasks.start_soon(listener.serve, serve_upstream)
            end = await call(dispatcher, port, body)
            tasks.cancel_scope.cancel()
        await dispatcher.close()
        assert end.result is expected, end

    anyio.run(run_call)


async def call(dispatcher, port, body):
    request = Request(
        "w", "s", "k", True, "run", False, "POST", "/", "text/plain",
        body, b"digest", "standard", monotonic_clock() + 30, SETTINGS,
    )  # fmt: skip
    upstream = UpstreamRecord(
        "app-1", 1, 1, "s", "fann", f"127.0.0.1:{port}", "m", (), 9, 1000
    )
    end, _ = await dispatcher.call_service(
        RequestRecord(request), KnownUpstream(upstream, 0.0)
    )
    return end
