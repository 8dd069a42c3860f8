"""What the next upstream answers when a stream has broken off, at a single relay."""

import re

import pytest

from cranberryfield.core.deployment import RouteKind
from tests.relay_harness import (
    RESPONSE_HEAD,
    RelayHarness,
    get_request,
    in_sequence,
    refuse,
    send_raw,
    stream_events,
)

EVENTS = 9
FIRST = 4
STREAM = b"Content-Type: text/event-stream\r\n"
TEXT = b"Content-Type: text/plain\r\n"
#: Text of a failure, which looks like events.
TEXT_BODY = b"id: 5\ndata: failed\n\nid: 9\ndata: more\n\n"
EVENT = re.compile(rb"id: (\d+)\ndata: e\1\n\n")


def answer(status, extra=b"", body=TEXT_BODY, framing="length"):
    """Send a whole response, framed by a length, in chunks, or by its connection."""

    async def script(request, stream):
        head = RESPONSE_HEAD % (status, request.header("id").encode()) + extra
        match framing:
            case "length":
                head += b"Content-Length: %d\r\n\r\n" % len(body)
                await stream.send(head + body)
            case "chunks":
                head += b"Transfer-Encoding: chunked\r\n\r\n"
                await stream.send(head + b"%x\r\n" % len(body) + body + b"\r\n")
                await stream.send(b"0\r\n\r\n")
            case "none":
                await stream.send(head + b"\r\n" + body)
                await stream.send_eof()
        return True

    return script


def events_from(first, last=EVENTS, extra=STREAM, framing="chunks"):
    """Answer with a whole run that begins at another event than the next one."""
    events = (b"id: %d\ndata: e%d\n\n" % (one, one) for one in range(first, last + 1))
    return answer(200, extra, b"".join(events), framing)


async def unsigned(request, stream):
    events = b"id: 5\ndata: e5\n\n"
    head = b"HTTP/1.1 200 OK\r\nId: r1\r\n" + STREAM
    await stream.send(head + b"Content-Length: %d\r\n\r\n" % len(events) + events)
    return True


HEAD_WITHIN = (
    b"id: 5\ndata: e5\n\nid: 6\ndaHTTP/1.1 500 X\r\nContent-Length: 8\r\n\r\nfailed\n\n"
)
#: Answers that do not go on with a stream of which the caller has `FIRST` events.
FOREIGN = {
    **{
        f"failure {status}, {framing}": answer(status, STREAM, framing=framing)
        for status in (500, 502, 404, 429)
        for framing in ("length", "chunks", "none")
    },
    "failure that is large": answer(500, STREAM, b"x" * (1 << 20)),
    "refusal": refuse(),
    "redirect": answer(302),
    "text with a length": answer(200, TEXT),
    "text in chunks": answer(200, TEXT, framing="chunks"),
    "text without a length": answer(200, TEXT, framing="none"),
    "events with a length, from the beginning": events_from(1, framing="length"),
    "run from the beginning": events_from(1),
    "run from the last event": events_from(FIRST),
    "run after a gap": events_from(FIRST + 2),
    "event without an id": answer(200, STREAM, b"data: e5\n\n", "chunks"),
    "compressed": events_from(5, extra=STREAM + b"Content-Encoding: gzip\r\n"),
    "unsigned": unsigned,
}
#: The same in which the beginning of the answer does go on.
LATE = {"head of a failure within": answer(200, STREAM, HEAD_WITHIN, "none")}


def relay(second, **route):
    """Return a relay with three upstreams.

    The one that is tried first breaks a stream off after `FIRST` events, the third
    one is sound.
    """
    first = with_type(stream_events(1, FIRST, ends=False))
    script = in_sequence(first, second, with_type(stream_events(1, EVENTS)))
    return RelayHarness([script] * 3, RouteKind.STREAM, resumable=True, **route)


def with_type(script):
    """Add the media type of event streams to the head of a scripted response."""

    async def typed(request, stream):
        return await script(request, TypedStream(stream))

    return typed


class TypedStream:
    def __init__(self, stream):
        self._stream = stream

    async def send(self, data):
        head = b"Transfer-Encoding: chunked\r\n\r\n"
        await self._stream.send(data.replace(head, STREAM + head))


def body_of(raw):
    """Return the body of a response in chunks, and whether it has its end."""
    head, _, rest = raw.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if not int(size, 16):
            return body, True
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return body, False


def numbers_of(body):
    """Return the numbers of the events; fail if there is anything else."""
    assert EVENT.sub(b"", body) == b"", body
    return [int(match[1]) for match in EVENT.finditer(body)]


# Guards against ORDER and MIXED: the text of a failure, or a run from another event,
# came as the rest of a stream, which then ended as if it were complete.
@pytest.mark.parametrize(
    "second", {**FOREIGN, **LATE}.values(), ids={**FOREIGN, **LATE}
)
def test_no_other_answer_enters_a_stream_that_has_begun(second):
    harness = relay(second, max_attempts=2)
    body, is_whole = body_of(send_raw(harness, get_request()))
    numbers = numbers_of(body)
    assert numbers == list(range(1, len(numbers) + 1))
    assert len(numbers) >= FIRST
    assert is_whole == (numbers[-1] == EVENTS)
    # A refusal does not count as an attempt.
    assert len(harness.received_requests) == (3 if is_whole else 2)


@pytest.mark.parametrize("second", FOREIGN.values(), ids=FOREIGN)
def test_the_stream_goes_on_at_the_next_upstream(second):
    harness = relay(second, max_attempts=3)
    body, is_whole = body_of(send_raw(harness, get_request()))
    assert (numbers_of(body), is_whole) == (list(range(1, EVENTS + 1)), True)
    requests = harness.received_requests
    after = sorted(one.header("after") or "" for one in requests)
    assert after == ["", str(FIRST), str(FIRST)]


# A caller that takes a stream up with the events that it has received elsewhere.
TAKEN_UP = {
    "failure": (answer(500, STREAM), 500),
    "failure for good": (answer(404, STREAM), 404),
    "text": (answer(200, TEXT), 502),
    "run from the beginning": (events_from(1), 502),
    "run from the last event": (events_from(FIRST), 502),
    "event without an id": (answer(200, STREAM, b"data: e5\n\n", "chunks"), 502),
    "the rest": (events_from(FIRST + 1), 200),
    "the rest with a length": (events_from(FIRST + 1, framing="length"), 200),
    "the rest without a length": (events_from(FIRST + 1, framing="none"), 200),
}


@pytest.mark.parametrize(("script", "status"), TAKEN_UP.values(), ids=TAKEN_UP)
def test_a_stream_that_is_taken_up_gets_its_rest_or_a_failure(script, status):
    harness = RelayHarness([script], RouteKind.STREAM, resumable=True, max_attempts=1)
    raw = send_raw(harness, get_request(b"Last: %d" % FIRST))
    assert int(raw.split()[1]) == status
    if status == 200:
        body, is_whole = body_of(raw)
        assert numbers_of(body) == list(range(FIRST + 1, EVENTS + 1))
        assert is_whole


# Ids need not be numbers in turn. The second upstream goes on after the last one.
@pytest.mark.parametrize(
    "ids",
    [["7", "14", "21", "28"], ["2", "3", "5", "8"], ["a", "b", "c", "d"], ["1"] * 4],
    ids=["steps", "growing", "names", "repeated"],
)
def test_streams_with_other_ids_go_on(ids):
    first, rest = ids[:2], ids[2:]

    def blocks(some):
        return b"".join(b"id: %s\ndata: e\n\n" % one.encode() for one in some)

    broken = answer(200, STREAM, blocks(first) + b"id: x", "chunks")
    script = in_sequence(broken, answer(200, STREAM, blocks(rest), "chunks"))
    harness = RelayHarness([script] * 2, RouteKind.STREAM, resumable=True)
    body, is_whole = body_of(send_raw(harness, get_request()))
    # A run that repeats the last id does not go on.
    goes_on = len(set(ids)) > 1
    assert body == blocks(ids if goes_on else first)
    assert is_whole == goes_on


# Guards against events that are added to a failure that is passed on as it arrives.
def test_a_large_failure_that_breaks_off_is_not_continued():
    async def broken(request, stream):
        head = RESPONSE_HEAD % (404, request.header("id").encode())
        await stream.send(head + b"Content-Length: 2000000\r\n\r\n" + b"x" * 1_000_000)
        return False

    script = in_sequence(broken, stream_events(1, EVENTS))
    harness = RelayHarness([script] * 2, RouteKind.STREAM, resumable=True)
    raw = send_raw(harness, get_request())
    assert raw.startswith(b"HTTP/1.1 404")
    assert b"id: 1" not in raw
