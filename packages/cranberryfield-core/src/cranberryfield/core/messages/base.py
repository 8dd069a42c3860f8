"""Base class of all messages."""

import msgspec

__all__ = ["Message", "NestedRecord"]


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """One message, encoded as an array that begins with the class's name.

    A field may only be added at the end and with a default, so that older
    processes can still read the message.
    """


class NestedRecord(msgspec.Struct, frozen=True, array_like=True):
    """A value inside a message, encoded as an array without a name."""
