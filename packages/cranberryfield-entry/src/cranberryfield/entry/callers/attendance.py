"""Detection of callers that disconnect before their response is complete."""

from collections.abc import AsyncIterator, Callable

import anyio
from starlette.requests import Request as HttpRequest
from starlette.responses import Response

from cranberryfield.core.errors import ErrorKind, WasRun, error_of_kind
from cranberryfield.core.http import problem_response
from cranberryfield.entry.requests import RequestRecord, RequestState

__all__ = ["attended", "refusal_response", "wait_attended"]

DISCONNECT = "http.disconnect"


async def wait_attended(
    http: HttpRequest, record: RequestRecord, is_enough: Callable[[], bool]
) -> None:
    """Wait until a request ends, `is_enough` returns True or the caller disconnects.

    Parameters
    ----------
    http : starlette.requests.Request
        Request of the caller; its body must have been read.
    record : RequestRecord
        Record of the request. Its caller counts as connected until it disconnects;
        a stream that follows must be wrapped in `attended`.
    is_enough : callable
        Evaluated after each change of the record; ends the wait if it returns True.
    """
    record.callers += 1
    is_gone = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_caller, http, tasks.cancel_scope)
        while record.state is RequestState.RUNNING and not is_enough():
            await record.wait_change()
        is_gone = False
        tasks.cancel_scope.cancel()
    if is_gone:
        _leave(record)


def _leave(record: RequestRecord) -> None:
    record.callers -= 1
    is_running = record.state is RequestState.RUNNING
    if is_running and not record.callers and not record.request.has_caller_key:
        record.lose()


async def _watch_caller(http: HttpRequest, scope: anyio.CancelScope) -> None:
    message = await http.receive()
    while message["type"] != DISCONNECT:
        message = await http.receive()
    scope.cancel()


async def attended(
    record: RequestRecord, events: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yield the events of an answer and unregister the caller at the end."""
    try:
        async for chunk in events:
            yield chunk
    finally:
        _leave(record)


def refusal_response(record: RequestRecord) -> Response:
    """Return the error response of a record without an answer.

    A caller that has disconnected does not receive it.
    """
    if record.state is RequestState.MOVED:
        detail = f"the request continues at {record.moving_to}"
        moved = error_of_kind(
            ErrorKind.NOT_READY, detail, was_run=WasRun.UNKNOWN, retry_after_s=1.0
        )
        return problem_response(moved)
    gone = error_of_kind(ErrorKind.CALLER_GONE, "the caller has disconnected")
    return problem_response(record.error or gone)
