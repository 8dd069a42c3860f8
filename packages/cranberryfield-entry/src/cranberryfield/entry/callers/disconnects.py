"""Detection of callers that disconnect before their response is complete."""

from collections.abc import AsyncIterator, Callable

import anyio
from starlette.requests import Request as HttpRequest
from starlette.responses import Response

from cranberryfield.core.errors import ErrorKind, WasRun, error_of_kind
from cranberryfield.core.http import problem_response
from cranberryfield.entry.requests import RequestRecord, RequestState

__all__ = ["error_response", "stream_while_connected", "wait_while_connected"]

DISCONNECT = "http.disconnect"


async def wait_while_connected(
    http: HttpRequest, record: RequestRecord, is_done: Callable[[], bool]
) -> None:
    """Wait until a request ends, `is_done` returns True or the caller disconnects.

    Parameters
    ----------
    http : starlette.requests.Request
        Request of the caller; its body must have been read.
    record : RequestRecord
        Record of the request. Its caller counts as connected until it disconnects;
        a stream that follows must be wrapped in `stream_while_connected`.
    is_done : callable
        Evaluated after each change of the record; ends the wait if it returns True.
    """
    record.callers += 1
    is_disconnected = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_disconnect, http, tasks.cancel_scope)
        while record.state is RequestState.RUNNING and not is_done():
            await record.wait_for_change()
        is_disconnected = False
        tasks.cancel_scope.cancel()
    if is_disconnected:
        _unregister_caller(record)


def _unregister_caller(record: RequestRecord) -> None:
    record.callers -= 1
    is_running = record.state is RequestState.RUNNING
    if is_running and not record.callers and not record.request.has_caller_key:
        record.mark_lost()


async def _cancel_on_disconnect(http: HttpRequest, scope: anyio.CancelScope) -> None:
    message = await http.receive()
    while message["type"] != DISCONNECT:
        message = await http.receive()
    scope.cancel()


async def stream_while_connected(
    record: RequestRecord, events: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yield the events of an answer and unregister the caller at the end."""
    try:
        async for chunk in events:
            yield chunk
    finally:
        _unregister_caller(record)


def error_response(record: RequestRecord) -> Response:
    """Return the error response of a record without an answer.

    A caller that has disconnected does not receive it.
    """
    if record.state is RequestState.MOVED:
        detail = f"the request continues at {record.successor_address}"
        moved = error_of_kind(
            ErrorKind.NOT_READY, detail, was_run=WasRun.UNKNOWN, retry_after_s=1.0
        )
        return problem_response(moved)
    disconnected = error_of_kind(ErrorKind.CALLER_GONE, "the caller has disconnected")
    return problem_response(record.error or disconnected)
