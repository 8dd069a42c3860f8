"""Frames: batches of envelopes, encoded as CBOR with a format version."""

from enum import IntEnum
from functools import reduce
from operator import or_

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


def decode_frame(data: bytes) -> tuple[Envelope, ...]:
    """Decode a frame encoded by `encode_frame`.

    Parameters
    ----------
    data : bytes
        One CBOR item.

    Returns
    -------
    tuple of Envelope
        The batch.

    Raises
    ------
    ProtocolError
        If the frame exceeds `MAX_FRAME_BYTES`, is not CBOR, has a different
        format version, or contains an unknown message.

    Examples
    --------
    >>> from cranberryfield.core.messages.links import Failure
    >>> sent = Envelope(EnvelopeKind.REPLY, 7, Failure("no_quorum", "one of three"))
    >>> decode_frame(encode_frame((sent,))) == (sent,)
    True
    """
    if len(data) > MAX_FRAME_BYTES:
        raise ProtocolError(ErrorKind.PROTOCOL, "frame exceeds the size limit")
    return _convert_to_struct(_decode_cbor(data), _Frame).envelopes


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
