"""Checksummed records, the framing of log segments, manifest and snapshot.

A record consists of a header and a payload. The header contains the length and
the CRC-32 of the payload, and a CRC-32 of these two fields, so that a damaged
length is detected too.
"""

import struct
from dataclasses import dataclass
from zlib import crc32

__all__ = [
    "RECORD_HEADER_BYTES",
    "Damage",
    "ScannedRecords",
    "encode_record",
    "scan_records",
]

_CHECKED_FIELDS = struct.Struct("<II")
_HEADER = struct.Struct("<III")
RECORD_HEADER_BYTES = _HEADER.size


@dataclass(frozen=True, slots=True)
class Damage:
    """Position of the first invalid record in a file.

    Attributes
    ----------
    offset : int
        Position of the record in bytes from the start of the file.
    is_tail : bool
        Whether no valid record follows, as after an incomplete (torn) write.
    """

    offset: int
    is_tail: bool


@dataclass(frozen=True, slots=True)
class ScannedRecords:
    """Payloads in file order, and the damage at which the scan stopped, if any."""

    payloads: list[bytes]
    damage: Damage | None


def encode_record(payload: bytes) -> bytes:
    """Encode one payload as a record.

    Parameters
    ----------
    payload : bytes
        Content of the record.

    Returns
    -------
    bytes
        Header and payload.
    """
    checked_fields = _CHECKED_FIELDS.pack(len(payload), crc32(payload))
    return checked_fields + struct.pack("<I", crc32(checked_fields)) + payload


def _read_record(data: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    length, payload_crc, header_crc = _HEADER.unpack_from(data, offset)
    if crc32(data[offset : offset + _CHECKED_FIELDS.size]) != header_crc:
        return None
    start = offset + _HEADER.size
    payload = data[start : start + length]
    if len(payload) != length or crc32(payload) != payload_crc:
        return None
    return payload


def scan_records(data: bytes) -> ScannedRecords:
    """Decode records up to the end of the data or the first damaged record.

    Parameters
    ----------
    data : bytes
        Content of the file.

    Returns
    -------
    ScannedRecords
        The valid payloads, and the position of the damage, if any.

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
            return ScannedRecords(payloads, Damage(offset, _is_torn_tail(data, offset)))
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return ScannedRecords(payloads, None)


def _is_torn_tail(data: bytes, damaged_offset: int) -> bool:
    for offset in range(damaged_offset + 1, len(data) - _HEADER.size + 1):
        payload = _read_record(data, offset)
        if payload:
            return False
    return True
