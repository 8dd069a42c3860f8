"""Keys whose claims have been forgotten, in bounded memory."""

import re
from hashlib import blake2b

import msgspec

from cranberryfield.core.ids import RequestKey, WorkspaceId

__all__ = ["ExpiredKeys", "add_expired", "has_room", "is_expired", "key_time_ms"]

HASH_BYTES = 8
BUCKETS = 4096
#: RFC 9562, version 7: 48 bits of milliseconds, then the version.
_UUID7 = re.compile(
    r"([0-9a-fA-F]{8})-([0-9a-fA-F]{4})-7[0-9a-fA-F]{3}"
    r"-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}"
)


class ExpiredKeys(msgspec.Struct, array_like=True):
    """Which keys may not be used again.

    Attributes
    ----------
    watermarks : dict
        For each workspace the highest time, in milliseconds, of an expired
        key that carries its time; keys with that time or an older one are
        expired.
    buckets : dict
        Hashes of 8 bytes of all other expired keys, by their first bits.
    count : int
        Number of hashes.
    """

    watermarks: dict[WorkspaceId, int] = msgspec.field(default_factory=dict)
    buckets: dict[int, bytes] = msgspec.field(default_factory=dict)
    count: int = 0


def key_time_ms(key: RequestKey) -> int | None:
    """Return the time that a key carries, or None.

    Parameters
    ----------
    key : RequestKey
        A caller's key.

    Returns
    -------
    int or None
        Milliseconds since 1970 of a UUID of version 7.

    References
    ----------
    RFC 9562, section 5.7.

    Examples
    --------
    >>> key_time_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
    1645557742000
    >>> key_time_ms("booking-7") is None
    True
    """
    match = _UUID7.fullmatch(key)
    return int(match[1] + match[2], 16) if match else None


def is_expired(keys: ExpiredKeys, workspace: WorkspaceId, key: RequestKey) -> bool:
    """Say whether a key that has no claim had one once.

    Parameters
    ----------
    keys : ExpiredKeys
        The forgotten keys.
    workspace, key : str
        Name of the request.

    Returns
    -------
    bool
        True for each expired key; also for a key with a time at or below the
        workspace's watermark, and for one in 2**64 / `count` others.
    """
    time_ms = key_time_ms(key)
    if time_ms is not None:
        return time_ms <= keys.watermarks.get(workspace, -1)
    digest = _hash(workspace, key)
    bucket = keys.buckets.get(_place(digest), b"")
    starts = range(0, len(bucket), HASH_BYTES)
    return any(bucket[start : start + HASH_BYTES] == digest for start in starts)


def add_expired(keys: ExpiredKeys, workspace: WorkspaceId, key: RequestKey) -> None:
    """Remember an expired key."""
    time_ms = key_time_ms(key)
    if time_ms is not None:
        known = keys.watermarks.get(workspace, -1)
        keys.watermarks[workspace] = max(known, time_ms)
        return
    digest = _hash(workspace, key)
    place = _place(digest)
    keys.buckets[place] = keys.buckets.get(place, b"") + digest
    keys.count += 1


def has_room(keys: ExpiredKeys, key: RequestKey, limit: int) -> bool:
    """Say whether a new key could be remembered once it expires.

    Parameters
    ----------
    keys : ExpiredKeys
        The forgotten keys.
    key : RequestKey
        The new key.
    limit : int
        Largest number of keys that may be remembered one by one, those of
        claims that are still known included.
    """
    return key_time_ms(key) is not None or keys.count < limit


def _hash(workspace: WorkspaceId, key: RequestKey) -> bytes:
    text = f"{workspace} {key}".encode()
    return blake2b(text, digest_size=HASH_BYTES).digest()


def _place(digest: bytes) -> int:
    return int.from_bytes(digest[:2]) % BUCKETS
