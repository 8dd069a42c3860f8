"""Load and health of each upstream, as known to this host."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from cranberryfield.core.ids import UpstreamId
from cranberryfield.entry.relay.stated_loads import StatedLoads

__all__ = [
    "InFlightAttempt",
    "LoadSection",
    "UpstreamLoad",
    "record_failure",
    "record_success",
    "replace_remote_loads",
]

#: Shared prompt parts recorded per upstream.
MAX_PROMPT_PARTS = 4096
#: First and longest backoff of a failing upstream, in seconds.
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
#: Consecutive failures that cause no backoff yet.
TOLERATED_FAILURES = 2
#: Weight of the latest outcome in the moving average of failures.
FAILURE_WEIGHT = 0.1


@dataclass(slots=True)
class InFlightAttempt:
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
    own_attempts : dict
        This host's attempts in progress, by request id.
    remote_in_flight, remote_prefill_tokens : int
        Attempts in progress from other hosts, and their prompt tokens that are
        still to be prefilled.
    remote_updated_at : float
        Monotonic time in seconds at which these two were current.
    prompt_parts : OrderedDict
        Ids of prompt parts that were sent to it, least recently used first.
    backoff_until : float
        Monotonic time in seconds at which its backoff ends.
    consecutive_failures : int
        Number of consecutive failures.
    failure_ratio : float
        Moving average of failures, from 0 to 1.
    """

    own_attempts: dict[str, InFlightAttempt] = field(default_factory=dict)
    remote_in_flight: int = 0
    remote_prefill_tokens: int = 0
    remote_updated_at: float = 0.0
    prompt_parts: OrderedDict[str, None] = field(default_factory=OrderedDict)
    backoff_until: float = float("-inf")
    consecutive_failures: int = 0
    failure_ratio: float = 0.0

    @property
    def in_flight(self) -> int:
        """Known attempts in progress, from all hosts."""
        return len(self.own_attempts) + self.remote_in_flight

    @property
    def own_prefill_tokens(self) -> int:
        """Prompt tokens of this host's attempts that are still to be prefilled."""
        return sum(one.prefill_tokens for one in self.own_attempts.values())

    def record_prompt_parts(self, parts: tuple[str, ...]) -> None:
        """Record prompt parts that are sent to this upstream."""
        for part in parts:
            self.prompt_parts[part] = None
            self.prompt_parts.move_to_end(part)
        while len(self.prompt_parts) > MAX_PROMPT_PARTS:
            self.prompt_parts.popitem(last=False)


@dataclass(slots=True)
class LoadSection:
    """Section of the blackboard: loads by upstream, and what they state themselves."""

    loads: dict[UpstreamId, UpstreamLoad] = field(default_factory=dict)
    stated: StatedLoads = field(default_factory=StatedLoads)

    def load_of(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream; a new, idle one if it is unknown."""
        load = self.loads.get(upstream)
        if load is None:
            load = self.loads[upstream] = UpstreamLoad()
        return load


def replace_remote_loads(
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
        section.load_of(upstream)
    for upstream, load in section.loads.items():
        load.remote_in_flight, load.remote_prefill_tokens = totals.get(upstream, (0, 0))
        load.remote_updated_at = seen_at


def record_success(load: UpstreamLoad) -> None:
    """Record a successful attempt, which ends the backoff of its upstream."""
    load.consecutive_failures = 0
    load.backoff_until = float("-inf")
    load.failure_ratio *= 1.0 - FAILURE_WEIGHT


def record_failure(load: UpstreamLoad, now: float, is_down: bool) -> float:
    """Record a failed attempt; return the backoff of its upstream in seconds.

    Parameters
    ----------
    load : UpstreamLoad
        Changed in place.
    now : float
        Monotonic time in seconds.
    is_down : bool
        Whether the upstream is known to be out of service, for example because
        it refuses connections. Otherwise the first `TOLERATED_FAILURES` cause
        no backoff.

    Examples
    --------
    >>> load = UpstreamLoad()
    >>> record_failure(load, 10.0, is_down=False)
    0.0
    >>> record_failure(load, 10.0, is_down=True)
    1.0
    """
    load.consecutive_failures += 1
    load.failure_ratio += (1.0 - load.failure_ratio) * FAILURE_WEIGHT
    if not is_down and load.consecutive_failures <= TOLERATED_FAILURES:
        return 0.0
    backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** (load.consecutive_failures - 1))
    load.backoff_until = now + backoff_s
    return backoff_s
