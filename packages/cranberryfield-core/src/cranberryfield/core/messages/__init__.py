"""Typed messages between processes and their CBOR frames."""

from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import Envelope, decode_frame, encode_frame

__all__ = ["Envelope", "Message", "decode_frame", "encode_frame"]
