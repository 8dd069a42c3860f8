"""Data of a stream that arrives at the same moment as its timeout."""

from types import SimpleNamespace

import anyio
import pytest

from cranberryfield.core.http1 import ResponseHead, ResponseTimeoutError
from cranberryfield.entry.relay.attempt_results import StreamProgress
from cranberryfield.entry.relay.attempts import _forward_events

EVENTS = b"id: 1\ndata: a\n\n"


# Guards against an event that counts as sent and is lost, so that the stream goes on
# after it on another upstream.
@pytest.mark.parametrize(
    ("timeout_at", "sent", "last_id"), [(1, b"", None), (2, EVENTS, "1")]
)
def test_data_that_comes_with_the_timeout_does_not_count_as_sent(
    timeout_at, sent, last_id
):
    received = bytearray()
    reads = 0

    async def send_head(head):
        await anyio.lowlevel.checkpoint()

    async def send_events(data):
        await anyio.lowlevel.checkpoint()
        received.extend(data)

    async def converse():
        with anyio.CancelScope() as scope:

            async def read_part():
                nonlocal reads
                reads += 1
                if reads == timeout_at:
                    scope.cancel()
                return EVENTS.replace(b"1", b"%d" % reads)

            exchange = SimpleNamespace(
                connection=SimpleNamespace(read_part=read_part),
                head=ResponseHead(200, []),
            )
            request = SimpleNamespace(route=SimpleNamespace(resumable=True))
            await _forward_events(
                request, exchange, progress, lambda: None, lambda: 0.0, scope
            )

    progress = StreamProgress(send_head, send_events)
    with pytest.raises(ResponseTimeoutError):
        anyio.run(converse)
    assert (bytes(received), progress.last_event_id) == (sent, last_id)
