"""Answers cut from a request's record: streams and whole bodies."""

from collections.abc import AsyncIterator

import msgspec

from cranberryfield.core.errors import CallerError, CranberryfieldError, ErrorKind
from cranberryfield.core.http import problem_of_error
from cranberryfield.entry.dispatch.framing import DONE
from cranberryfield.entry.requests.records import RequestRecord, RequestState

__all__ = ["lost_part", "stream_events", "wait_until_ended", "whole_completion"]

MOVED_RETRY_MS = 100


async def wait_until_ended(record: RequestRecord) -> None:
    """Wait until a request is answered or has failed.

    Parameters
    ----------
    record : RequestRecord
        The request's record.
    """
    while record.state is RequestState.RUNNING:
        await record.wait_for_change()


async def stream_events(record: RequestRecord, after: int) -> AsyncIterator[bytes]:
    """Give out the answer's events after the one numbered `after`.

    Events that are ready together are given out as one chunk.

    Parameters
    ----------
    record : RequestRecord
        The request's record.
    after : int
        Number of events that the caller has.

    Yields
    ------
    bytes
        One or more server-sent events. The last one is ``[DONE]`` for a whole
        answer, an event of type ``moved`` for one that goes on at another host,
        and an event of type ``error`` otherwise.
    """
    sent = after
    epoch = record.epoch
    while True:
        if record.epoch != epoch and not record.contains_event(sent, epoch):
            yield _error_event(lost_part())
            return
        epoch = record.epoch
        ready = record.events[sent : record.committed]
        if ready:
            tag = record.event_tag.encode()
            yield b"".join(
                _event(number, tag, payload)
                for number, payload in enumerate(ready, start=sent + 1)
            )
            sent += len(ready)
        elif record.state is RequestState.RUNNING:
            await record.wait_for_change()
        elif record.state is RequestState.FAILED:
            yield _error_event(record.error)
            return
        elif record.state is RequestState.MOVED:
            yield _moved_event(record)
            return
        else:
            yield _event(sent + 1, record.event_tag.encode(), DONE)
            return


def lost_part() -> CallerError:
    """Return the refusal of a caller whose part of an answer is lost."""
    return CallerError(
        ErrorKind.KEY_EXPIRED,
        "a part of the answer that was given is no longer kept; without "
        "Last-Event-ID the request begins anew",
    )


def _event(number: int, tag: bytes, payload: bytes) -> bytes:
    return b"id: %d-%b\ndata: %b\n\n" % (number, tag, payload)


def _error_event(error: CranberryfieldError) -> bytes:
    problem = problem_of_error(error)
    return b"event: error\ndata: %s\n\n" % msgspec.json.encode(problem)


class Moved(msgspec.Struct):
    """Data of the event ``moved``, which ends a stream that goes on elsewhere.

    Attributes
    ----------
    host : str
        Address of the entry host that goes on; any other one will do too.
    retry_after_ms : int
        When to come back, with the same key and the last event's id, in
        milliseconds.
    """

    host: str
    retry_after_ms: int


def _moved_event(record: RequestRecord) -> bytes:
    moved = Moved(record.successor_address, MOVED_RETRY_MS)
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


def whole_completion(record: RequestRecord, chat: bool) -> bytes:
    """Join an answer's events into the body of a plain completion.

    Parameters
    ----------
    record : RequestRecord
        A record with a whole answer.
    chat : bool
        Whether the chat shape is wanted.

    Returns
    -------
    bytes
        JSON.
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
