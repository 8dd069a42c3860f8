"""Sends a request to one upstream and reads or streams its response."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

import anyio

from cranberryfield.core.clock import Clock
from cranberryfield.core.http1 import (
    BrokenExchangeError,
    ConnectionPool,
    NotSentError,
    RequestHead,
    Response,
    ResponseHead,
    UpstreamConnection,
)
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.events import EventCutter
from cranberryfield.entry.relay.request import (
    AnswerFacts,
    RelayRequest,
    UpstreamDialect,
)

__all__ = [
    "AttemptEnd",
    "AttemptResult",
    "StreamProgress",
    "Upstreams",
    "call_upstream",
    "stream_upstream",
]

MS_PER_S = 1000
MAX_ANSWER_BYTES = 64 << 20
#: Responses to earlier requests that are skipped on one connection.
MAX_FOREIGN_RESPONSES = 2
#: Time without data after which a resumable stream is resumed on another
#: upstream, in seconds.
STREAM_SILENCE_S = 2.0
#: Fraction of the time left after which a reused connection that has returned no
#: response head is considered dead. Applies to idempotent requests only.
UNANSWERED_PART = 0.45
SUCCESS = range(200, 300)
#: Statuses from which a caller concludes that its request was not run.
PROMISES = frozenset({408, 421, 429, 503})


class AttemptEnd(Enum):
    """How an attempt ended."""

    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    MISDIRECTED = "misdirected"
    ANSWERED = "answered"
    STREAMED = "streamed"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of one attempt.

    Attributes
    ----------
    end : AttemptEnd
        How the attempt ended.
    detail : str
        Explanation for the log.
    response : Response or None
        The complete response, if the attempt ended as ``ANSWERED``.
    facts : AnswerFacts or None
        Metadata from the response headers.
    """

    end: AttemptEnd
    detail: str = ""
    response: Response | None = None
    facts: AnswerFacts | None = None


@dataclass(slots=True)
class StreamProgress:
    """Part of a streamed response that has been sent to the caller.

    Attributes
    ----------
    send_head : callable
        Sends the response head; called once, before the first event.
    send_events : callable
        Sends complete events.
    has_started : bool
        Whether the head was sent.
    last_id : str or None
        Id of the last event sent.
    events : int
        Events sent.
    last_sent_at : float or None
        Monotonic time in seconds at which events were last sent.
    longest_pause_s : float
        Longest time between two sends, in seconds.
    """

    send_head: Callable[[ResponseHead], Awaitable[None]]
    send_events: Callable[[bytes], Awaitable[None]]
    has_started: bool = False
    last_id: str | None = None
    events: int = 0
    last_sent_at: float | None = None
    longest_pause_s: float = 0.0

    def note_sent(self, count: int, now: float) -> None:
        """Count sent events and update the longest pause."""
        self.events += count
        if self.last_sent_at is not None:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_sent_at)
        self.last_sent_at = now


@dataclass(frozen=True, slots=True)
class Upstreams:
    """Transport that attempts use to reach upstreams.

    Attributes
    ----------
    pool : ConnectionPool
        Connections to upstreams.
    dialect : UpstreamDialect
        Encodes request headers and decodes response headers.
    clock : Clock
        Monotonic time.
    """

    pool: ConnectionPool
    dialect: UpstreamDialect
    clock: Clock


@dataclass(slots=True)
class _Opened:
    """An exchange whose response head has been read but not its body."""

    connection: UpstreamConnection
    head: ResponseHead
    facts: AnswerFacts
    in_use: bool = field(default=True)


async def _open_exchange(
    upstreams: Upstreams,
    request: RelayRequest,
    record: UpstreamRecord,
    last_event: str | None,
) -> _Opened:
    connection = await upstreams.pool.acquire(record.address)
    try:
        left_ms = int((request.deadline - upstreams.clock()) * MS_PER_S)
        headers = upstreams.dialect.encode(request, record, max(1, left_ms), last_event)
        head = RequestHead(request.head.method, request.head.target, headers)
        await connection.send(head, request.body)
        for _ in range(MAX_FOREIGN_RESPONSES + 1):
            found = await _read_head(request, connection, left_ms / MS_PER_S)
            facts = upstreams.dialect.read(found)
            if facts.request_id in (None, request.id):
                return _Opened(connection, found, facts)
            await connection.read_body(MAX_ANSWER_BYTES)
            if not connection.expect_another():
                break
        raise BrokenExchangeError("response carries the id of another request")
    except BaseException:
        await connection.close()
        raise


async def _read_head(
    request: RelayRequest, connection: UpstreamConnection, left_s: float
) -> ResponseHead:
    """Read the response head.

    A reused connection may be dead, so an idempotent request waits on it for
    only a part of the time left, which leaves time for another attempt.
    """
    if not (connection.was_used and request.route.is_idempotent):
        return await connection.read_head()
    try:
        with anyio.fail_after(UNANSWERED_PART * left_s):
            return await connection.read_head()
    except TimeoutError as error:
        detail = "no response head on a reused connection"
        raise BrokenExchangeError(detail) from error


def _judge(request: RelayRequest, opened: _Opened) -> AttemptResult | None:
    """Return the result if the response head alone decides it, else None."""
    facts = opened.facts
    if facts.is_misdirected:
        return AttemptResult(AttemptEnd.MISDIRECTED, "another upstream is there")
    if facts.not_run:
        detail = f"the upstream refused: {opened.head.status}"
        return AttemptResult(AttemptEnd.NOT_RUN, detail, facts=facts)
    if opened.head.status in PROMISES and not request.route.is_idempotent:
        detail = f"{opened.head.status} from an upstream that may have run it"
        return AttemptResult(AttemptEnd.BROKEN, detail)
    if opened.head.status in SUCCESS and not facts.is_signed:
        detail = "a success that no upstream has signed"
        return AttemptResult(AttemptEnd.BROKEN, detail)
    if opened.head.status in SUCCESS and facts.request_id != request.id:
        return AttemptResult(AttemptEnd.BROKEN, "a success without the request's id")
    return None


async def call_upstream(
    upstreams: Upstreams, request: RelayRequest, record: UpstreamRecord
) -> AttemptResult:
    """Send a request and read the complete response.

    Parameters
    ----------
    upstreams : Upstreams
        Transport to the upstreams.
    request : RelayRequest
        The request.
    record : UpstreamRecord
        Upstream to send it to.

    Returns
    -------
    AttemptResult
        Whether the request was run, as far as known, and the response.
    """
    try:
        opened = await _open_exchange(upstreams, request, record, request.last_event)
    except NotSentError as error:
        return AttemptResult(AttemptEnd.NOT_SENT, str(error))
    except BrokenExchangeError as error:
        return AttemptResult(AttemptEnd.BROKEN, str(error))
    return await _read_whole(upstreams, request, record, opened)


async def _read_whole(
    upstreams: Upstreams,
    request: RelayRequest,
    record: UpstreamRecord,
    opened: _Opened,
) -> AttemptResult:
    judged = _judge(request, opened)
    try:
        body = await opened.connection.read_body(MAX_ANSWER_BYTES)
    except BrokenExchangeError as error:
        await opened.connection.close()
        return judged or AttemptResult(AttemptEnd.BROKEN, str(error))
    except BaseException:
        await opened.connection.close()
        raise
    if judged is not None and judged.end is AttemptEnd.BROKEN:
        await opened.connection.close()
        return judged
    await upstreams.pool.release(record.address, opened.connection)
    if judged is not None:
        return judged
    response = Response(opened.head.status, opened.head.headers, body)
    return AttemptResult(AttemptEnd.ANSWERED, "", response, opened.facts)


async def stream_upstream(
    upstreams: Upstreams,
    request: RelayRequest,
    record: UpstreamRecord,
    progress: StreamProgress,
    note_first: Callable[[], None],
) -> AttemptResult:
    """Send a request and forward the events of its response as they arrive.

    Parameters
    ----------
    upstreams : Upstreams
        Transport to the upstreams.
    request : RelayRequest
        The request.
    record : UpstreamRecord
        Upstream to send it to.
    progress : StreamProgress
        Part of the response that was sent before; the attempt resumes after it.
    note_first : callable
        Called when the first event of the attempt arrives.

    Returns
    -------
    AttemptResult
        ``STREAMED`` if the stream was complete; ``ANSWERED`` if the upstream
        responded with an error status instead of a stream.
    """
    last_event = progress.last_id or request.last_event
    try:
        opened = await _open_exchange(upstreams, request, record, last_event)
    except NotSentError as error:
        return AttemptResult(AttemptEnd.NOT_SENT, str(error))
    except BrokenExchangeError as error:
        return AttemptResult(AttemptEnd.BROKEN, str(error))
    judged = _judge(request, opened)
    if judged is not None or opened.head.status not in SUCCESS:
        return await _read_whole(upstreams, request, record, opened)
    whole = False
    try:
        await _pass_events(request, opened, progress, note_first, upstreams.clock)
        whole = True
        return AttemptResult(AttemptEnd.STREAMED, facts=opened.facts)
    except BrokenExchangeError as error:
        return AttemptResult(AttemptEnd.BROKEN, str(error), facts=opened.facts)
    finally:
        if whole:
            await upstreams.pool.release(record.address, opened.connection)
        else:
            await opened.connection.close()


async def _pass_events(
    request: RelayRequest,
    opened: _Opened,
    progress: StreamProgress,
    note_first: Callable[[], None],
    clock: Clock,
) -> None:
    cutter = EventCutter()
    is_first = True
    while (part := await _next_part(request, opened.connection)) is not None:
        events = cutter.feed(part)
        if not events.count:
            continue
        if is_first:
            is_first = False
            note_first()
        if not progress.has_started:
            progress.has_started = True
            await progress.send_head(opened.head)
        progress.last_id = events.last_id or progress.last_id
        progress.note_sent(events.count, clock())
        await progress.send_events(events.data)
    if cutter.has_rest:
        raise BrokenExchangeError("stream ended in the middle of an event")
    if not progress.has_started:
        raise BrokenExchangeError("stream ended before its first event")


async def _next_part(
    request: RelayRequest, connection: UpstreamConnection
) -> bytes | None:
    if not request.route.resumable:
        return await connection.read_part()
    try:
        with anyio.fail_after(STREAM_SILENCE_S):
            return await connection.read_part()
    except TimeoutError as error:
        raise BrokenExchangeError("stream sent no data before the timeout") from error
