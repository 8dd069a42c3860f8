"""Whether callers still wait for their answers."""

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
    """Wait for an answer until its end, or until the caller has gone.

    Parameters
    ----------
    http : starlette.requests.Request
        The caller's request, its body read.
    record : RequestRecord
        The request's record. Its caller counts as waiting until it has gone;
        a stream that follows must be `attended`.
    is_enough : callable
        Ends the wait when it returns True after a change of the record.
    """
    record.callers += 1
    is_gone = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_caller, http, tasks.cancel_scope)
        while record.state is RequestState.RUNNING and not is_enough():
            await record.wait_for_change()
        is_gone = False
        tasks.cancel_scope.cancel()
    if is_gone:
        _leave(record)


def _leave(record: RequestRecord) -> None:
    record.callers -= 1
    is_running = record.state is RequestState.RUNNING
    if is_running and not record.callers and not record.request.has_caller_key:
        record.mark_lost()


async def _watch_caller(http: HttpRequest, scope: anyio.CancelScope) -> None:
    message = await http.receive()
    while message["type"] != DISCONNECT:
        message = await http.receive()
    scope.cancel()


async def attended(
    record: RequestRecord, events: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Pass on an answer's events and note when their caller goes."""
    try:
        async for chunk in events:
            yield chunk
    finally:
        _leave(record)


def refusal_response(record: RequestRecord) -> Response:
    """Answer with a record's failure; for a caller that has gone, with any."""
    if record.state is RequestState.MOVED:
        detail = f"the request goes on at {record.successor_address}"
        moved = error_of_kind(
            ErrorKind.NOT_READY, detail, was_run=WasRun.UNKNOWN, retry_after_s=1.0
        )
        return problem_response(moved)
    gone = error_of_kind(ErrorKind.CALLER_GONE, "the caller has gone")
    return problem_response(record.error or gone)
