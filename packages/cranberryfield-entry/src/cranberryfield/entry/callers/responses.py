"""Response bodies built from the record of a request: event streams and JSON."""

from collections.abc import AsyncIterator

import msgspec

from cranberryfield.core.errors import CallerError, CranberryfieldError, ErrorKind
from cranberryfield.core.problems import problem_of_error
from cranberryfield.entry.dispatch.event_payloads import DONE_PAYLOAD
from cranberryfield.entry.requests.records import RequestRecord, RequestState

__all__ = [
    "join_completion",
    "lost_events_error",
    "stream_events",
    "wait_until_finished",
]

MOVED_RETRY_MS = 100


async def wait_until_finished(record: RequestRecord) -> None:
    """Wait until a request is no longer running.

    Parameters
    ----------
    record : RequestRecord
        Record of the request.
    """
    while record.state is RequestState.RUNNING:
        await record.wait_for_change()


async def stream_events(record: RequestRecord, after: int) -> AsyncIterator[bytes]:
    """Yield the events of an answer after the one numbered `after`.

    Events that are available together form one chunk.

    Parameters
    ----------
    record : RequestRecord
        Record of the request.
    after : int
        Number of events that the caller has received.

    Yields
    ------
    bytes
        One or more server-sent events. The last one is ``[DONE]`` for a complete
        answer, an event of type ``moved`` for one that continues at another host,
        and an event of type ``error`` otherwise.
    """
    sent = after
    epoch = record.epoch
    while True:
        if record.epoch != epoch and not record.contains_event(sent, epoch):
            yield _format_error_event(lost_events_error())
            return
        epoch = record.epoch
        available = record.events[sent : record.committed]
        if available:
            tag = record.event_tag.encode()
            yield b"".join(
                _format_event(number, tag, payload)
                for number, payload in enumerate(available, start=sent + 1)
            )
            sent += len(available)
        elif record.state is RequestState.RUNNING:
            await record.wait_for_change()
        elif record.state is RequestState.FAILED:
            yield _format_error_event(record.error)
            return
        elif record.state is RequestState.MOVED:
            yield _format_moved_event(record)
            return
        else:
            yield _format_event(sent + 1, record.event_tag.encode(), DONE_PAYLOAD)
            return


def lost_events_error() -> CallerError:
    """Return the error for a caller whose received events are lost."""
    return CallerError(
        ErrorKind.KEY_EXPIRED,
        "a part of the answer that was sent is no longer stored; without "
        "Last-Event-ID the request starts again",
    )


def _format_event(number: int, tag: bytes, payload: bytes) -> bytes:
    return b"id: %d-%b\ndata: %b\n\n" % (number, tag, payload)


def _format_error_event(error: CranberryfieldError) -> bytes:
    problem = problem_of_error(error)
    return b"event: error\ndata: %s\n\n" % msgspec.json.encode(problem)


class MovedEvent(msgspec.Struct):
    """Data of the event ``moved``, which ends a stream that continues elsewhere.

    Attributes
    ----------
    host : str
        Address of the entry host that continues the request; any other entry host
        can serve it too.
    retry_after_ms : int
        Delay before the retry with the same key and the id of the last event, in
        milliseconds.
    """

    host: str
    retry_after_ms: int


def _format_moved_event(record: RequestRecord) -> bytes:
    moved = MovedEvent(record.successor_address, MOVED_RETRY_MS)
    return b"event: moved\ndata: %s\n\n" % msgspec.json.encode(moved)


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    text: str | None = None
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    id: str = ""
    created: int = 0
    model: str = ""
    choices: list[_Choice] = msgspec.field(default_factory=list)
    usage: msgspec.Raw = msgspec.Raw(b"null")


class _Message(msgspec.Struct):
    role: str
    content: str


class _ChatChoice(msgspec.Struct):
    index: int
    message: _Message
    finish_reason: str | None


class _TextChoice(msgspec.Struct):
    index: int
    text: str
    finish_reason: str | None


class _Completion(msgspec.Struct):
    id: str
    object: str
    created: int
    model: str
    choices: list
    usage: msgspec.Raw


def join_completion(record: RequestRecord, chat: bool) -> bytes:
    """Join the events of an answer into the body of a non-streamed completion.

    Parameters
    ----------
    record : RequestRecord
        Record with a complete answer.
    chat : bool
        Whether to return the format of chat completions.

    Returns
    -------
    bytes
        JSON document.
    """
    chunks = [msgspec.json.decode(one, type=_Chunk) for one in record.events]
    text = []
    reason = None
    for chunk in chunks:
        for choice in chunk.choices:
            delta = choice.delta.content if choice.delta else None
            text.append(choice.text or delta or "")
            reason = choice.finish_reason or reason
    last = chunks[-1] if chunks else _Chunk()
    content = "".join(text)
    choice = _TextChoice(0, content, reason)
    if chat:
        choice = _ChatChoice(0, _Message("assistant", content), reason)
    return msgspec.json.encode(
        _Completion(
            last.id,
            "chat.completion" if chat else "text_completion",
            last.created,
            last.model,
            [choice],
            last.usage,
        )
    )
