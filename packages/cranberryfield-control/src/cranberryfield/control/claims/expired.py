"""Set of expired request keys, in bounded memory."""

import re
from hashlib import blake2b

import msgspec

from cranberryfield.core.ids import RequestKey, WorkspaceId

__all__ = ["ExpiredKeys", "add_expired", "has_capacity", "is_expired", "key_time_ms"]

HASH_BYTES = 8
BUCKET_COUNT = 4096
#: UUID of version 7 (RFC 9562): 48 bits of milliseconds, then the version.
_UUID7 = re.compile(
    r"([0-9a-fA-F]{8})-([0-9a-fA-F]{4})-7[0-9a-fA-F]{3}"
    r"-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}"
)


class ExpiredKeys(msgspec.Struct, array_like=True):
    """Keys that may not be used again because their claims were removed.

    Attributes
    ----------
    watermarks : dict
        Highest time of an expired key with a timestamp, in milliseconds, by
        workspace. All keys with this time or an older one are expired.
    buckets : dict
        Concatenated hashes, of 8 bytes each, of the expired keys without a
        timestamp, by bucket number.
    count : int
        Number of hashes in all buckets.
    """

    watermarks: dict[WorkspaceId, int] = msgspec.field(default_factory=dict)
    buckets: dict[int, bytes] = msgspec.field(default_factory=dict)
    count: int = 0


def key_time_ms(key: RequestKey) -> int | None:
    """Return the timestamp in a key.

    Parameters
    ----------
    key : RequestKey
        A caller's key.

    Returns
    -------
    int or None
        Milliseconds since 1970 in a UUID of version 7; None for other keys.

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
    """Return whether a key without a claim is expired.

    Parameters
    ----------
    keys : ExpiredKeys
        The expired keys.
    workspace, key : str
        Workspace and key of the request.

    Returns
    -------
    bool
        True for every expired key. False positives are keys with a timestamp
        up to the watermark of the workspace, and one in 2**64 / `count` other
        keys.
    """
    time_ms = key_time_ms(key)
    if time_ms is not None:
        return time_ms <= keys.watermarks.get(workspace, -1)
    digest = _key_hash(workspace, key)
    bucket = keys.buckets.get(_bucket_number(digest), b"")
    starts = range(0, len(bucket), HASH_BYTES)
    return any(bucket[start : start + HASH_BYTES] == digest for start in starts)


def add_expired(keys: ExpiredKeys, workspace: WorkspaceId, key: RequestKey) -> None:
    """Add a key to the expired keys."""
    time_ms = key_time_ms(key)
    if time_ms is not None:
        watermark = keys.watermarks.get(workspace, -1)
        keys.watermarks[workspace] = max(watermark, time_ms)
        return
    digest = _key_hash(workspace, key)
    bucket_number = _bucket_number(digest)
    keys.buckets[bucket_number] = keys.buckets.get(bucket_number, b"") + digest
    keys.count += 1


def has_capacity(keys: ExpiredKeys, key: RequestKey, limit: int) -> bool:
    """Return whether a new key could be added once it expires.

    Parameters
    ----------
    keys : ExpiredKeys
        The expired keys.
    key : RequestKey
        The new key.
    limit : int
        Maximum number of hashes, less one for the key of each present claim.
    """
    return key_time_ms(key) is not None or keys.count < limit


def _key_hash(workspace: WorkspaceId, key: RequestKey) -> bytes:
    text = f"{workspace} {key}".encode()
    return blake2b(text, digest_size=HASH_BYTES).digest()


def _bucket_number(digest: bytes) -> int:
    return int.from_bytes(digest[:2]) % BUCKET_COUNT
