"""Simulation of continuous batching and of a bounded prefix cache."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

import anyio
import msgspec
import xxhash

from standins.tokens import CompletionRequest, full_prompt, token_text

__all__ = ["Batcher", "CacheChange", "PrefixCache", "Run"]

BLOCK_TOKENS = 16
#: Cache changes retained for readers; older ones are discarded.
MAX_RETAINED_CHANGES = 64
PREFILL_TOKENS_PER_STEP = 512


class CacheChange(msgspec.Struct, omit_defaults=True):
    """Blocks added to and evicted from the cache in one operation."""

    sequence: int
    added: list[int] = msgspec.field(default_factory=list)
    removed: list[int] = msgspec.field(default_factory=list)


class PrefixCache:
    """LRU cache of recently processed prompt prefixes.

    Parameters
    ----------
    capacity_blocks : int
        Capacity in blocks of 16 tokens.
    """

    def __init__(self, capacity_blocks: int):
        self._capacity = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0
        self.changes: deque[CacheChange] = deque(maxlen=MAX_RETAINED_CHANGES)

    def _hashes(self, words: list[str]) -> list[int]:
        hashes = []
        running = 0
        for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
            block = " ".join(words[start : start + BLOCK_TOKENS])
            running = xxhash.xxh64_intdigest(block.encode(), seed=running)
            hashes.append(running)
        return hashes

    def count_cached_tokens(self, words: list[str]) -> int:
        """Return the number of leading tokens that are cached."""
        cached = 0
        for block in self._hashes(words):
            if block not in self._blocks:
                break
            cached += BLOCK_TOKENS
        return cached

    def add(self, words: list[str]) -> list[int]:
        """Add the blocks of a prompt; return the new ones."""
        added, removed = [], []
        for block in reversed(self._hashes(words)):
            if block not in self._blocks:
                added.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        if added or removed:
            self._sequence += 1
            self.changes.append(CacheChange(self._sequence, added, removed))
        return added


@dataclass(slots=True)
class Run:
    """One request in progress.

    Attributes
    ----------
    run : str
        Id of the run.
    request : CompletionRequest
        The request.
    prompt : str
        The prompt.
    produced : int
        Number of tokens produced, including those of previous upstreams.
    prefill_left : int
        Number of prompt tokens not yet processed.
    priority : int
        Scheduling priority; lower values are scheduled first.
    tokens : list of str
        Tokens produced by this engine.
    changed : anyio.Event
        Set when a token is produced and when the run is cancelled.
    cancelled : bool
        Whether the run was cancelled.
    """

    run: str
    request: CompletionRequest
    prompt: str
    produced: int
    prefill_left: int
    priority: int = 1
    tokens: list[str] = field(default_factory=list)
    changed: anyio.Event = field(default_factory=anyio.Event)
    cancelled: bool = False

    @property
    def is_done(self) -> bool:
        """Whether the run produces no more tokens."""
        return self.cancelled or self.produced >= self.request.max_tokens

    def notify(self) -> None:
        """Wake the tasks that wait for this run."""
        changed, self.changed = self.changed, anyio.Event()
        changed.set()


class Batcher:
    """Processes all running requests in batched steps.

    Parameters
    ----------
    step_s : float
        Duration of one step in seconds.
    capacity : int
        Maximum number of concurrent requests; further ones are queued.
    """

    def __init__(self, step_s: float, capacity: int):
        self._step_s = step_s
        self._capacity = capacity
        self._running: list[Run] = []
        self._waiting: list[Run] = []
        self._work_available = anyio.Event()

    @property
    def load(self) -> dict[str, int]:
        """Numbers of running and queued requests and of unprocessed prompt tokens."""
        return {
            "running": len(self._running),
            "queued": len(self._waiting),
            "prefill_tokens": sum(
                run.prefill_left for run in (*self._running, *self._waiting)
            ),
        }

    def add(self, run: Run) -> None:
        """Queue a run behind those of the same or a more urgent priority."""
        self._waiting.append(run)
        self._waiting.sort(key=lambda one: one.priority)
        self._work_available.set()

    async def run_steps(self, before_token) -> None:
        """Run steps until cancelled.

        Parameters
        ----------
        before_token : callable
            Called with a run before each token that it produces.
        """
        while True:
            if not self._running and not self._waiting:
                self._work_available = anyio.Event()
                await self._work_available.wait()
            await anyio.sleep(self._step_s)
            self.step(before_token)

    def step(self, before_token) -> None:
        """Run one step without waiting for its duration."""
        self._admit_waiting()
        self._process_batch(before_token)

    def _admit_waiting(self) -> None:
        while self._waiting and len(self._running) < self._capacity:
            self._running.append(self._waiting.pop(0))

    def _process_batch(self, before_token) -> None:
        budget = PREFILL_TOKENS_PER_STEP
        for run in self._running:
            if run.prefill_left:
                processed = min(budget, run.prefill_left)
                run.prefill_left -= processed
                budget -= processed
            elif not run.is_done:
                before_token(run)
                seed = run.request.seed
                run.tokens.append(token_text(seed, run.prompt, run.produced))
                run.produced += 1
                run.notify()
        for run in self._running:
            if run.cancelled:
                run.notify()
        self._running = [run for run in self._running if not run.is_done]


def new_run(run: str, request: CompletionRequest, cache: PrefixCache) -> Run:
    """Create the run of a new request and add its prompt to the cache.

    Parameters
    ----------
    run : str
        Id of the run.
    request : CompletionRequest
        The request.
    cache : PrefixCache
        Cache of processed prefixes; the prompt is added to it.

    Returns
    -------
    Run
        Run to be added to a batcher.
    """
    prompt = full_prompt(request)
    words = prompt.split()
    prefill = len(words) - cache.count_cached_tokens(words)
    cache.add(words)
    return Run(run, request, prompt, 0, prefill)
