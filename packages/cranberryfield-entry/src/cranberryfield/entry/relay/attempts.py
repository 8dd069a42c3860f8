"""Sends a request to one upstream and reads or streams its response."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cranberryfield.core.clock import Clock
from cranberryfield.core.http1 import (
    BrokenExchangeError,
    ConnectionPool,
    NotSentError,
    RequestHead,
    Response,
    ResponseHead,
    ResponseTimeoutError,
    UpstreamConnection,
)
from cranberryfield.core.ids import NodeId
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.attempt_results import (
    SERVER_ERRORS,
    SUCCESS_STATUSES,
    RelayAttemptOutcome,
    RelayAttemptResult,
    StreamProgress,
)
from cranberryfield.entry.relay.event_boundaries import EventBoundaryBuffer
from cranberryfield.entry.relay.request import (
    RelayRequest,
    ResponseMetadata,
    UpstreamCodec,
)
from cranberryfield.entry.relay.stream_continuation import (
    find_foreign_bytes,
    find_head_fault,
)

__all__ = ["UpstreamTransport", "call_upstream", "stream_upstream"]

MS_PER_S = 1000
#: Part of a response that is kept until the whole has arrived, in bytes, so that
#: another attempt may follow. A larger response is forwarded as it arrives.
MAX_BUFFERED_BYTES = 1 << 19
#: Largest body of a response that is not forwarded, in bytes.
MAX_DISCARDED_BYTES = 1 << 19
#: Responses to earlier requests that are skipped on one connection.
MAX_STALE_RESPONSES = 2
#: Time without data after which a resumable stream is resumed on another
#: upstream, in seconds.
STREAM_IDLE_TIMEOUT_S = 2.0
#: Time without a complete event after which it is resumed although data arrives, in
#: seconds.
STREAM_STALL_TIMEOUT_S = 6.0
STREAM_TIMED_OUT = "stream sent no data or no whole event before the timeout"
#: Fraction of the time left after which a reused connection that has returned no
#: response head is considered dead. Applies if another attempt may follow.
REUSED_CONNECTION_WAIT_FRACTION = 0.45
#: Statuses from which a caller concludes that its request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class UpstreamTransport:
    """Transport that attempts use to reach upstreams.

    Attributes
    ----------
    pool : ConnectionPool
        Connections to upstreams.
    codec : UpstreamCodec
        Encodes request headers and decodes response headers.
    clock : Clock
        Monotonic time.
    on_answer : callable
        Called with the upstream, the metadata of its response head, the monotonic time
        in seconds at which the request was sent, and the process through which the
        connection leads, if any.
    on_silence : callable
        Called with the address of an upstream that has not responded in time.
    may_send : callable, optional
        Returns whether a request may still be sent to an upstream; asked once the
        connection is open.
    """

    pool: ConnectionPool
    codec: UpstreamCodec
    clock: Clock
    on_answer: Callable[[UpstreamRecord, ResponseMetadata, float, NodeId | None], None]
    on_silence: Callable[[str], None]
    may_send: Callable[[UpstreamRecord], bool] | None = None


@dataclass(slots=True)
class _PendingExchange:
    """An exchange whose response head has been read but not its body."""

    connection: UpstreamConnection
    head: ResponseHead
    metadata: ResponseMetadata
    in_use: bool = field(default=True)


async def _open_exchange(
    transport: UpstreamTransport,
    request: RelayRequest,
    record: UpstreamRecord,
    last_event_id: str | None,
    has_alternative: bool,
) -> _PendingExchange:
    connection = await transport.pool.acquire(record.address, request.id)
    try:
        if transport.may_send is not None and not transport.may_send(record):
            raise NotSentError("the version may not be used any more")
        sent_at = transport.clock()
        time_left_ms = int((request.deadline - sent_at) * MS_PER_S)
        headers = transport.codec.encode(
            request, record, max(1, time_left_ms), last_event_id
        )
        head = RequestHead(request.head.method, request.head.target, headers)
        await connection.send(head, request.body, request.id)
        for _ in range(MAX_STALE_RESPONSES + 1):
            response_head = await _read_head(
                connection, time_left_ms / MS_PER_S, has_alternative
            )
            metadata = transport.codec.decode(response_head)
            if metadata.request_id is None and connection.is_reused:
                # It may answer an earlier request of the connection.
                raise BrokenExchangeError("response without an id after earlier ones")
            if metadata.request_id in (None, request.id):
                if not metadata.is_misdirected:
                    transport.on_answer(record, metadata, sent_at, connection.via)
                return _PendingExchange(connection, response_head, metadata)
            await connection.read_body(MAX_DISCARDED_BYTES)
            if not connection.start_next_response():
                break
        raise BrokenExchangeError("response carries the id of another request")
    except ResponseTimeoutError:
        transport.on_silence(record.address)
        await connection.close()
        raise
    except BaseException:
        await connection.close()
        raise


async def _read_head(
    connection: UpstreamConnection, time_left_s: float, has_alternative: bool
) -> ResponseHead:
    """Read the response head.

    A reused connection may be dead, so a request that may be sent again waits on it
    for only a part of the time left, which leaves time for another attempt.
    """
    if not (connection.is_reused and has_alternative):
        return await connection.read_head()
    try:
        with anyio.fail_after(REUSED_CONNECTION_WAIT_FRACTION * time_left_s):
            return await connection.read_head()
    except TimeoutError as error:
        detail = "no response head on a reused connection"
        raise ResponseTimeoutError(detail) from error


def _broken_result(
    error: BrokenExchangeError, had_answered: bool = False
) -> RelayAttemptResult:
    return RelayAttemptResult(
        RelayAttemptOutcome.BROKEN,
        str(error),
        connection_lost=not isinstance(error, ResponseTimeoutError),
        had_answered=had_answered,
    )


def _result_from_head(
    request: RelayRequest, exchange: _PendingExchange
) -> RelayAttemptResult | None:
    """Return the result if the response head alone decides it, else None."""
    metadata = exchange.metadata
    if metadata.is_misdirected:
        return RelayAttemptResult(
            RelayAttemptOutcome.MISDIRECTED, "another upstream responded"
        )
    if metadata.not_run:
        detail = f"the upstream refused: {exchange.head.status}"
        return RelayAttemptResult(
            RelayAttemptOutcome.NOT_RUN, detail, metadata=metadata
        )
    if exchange.head.status in NOT_RUN_STATUSES and not request.route.is_idempotent:
        detail = f"{exchange.head.status} from an upstream that may have run it"
        return RelayAttemptResult(RelayAttemptOutcome.BROKEN, detail)
    if exchange.head.status in SUCCESS_STATUSES and not metadata.is_signed:
        detail = "success status without the signature of an upstream"
        return RelayAttemptResult(RelayAttemptOutcome.BROKEN, detail)
    if exchange.head.status in SUCCESS_STATUSES and metadata.request_id != request.id:
        return RelayAttemptResult(
            RelayAttemptOutcome.BROKEN, "success status without the id of the request"
        )
    return None


async def call_upstream(
    transport: UpstreamTransport,
    request: RelayRequest,
    record: UpstreamRecord,
    progress: StreamProgress,
    has_alternative: bool,
) -> RelayAttemptResult:
    """Send a request and read the complete response.

    A response that is too large to be kept, alone or with those of other requests, is
    forwarded as it arrives.

    Parameters
    ----------
    transport : UpstreamTransport
        Transport to the upstreams.
    request : RelayRequest
        The request.
    record : UpstreamRecord
        Upstream to send it to.
    progress : StreamProgress
        Sends a large response to the caller.
    has_alternative : bool
        Whether another attempt may follow if this one gets no response.

    Returns
    -------
    RelayAttemptResult
        Whether the request was run, as far as known, and the response; ``STREAMED``
        if it was forwarded.
    """
    try:
        exchange = await _open_exchange(
            transport, request, record, request.last_event_id, has_alternative
        )
    except NotSentError as error:
        return RelayAttemptResult(RelayAttemptOutcome.NOT_SENT, str(error))
    except BrokenExchangeError as error:
        return _broken_result(error)
    return await _read_response(transport, request, record, exchange, progress)


async def _read_response(
    transport: UpstreamTransport,
    request: RelayRequest,
    record: UpstreamRecord,
    exchange: _PendingExchange,
    progress: StreamProgress,
) -> RelayAttemptResult:
    early_result = _result_from_head(request, exchange)
    try:
        if early_result is None and exchange.head.status not in SERVER_ERRORS:
            body = await _read_or_forward_body(exchange, progress)
        else:
            body = await exchange.connection.read_body(MAX_DISCARDED_BYTES)
    except BrokenExchangeError as error:
        await exchange.connection.close()
        return early_result or _broken_result(error, had_answered=True)
    except BaseException:
        await exchange.connection.close()
        raise
    if early_result is not None and early_result.outcome is RelayAttemptOutcome.BROKEN:
        await exchange.connection.close()
        return early_result
    await transport.pool.release(record.address, exchange.connection)
    if early_result is not None:
        return early_result
    if body is None:
        return RelayAttemptResult(
            RelayAttemptOutcome.STREAMED, metadata=exchange.metadata
        )
    response = Response(exchange.head.status, exchange.head.headers, body)
    return RelayAttemptResult(
        RelayAttemptOutcome.ANSWERED, "", response, exchange.metadata
    )


async def _read_or_forward_body(
    exchange: _PendingExchange, progress: StreamProgress
) -> bytes | None:
    """Return the body, or None if it was too large to be kept and was forwarded."""
    parts: list[bytes] = []
    size = 0
    while (part := await exchange.connection.read_part()) is not None:
        if progress.is_head_sent:
            await progress.send_events(part)
            continue
        parts.append(part)
        size += len(part)
        if size > MAX_BUFFERED_BYTES or not progress.may_keep(size):
            progress.head = exchange.head
            await progress.send_head(exchange.head)
            for kept in parts:
                await progress.send_events(kept)
            parts.clear()
    return None if progress.is_head_sent else b"".join(parts)


async def stream_upstream(
    transport: UpstreamTransport,
    request: RelayRequest,
    record: UpstreamRecord,
    progress: StreamProgress,
    on_events: Callable[[], None],
    has_alternative: bool,
) -> RelayAttemptResult:
    """Send a request and forward the events of its response as they arrive.

    Parameters
    ----------
    transport : UpstreamTransport
        Transport to the upstreams.
    request : RelayRequest
        The request.
    record : UpstreamRecord
        Upstream to send it to.
    progress : StreamProgress
        Part of the response that was sent before; the attempt resumes after it.
    on_events : callable
        Called each time that events of the attempt arrive.
    has_alternative : bool
        Whether another attempt may follow if this one gets no response.

    Returns
    -------
    RelayAttemptResult
        ``STREAMED`` if the stream was complete; ``ANSWERED`` if the upstream
        responded with an error status instead of a stream.
    """
    last_event_id = progress.last_event_id
    try:
        exchange = await _open_exchange(
            transport, request, record, last_event_id, has_alternative
        )
    except NotSentError as error:
        return RelayAttemptResult(RelayAttemptOutcome.NOT_SENT, str(error))
    except BrokenExchangeError as error:
        return _broken_result(error)
    early_result = _result_from_head(request, exchange)
    if early_result is None and last_event_id is not None:
        detail = _find_continuation_fault(progress, exchange.head)
        if detail is not None:
            return await _discard_response(transport, record, exchange, detail)
    if early_result is not None or exchange.head.status not in SUCCESS_STATUSES:
        return await _read_response(transport, request, record, exchange, progress)
    is_complete = False
    events_before = progress.events_sent
    try:
        # One scope, as one for each event would cost more than the event itself.
        with anyio.CancelScope() as idle_scope:
            await _forward_events(
                request,
                exchange,
                progress,
                on_events,
                transport.clock,
                idle_scope,
            )
            is_complete = True
        if not is_complete:
            transport.on_silence(record.address)
            raise ResponseTimeoutError(STREAM_TIMED_OUT)
        return RelayAttemptResult(
            RelayAttemptOutcome.STREAMED, metadata=exchange.metadata
        )
    except BrokenExchangeError as error:
        return _broken_result(error, had_answered=progress.events_sent > events_before)
    finally:
        if is_complete:
            await transport.pool.release(record.address, exchange.connection)
        else:
            await exchange.connection.close()


def _find_continuation_fault(
    progress: StreamProgress, head: ResponseHead
) -> str | None:
    """Return why an answer cannot go on with a stream, as far as its head tells."""
    if head.status in SUCCESS_STATUSES:
        return find_head_fault(progress.head, head)
    if progress.is_head_sent:
        return f"{head.status} instead of the rest of the stream"
    # The caller takes the stream up again, and can be told of the failure.
    return None


async def _discard_response(
    transport: UpstreamTransport,
    record: UpstreamRecord,
    exchange: _PendingExchange,
    detail: str,
) -> RelayAttemptResult:
    """Read an answer of which no byte may reach the caller."""
    try:
        await exchange.connection.read_body(MAX_DISCARDED_BYTES)
    except BrokenExchangeError:
        await exchange.connection.close()
    except BaseException:
        await exchange.connection.close()
        raise
    else:
        await transport.pool.release(record.address, exchange.connection)
    return RelayAttemptResult(
        RelayAttemptOutcome.BROKEN, detail, metadata=exchange.metadata
    )


async def _forward_events(
    request: RelayRequest,
    exchange: _PendingExchange,
    progress: StreamProgress,
    on_events: Callable[[], None],
    clock: Clock,
    idle_scope: anyio.CancelScope,
) -> None:
    """Forward events; `idle_scope` gets a deadline while a resumable stream is read."""
    buffer = EventBoundaryBuffer()
    is_first = True
    stalled_at = clock() + STREAM_STALL_TIMEOUT_S
    while True:
        if request.route.resumable:
            timeout_s = min(STREAM_IDLE_TIMEOUT_S, stalled_at - clock())
            idle_scope.deadline = anyio.current_time() + timeout_s
        chunk = await exchange.connection.read_part()
        idle_scope.deadline = math.inf
        if idle_scope.cancel_called:
            # Data and the timeout came together. The data must not count as sent, as
            # the next step that waits is cancelled.
            raise ResponseTimeoutError(STREAM_TIMED_OUT)
        if chunk is None:
            break
        events = buffer.feed(chunk)
        if buffer.is_overfull:
            raise BrokenExchangeError("stream sent an event that is too large")
        if not events.count:
            continue
        fault = find_foreign_bytes(events)
        if fault is None and is_first:
            fault = progress.sequence.find_fault(events)
        if fault is not None:
            raise BrokenExchangeError(fault)
        is_first = False
        stalled_at = clock() + STREAM_STALL_TIMEOUT_S
        on_events()
        if not progress.is_head_sent:
            progress.head = exchange.head
            progress.is_stream = True
            await progress.send_head(exchange.head)
        progress.sequence.record(events)
        progress.record_sent(events.count, clock())
        await progress.send_events(events.data)
    if buffer.has_partial_event:
        raise BrokenExchangeError("stream ended in the middle of an event")
    if not progress.is_head_sent:
        raise BrokenExchangeError("stream ended before its first event")
