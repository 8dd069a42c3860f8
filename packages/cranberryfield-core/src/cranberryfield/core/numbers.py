"""Bounds of the numbers and texts that other programs send."""

from typing import Annotated

import msgspec

__all__ = [
    "MAX_INTEGER",
    "MAX_TEXT_LENGTH",
    "BoundedCount",
    "BoundedDuration",
    "parse_count",
]

#: Largest integer that JSON documents exchange exactly (RFC 8259, section 6).
MAX_INTEGER = 2**53 - 1
#: Longest id or name of another program, in characters.
MAX_TEXT_LENGTH = 255
#: Decimal digits of `MAX_INTEGER`.
MAX_DIGITS = 16

#: Integer of another program that is not negative.
BoundedCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
#: Duration of another program, in the unit of its field.
BoundedDuration = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]


def parse_count(text: str) -> int | None:
    """Return a decimal number from 0 to `MAX_INTEGER`; None for any other text.

    Examples
    --------
    >>> parse_count("1800")
    1800
    >>> [parse_count(text) for text in ("", "-1", "1_000", "\N{SUPERSCRIPT TWO}")]
    [None, None, None, None]
    >>> parse_count("9" * 5000) is None
    True
    """
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        return None
    number = int(text)
    return number if number <= MAX_INTEGER else None
