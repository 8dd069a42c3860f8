"""Checksummed records of the log file.

A record is a header and a payload. The header holds the payload's length and
CRC-32 and a CRC-32 of these two, so that a damaged length is noticed too.
"""

import struct
from dataclasses import dataclass
from zlib import crc32

__all__ = [
    "RECORD_HEAD_BYTES",
    "Damage",
    "ScannedRecords",
    "encode_record",
    "scan_records",
]

_BODY = struct.Struct("<II")
_HEADER = struct.Struct("<III")
RECORD_HEAD_BYTES = _HEADER.size


@dataclass(frozen=True, slots=True)
class Damage:
    """First place at which the file holds no valid record.

    Attributes
    ----------
    offset : int
        Place in bytes from the start of the file.
    is_tail : bool
        Whether no valid record follows, as after a torn write.
    """

    offset: int
    is_tail: bool


@dataclass(frozen=True, slots=True)
class ScannedRecords:
    """Payloads in order, and the damage that ended the scan, if any."""

    payloads: list[bytes]
    damage: Damage | None


def encode_record(payload: bytes) -> bytes:
    """Frame one payload.

    Parameters
    ----------
    payload : bytes
        The content.

    Returns
    -------
    bytes
        Header and payload.
    """
    body = _BODY.pack(len(payload), crc32(payload))
    return body + struct.pack("<I", crc32(body)) + payload


def _read_record(data: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    length, payload_crc, header_crc = _HEADER.unpack_from(data, offset)
    if crc32(data[offset : offset + _BODY.size]) != header_crc:
        return None
    start = offset + _HEADER.size
    payload = data[start : start + length]
    if len(payload) != length or crc32(payload) != payload_crc:
        return None
    return payload


def scan_records(data: bytes) -> ScannedRecords:
    """Read records until the end or the first damage.

    Parameters
    ----------
    data : bytes
        The file's content.

    Returns
    -------
    ScannedRecords
        What is valid, and where it ends if not at the end of the file.

    Examples
    --------
    >>> whole = encode_record(b"one") + encode_record(b"two")
    >>> scan_records(whole).payloads
    [b'one', b'two']
    >>> scan_records(whole[:-1]).damage.is_tail
    True
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _read_record(data, offset)
        if payload is None:
            return ScannedRecords(payloads, Damage(offset, _is_tail(data, offset)))
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return ScannedRecords(payloads, None)


def _is_tail(data: bytes, damaged: int) -> bool:
    for offset in range(damaged + 1, len(data) - _HEADER.size + 1):
        payload = _read_record(data, offset)
        if payload:
            return False
    return True
