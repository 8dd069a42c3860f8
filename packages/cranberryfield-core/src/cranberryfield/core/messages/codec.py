"""Frames: batches of envelopes, encoded as CBOR with a format version."""

from collections.abc import Callable
from enum import Enum, IntEnum
from functools import reduce
from operator import or_
from typing import NamedTuple

import cbor2
import msgspec

from cranberryfield.core.errors import ErrorKind, ProtocolError
from cranberryfield.core.messages import (
    claims,
    commands,
    consensus,
    control,
    deployment,
    limits,
    links,
    membership,
    orders,
    quarantine,
    reports,
    requests,
    rollouts,
    settings,
    slots,
    streams,
    tunnels,
)
from cranberryfield.core.messages.base import Message

__all__ = [
    "FRAME_VERSION",
    "MAX_FRAME_BYTES",
    "Envelope",
    "EnvelopeKind",
    "SkipReason",
    "SkippedContent",
    "decode_frame",
    "decode_message",
    "encode_frame",
    "encode_message",
]

FRAME_VERSION = 1
MAX_FRAME_BYTES = 32 * 1024 * 1024

_MESSAGE_MODULES = (
    claims,
    commands,
    consensus,
    control,
    deployment,
    limits,
    links,
    membership,
    orders,
    quarantine,
    reports,
    requests,
    rollouts,
    settings,
    slots,
    streams,
    tunnels,
)
_MESSAGE_TYPES = tuple(
    value
    for module in _MESSAGE_MODULES
    for value in vars(module).values()
    if isinstance(value, type) and issubclass(value, Message) and value is not Message
)
AnyMessage = reduce(or_, dict.fromkeys(_MESSAGE_TYPES))
#: Number of elements of each message that this build writes, including its name.
_ELEMENT_COUNTS = {
    kind.__name__: 1 + len(kind.__struct_fields__) for kind in _MESSAGE_TYPES
}
#: Names of messages come from other processes; longer ones are cut off in logs.
MAX_NAME_LENGTH = 80


class EnvelopeKind(IntEnum):
    """Role of an envelope in the exchange on a link."""

    SEND = 0
    REQUEST = 1
    REPLY = 2


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its kind and the number of its request.

    Attributes
    ----------
    kind : EnvelopeKind
        A one-way message, a request, or the reply to one.
    call : int
        Number of the request on this link; 0 for a one-way message. A reply
        carries the number of its request.
    message : Message
        The message.
    """

    kind: EnvelopeKind
    call: int
    message: AnyMessage


class SkipReason(Enum):
    """Why content of a frame was skipped."""

    UNKNOWN_MESSAGE = "unknown message"
    #: The message is known, but its fields have other types, or a message or a
    #: value in it is unknown.
    UNREADABLE_MESSAGE = "unreadable message"
    #: The message was read without the fields that follow the known ones.
    UNKNOWN_FIELDS = "unknown fields"
    #: The message is known, but this process has no handler for it.
    NO_HANDLER = "no handler"


class SkippedContent(NamedTuple):
    """Content of a frame that this build does not understand.

    Attributes
    ----------
    reason : SkipReason
        What was skipped.
    kind, call : int
        Kind and request number of the envelope; the kind may be unknown.
    message : str
        Name of the message.
    """

    reason: SkipReason
    kind: int
    call: int
    message: str


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    version: int
    envelopes: tuple[Envelope, ...]


class _SingleMessage(msgspec.Struct, frozen=True, array_like=True):
    # msgspec caches the decoder of a struct type but rebuilds that of a union on
    # each call. Without this wrapper decoding a message takes ten times as long.
    message: AnyMessage


def encode_frame(envelopes: tuple[Envelope, ...]) -> bytes:
    """Encode a batch of envelopes.

    Parameters
    ----------
    envelopes : tuple of Envelope
        The batch.

    Returns
    -------
    bytes
        One CBOR item.
    """
    return _encode_struct(_Frame(FRAME_VERSION, envelopes))


def decode_frame(
    data: bytes,
    on_skipped: Callable[[SkippedContent], None] | None = None,
    checks_fields: bool = False,
) -> tuple[Envelope, ...]:
    """Decode a frame encoded by `encode_frame`.

    Parameters
    ----------
    data : bytes
        One CBOR item.
    on_skipped : callable, optional
        Called for each envelope that this build cannot read.
    checks_fields : bool
        Whether `on_skipped` is also called for messages that were read without
        unknown fields at their end.

    Returns
    -------
    tuple of Envelope
        The batch, without the envelopes that cannot be read.

    Raises
    ------
    ProtocolError
        If the frame exceeds `MAX_FRAME_BYTES`, is not CBOR or no batch of
        envelopes, or has a different format version.

    Examples
    --------
    >>> from cranberryfield.core.messages.links import Failure
    >>> sent = Envelope(EnvelopeKind.REPLY, 7, Failure("no_quorum", "one of three"))
    >>> decode_frame(encode_frame((sent,))) == (sent,)
    True
    >>> frame = cbor2.dumps([FRAME_VERSION, [[0, 0, ["FromALaterBuild", 1]]]])
    >>> decode_frame(frame, lambda content: print(content.message))
    FromALaterBuild
    ()
    """
    if len(data) > MAX_FRAME_BYTES:
        raise ProtocolError(ErrorKind.PROTOCOL, "frame exceeds the size limit")
    raw = _decode_cbor(data)
    try:
        frame = msgspec.convert(raw, _Frame, builtin_types=(bytes,))
    except (msgspec.ValidationError, ValueError) as error:
        return _decode_each_envelope(raw, on_skipped, error)
    _check_version(frame.version)
    if checks_fields and on_skipped is not None:
        _report_unknown_fields(raw[1], on_skipped)
    return frame.envelopes


def _check_version(version: object) -> None:
    if version != FRAME_VERSION:
        raise ProtocolError(
            ErrorKind.PROTOCOL,
            f"frame has format version {version!r:.20}, not {FRAME_VERSION}",
        )


def _decode_each_envelope(
    raw: object,
    on_skipped: Callable[[SkippedContent], None] | None,
    error: Exception,
) -> tuple[Envelope, ...]:
    """Decode the readable envelopes of a frame that cannot be decoded at once."""
    match raw:
        case [version, [*raw_envelopes], *_]:
            _check_version(version)
        case _:
            raise _decoding_error(error) from error
    envelopes = []
    for raw_envelope in raw_envelopes:
        try:
            envelopes.append(
                msgspec.convert(raw_envelope, Envelope, builtin_types=(bytes,))
            )
        except (msgspec.ValidationError, ValueError) as envelope_error:
            skipped = _describe_skipped(raw_envelope, envelope_error)
            if on_skipped is not None:
                on_skipped(skipped)
    return tuple(envelopes)


def _describe_skipped(raw_envelope: object, error: Exception) -> SkippedContent:
    match raw_envelope:
        case [int(kind), int(call), [str(name), *_], *_]:
            is_known = name in _ELEMENT_COUNTS
        case _:
            raise _decoding_error(error) from error
    reason = SkipReason.UNREADABLE_MESSAGE if is_known else SkipReason.UNKNOWN_MESSAGE
    return SkippedContent(reason, kind, call, name[:MAX_NAME_LENGTH])


def _report_unknown_fields(
    raw_envelopes: list, on_skipped: Callable[[SkippedContent], None]
) -> None:
    for envelope in raw_envelopes:
        message = envelope[2]
        if len(message) > _ELEMENT_COUNTS[message[0]]:
            kind, call = envelope[:2]
            on_skipped(
                SkippedContent(SkipReason.UNKNOWN_FIELDS, kind, call, message[0])
            )


def encode_message(message: Message) -> bytes:
    """Encode a single message for the replicated log."""
    return _encode_struct(message)


def decode_message(data: bytes) -> Message:
    """Decode a single message from the replicated log."""
    return _convert_to_struct([_decode_cbor(data)], _SingleMessage).message


def _encode_struct(value: msgspec.Struct) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def _decode_cbor(data: bytes) -> object:
    try:
        return cbor2.loads(data)
    except (cbor2.CBORError, ValueError) as error:
        raise _decoding_error(error) from error
    except RecursionError as error:
        raise ProtocolError(
            ErrorKind.PROTOCOL, "message is nested too deeply to decode"
        ) from error


def _convert_to_struct(value: object, kind: type):
    try:
        return msgspec.convert(value, kind, builtin_types=(bytes,))
    except (msgspec.ValidationError, ValueError) as error:
        raise _decoding_error(error) from error


def _decoding_error(error: Exception) -> ProtocolError:
    return ProtocolError(ErrorKind.PROTOCOL, f"message cannot be decoded: {error}")
