"""Bucketed digests for comparing two membership tables."""

from collections.abc import Iterable

import xxhash

from cranberryfield.core.messages.membership import (
    ItemVersion,
    PeerRecord,
    UpstreamRecord,
)

__all__ = ["BUCKET_COUNT", "bucket_digests", "bucket_of", "item_version"]

BUCKET_COUNT = 32
_HASH_MASK = (1 << 53) - 1


def item_version(record: PeerRecord | UpstreamRecord) -> ItemVersion:
    """Return the item name of a record with a hash of its version."""
    if isinstance(record, PeerRecord):
        version = f"{record.incarnation} {record.sequence} {record.state:d}"
        return ItemVersion(f"p:{record.node}", _hash(version))
    version = f"{record.incarnation} {record.leaving:d} {record.sequence} {record.home}"
    return ItemVersion(f"u:{record.upstream}", _hash(version))


def bucket_of(item: str) -> int:
    """Return the zero-based bucket index of an item."""
    return _hash(item) % BUCKET_COUNT


def bucket_digests(versions: Iterable[ItemVersion]) -> tuple[int, ...]:
    """Return one digest per bucket, independent of the order of the items."""
    digests = [0] * BUCKET_COUNT
    for one in versions:
        digests[bucket_of(one.item)] ^= _hash(f"{one.item} {one.version}")
    return tuple(digests)


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode()) & _HASH_MASK
