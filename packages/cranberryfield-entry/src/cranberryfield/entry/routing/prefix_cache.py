"""Estimates how much of a prompt an upstream has in its prefix cache.

Prompts are split into blocks of words, and each block's hash is chained with the
hashes before it.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec
import xxhash

from cranberryfield.core.ids import UpstreamId

__all__ = [
    "BLOCK_WORDS",
    "CacheEvent",
    "PrefixSection",
    "PromptPrefix",
    "apply_cache_event",
    "cached_word_count",
    "mark_prompt_cached",
    "prompt_prefix",
]

BLOCK_WORDS = 16
#: Blocks of a prompt that are hashed; the rest counts as not cached.
MAX_PROMPT_BLOCKS = 256
#: Blocks tracked per upstream.
MAX_UPSTREAM_BLOCKS = 2048


class CacheEvent(msgspec.Struct, frozen=True):
    """Change of an engine's prefix cache; arrives late and with gaps.

    Attributes
    ----------
    sequence : int
        Increases by one with each event; a larger step means lost events.
    added, removed : tuple of int
        Chained hashes of blocks, see `prompt_prefix`.
    """

    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class PromptPrefix:
    """Length and block hashes of a prompt.

    Attributes
    ----------
    word_count : int
        Length in words, used as an estimate of tokens.
    blocks : tuple of int
        Chained hash of each complete block.
    """

    word_count: int = 0
    blocks: tuple[int, ...] = ()


@dataclass(slots=True)
class _CacheEstimate:
    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    sequence: int = 0


@dataclass(slots=True)
class PrefixSection:
    """Section of the blackboard: estimated cache contents of each upstream."""

    caches: dict[UpstreamId, _CacheEstimate] = field(default_factory=dict)


class _ChatMessage(msgspec.Struct):
    role: str = ""
    content: str = ""


class _Prompt(msgspec.Struct):
    prompt: str = ""
    messages: list[_ChatMessage] = msgspec.field(default_factory=list)


def prompt_prefix(body: bytes) -> PromptPrefix:
    """Return the prefix of a completion's prompt; empty for other bodies.

    Parameters
    ----------
    body : bytes
        JSON of a completion or chat completion.

    Returns
    -------
    PromptPrefix
        Identical on every host and in the engine.

    Examples
    --------
    >>> long = prompt_prefix(b'{"prompt": "' + b"a " * 40 + b'"}')
    >>> long.word_count, len(long.blocks)
    (40, 2)
    >>> prompt_prefix(b"not JSON")
    PromptPrefix(word_count=0, blocks=())
    """
    try:
        parsed = msgspec.json.decode(body, type=_Prompt)
    except (msgspec.MsgspecError, RecursionError):
        return PromptPrefix()
    chat = "\n".join(f"{one.role}: {one.content}" for one in parsed.messages)
    words = (parsed.prompt or chat).split()
    return PromptPrefix(len(words), tuple(block_hashes(words)))


def block_hashes(words: list[str]) -> list[int]:
    """Return the chained hashes of a prompt's complete blocks."""
    hashes = []
    chained_hash = 0
    last = min(len(words), MAX_PROMPT_BLOCKS * BLOCK_WORDS) - BLOCK_WORDS + 1
    for start in range(0, last, BLOCK_WORDS):
        block = " ".join(words[start : start + BLOCK_WORDS])
        chained_hash = xxhash.xxh64_intdigest(block.encode(), seed=chained_hash)
        hashes.append(chained_hash)
    return hashes


def cached_word_count(
    section: PrefixSection, upstream: UpstreamId, prefix: PromptPrefix
) -> int:
    """Return the number of leading words that are probably cached.

    Bisects for the last cached block: a cached block implies that all blocks
    before it are cached.
    """
    cache = section.caches.get(upstream)
    if cache is None or not prefix.blocks or prefix.blocks[0] not in cache.blocks:
        return 0
    cached, uncached = 0, len(prefix.blocks)
    while uncached - cached > 1:
        middle = (cached + uncached) // 2
        if prefix.blocks[middle] in cache.blocks:
            cached = middle
        else:
            uncached = middle
    return (cached + 1) * BLOCK_WORDS


def mark_prompt_cached(
    section: PrefixSection, upstream: UpstreamId, prefix: PromptPrefix
) -> None:
    """Mark a prompt as cached on the upstream to which it was sent."""
    if prefix.blocks:
        _add_blocks(
            section.caches.setdefault(upstream, _CacheEstimate()), prefix.blocks
        )


def _add_blocks(cache: _CacheEstimate, blocks: tuple[int, ...]) -> None:
    # Later blocks first, so that the end of a prefix is evicted before its start.
    for block in reversed(blocks):
        cache.blocks[block] = None
        cache.blocks.move_to_end(block)
    while len(cache.blocks) > MAX_UPSTREAM_BLOCKS:
        cache.blocks.popitem(last=False)


def apply_cache_event(
    section: PrefixSection, upstream: UpstreamId, event: CacheEvent
) -> None:
    """Apply a cache event; after a gap the older half of the blocks is dropped.

    Parameters
    ----------
    section : PrefixSection
        Changed in place.
    upstream : UpstreamId
        The engine.
    event : CacheEvent
        Ignored if its sequence is not new, except 1, which means that the engine
        has restarted and clears the blocks.
    """
    cache = section.caches.setdefault(upstream, _CacheEstimate())
    if event.sequence == 1 and cache.sequence:
        cache.blocks.clear()
    elif event.sequence <= cache.sequence:
        return
    elif cache.sequence and event.sequence > cache.sequence + 1:
        for _ in range(len(cache.blocks) // 2):
            cache.blocks.popitem(last=False)
    cache.sequence = event.sequence
    for block in event.removed:
        cache.blocks.pop(block, None)
    _add_blocks(cache, event.added)
