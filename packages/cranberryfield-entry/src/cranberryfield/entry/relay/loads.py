"""Load and health of each upstream, as known to this host."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from cranberryfield.core.ids import UpstreamId

__all__ = [
    "InFlight",
    "LoadSection",
    "UpstreamLoad",
    "note_failure",
    "note_success",
    "take_others",
]

#: Shared prompt parts recorded per upstream.
MAX_PARTS = 4096
#: First and longest backoff of a failing upstream, in seconds.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 8.0
#: Consecutive failures that cause no backoff yet.
TOLERATED_FAILURES = 2
#: Weight of the latest outcome in the moving average of failures.
FAILURE_WEIGHT = 0.1


@dataclass(slots=True)
class InFlight:
    """An attempt in progress on an upstream.

    Attributes
    ----------
    prefill_tokens : int
        Prompt tokens still to be prefilled; 0 once the first event has arrived.
    kv_tokens : int
        Tokens that it may occupy in the upstream's KV cache.
    """

    prefill_tokens: int
    kv_tokens: int


@dataclass(slots=True)
class UpstreamLoad:
    """Load and health of one upstream.

    Attributes
    ----------
    own : dict
        This host's attempts in progress, by request id.
    others, others_prefill : int
        Attempts in progress from other hosts, and their prompt tokens that are
        still to be prefilled.
    others_seen_at : float
        Monotonic time in seconds at which these two were current.
    parts : OrderedDict
        Ids of prompt parts that were sent to it, least recently used first.
    paused_until : float
        Monotonic time in seconds at which its backoff ends.
    failures : int
        Number of consecutive failures.
    failure_ratio : float
        Moving average of failures, from 0 to 1.
    """

    own: dict[str, InFlight] = field(default_factory=dict)
    others: int = 0
    others_prefill: int = 0
    others_seen_at: float = 0.0
    parts: OrderedDict[str, None] = field(default_factory=OrderedDict)
    paused_until: float = float("-inf")
    failures: int = 0
    failure_ratio: float = 0.0

    @property
    def in_flight(self) -> int:
        """Known attempts in progress, from all hosts."""
        return len(self.own) + self.others

    @property
    def own_prefill(self) -> int:
        """Prompt tokens of this host's attempts that are still to be prefilled."""
        return sum(one.prefill_tokens for one in self.own.values())

    def note_parts(self, parts: tuple[str, ...]) -> None:
        """Record prompt parts that are sent to this upstream."""
        for part in parts:
            self.parts[part] = None
            self.parts.move_to_end(part)
        while len(self.parts) > MAX_PARTS:
            self.parts.popitem(last=False)


@dataclass(slots=True)
class LoadSection:
    """Section of the blackboard: loads by upstream."""

    loads: dict[UpstreamId, UpstreamLoad] = field(default_factory=dict)

    def of(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream; a new, idle one if it is unknown."""
        load = self.loads.get(upstream)
        if load is None:
            load = self.loads[upstream] = UpstreamLoad()
        return load


def take_others(
    section: LoadSection, totals: Mapping[UpstreamId, tuple[int, int]], seen_at: float
) -> None:
    """Replace the load that other hosts put on each upstream.

    Parameters
    ----------
    section : LoadSection
        Changed in place.
    totals : mapping
        By upstream, the other hosts' attempts in progress and the prompt tokens
        of these that are still to be prefilled; missing upstreams have none.
    seen_at : float
        Monotonic time in seconds at which the totals were current.
    """
    for upstream in totals.keys() - section.loads.keys():
        section.of(upstream)
    for upstream, load in section.loads.items():
        load.others, load.others_prefill = totals.get(upstream, (0, 0))
        load.others_seen_at = seen_at


def note_success(load: UpstreamLoad) -> None:
    """Record a successful attempt, which ends the backoff of its upstream."""
    load.failures = 0
    load.paused_until = float("-inf")
    load.failure_ratio *= 1.0 - FAILURE_WEIGHT


def note_failure(load: UpstreamLoad, now: float, is_certain: bool) -> float:
    """Record a failed attempt; return the backoff of its upstream in seconds.

    Parameters
    ----------
    load : UpstreamLoad
        Changed in place.
    now : float
        Monotonic time in seconds.
    is_certain : bool
        Whether the upstream is known to be out of service, for example because
        it refuses connections. Otherwise the first `TOLERATED_FAILURES` cause
        no backoff.

    Examples
    --------
    >>> load = UpstreamLoad()
    >>> note_failure(load, 10.0, is_certain=False)
    0.0
    >>> note_failure(load, 10.0, is_certain=True)
    1.0
    """
    load.failures += 1
    load.failure_ratio += (1.0 - load.failure_ratio) * FAILURE_WEIGHT
    if not is_certain and load.failures <= TOLERATED_FAILURES:
        return 0.0
    pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2 ** (load.failures - 1))
    load.paused_until = now + pause_s
    return pause_s
