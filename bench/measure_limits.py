"""Three strategies for one rate limit across all entry hosts, on the same requests."""

from collections import deque
from random import Random

from bench.figures import Figure
from cranberryfield.entry.limits.token_bucket import (
    LeasedTokens,
    TokenBucket,
    TokenDecision,
    apply_lease,
    lease_size,
    lease_tokens,
    next_token_s,
    refill,
    try_acquire_token,
)

SEED = 29
HOSTS = 9
LIMIT_PER_S = 100.0
DURATION_S = 60.0
WINDOW_S = 1.0
#: Fraction of requests sent to the busiest host; the rest are spread evenly.
BUSIEST_HOST_SHARE = 0.6
LOADS = (0.8, 2.0, 10.0)
SUBINTERVALS = 10
TARGET_UNDER_ADMISSION = 0.05


class EqualSplit:
    """Static split: each host has a token bucket with an equal share of the rate."""

    def __init__(self):
        self.messages = 0
        self._buckets = [TokenBucket() for _ in range(HOSTS)]

    def admit(self, host: int, now: float) -> bool:
        """Return whether `host` admits a request at time `now`, in seconds."""
        bucket = self._buckets[host]
        refill(bucket, LIMIT_PER_S / HOSTS, now)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True


class TokenLeases:
    """Hosts lease tokens from one shared bucket, in line with their demand."""

    def __init__(self):
        self.messages = 0
        self._shared_bucket = TokenBucket()
        self._hosts = [LeasedTokens() for _ in range(HOSTS)]

    def admit(self, host: int, now: float) -> bool:
        """Return whether `host` admits a request at time `now`, in seconds."""
        leased = self._hosts[host]
        decision = try_acquire_token(leased, now)
        if decision is not TokenDecision.ASK:
            return decision is TokenDecision.ADMITTED
        self.messages += 2
        granted = lease_tokens(
            self._shared_bucket, LIMIT_PER_S, lease_size(leased), leased.tokens, now
        )
        apply_lease(
            leased, granted, next_token_s(self._shared_bucket, LIMIT_PER_S), now
        )
        if not granted:
            return False
        leased.tokens -= 1
        return True


class SubintervalWindows:
    """Sliding-window scheme with subintervals, whose counts the hosts share.

    Each admitted request is added to the shared counts immediately. A host reads
    the counts of past subintervals once per subinterval and decides locally.
    """

    def __init__(self):
        self.messages = 0
        self._step_s = WINDOW_S / SUBINTERVALS
        self._shared: dict[int, int] = {}
        self._local: list[dict[int, int]] = [{} for _ in range(HOSTS)]
        self._last_read: list[int] = [-1] * HOSTS

    def admit(self, host: int, now: float) -> bool:
        """Return whether `host` admits a request at time `now`, in seconds."""
        current = int(now / self._step_s)
        counts = self._local[host]
        if self._last_read[host] != current:
            self._last_read[host] = current
            self.messages += 2
            for past in range(current - SUBINTERVALS, current):
                counts[past] = self._shared.get(past, 0)
            for old in [
                subinterval
                for subinterval in counts
                if subinterval < current - SUBINTERVALS
            ]:
                del counts[old]
        overlap = 1 - (now / self._step_s - current)
        total = sum(counts.get(current - back, 0) for back in range(SUBINTERVALS))
        total += overlap * counts.get(current - SUBINTERVALS, 0)
        if total >= LIMIT_PER_S * WINDOW_S:
            return False
        self.messages += 2
        counts[current] = counts.get(current, 0) + 1
        self._shared[current] = self._shared.get(current, 0) + 1
        return True


STRATEGIES = {
    "equal_split": EqualSplit,
    "token_leases": TokenLeases,
    "subinterval_windows": SubintervalWindows,
}


def _arrivals(load: float) -> list[tuple[float, int]]:
    rng = Random(SEED)
    arrivals, at = [], 0.0
    while at < DURATION_S:
        at += rng.expovariate(load * LIMIT_PER_S)
        busiest = int(at / 10) % HOSTS
        host = busiest if rng.random() < BUSIEST_HOST_SHARE else rng.randrange(HOSTS)
        arrivals.append((at, host))
    return arrivals


def measure() -> list[Figure]:
    """Run all strategies at several loads in virtual time."""
    return [
        figure
        for load in LOADS
        for name, kind in STRATEGIES.items()
        for figure in _measure_strategy(name, kind(), load)
    ]


def _measure_strategy(name: str, strategy, load: float) -> list[Figure]:
    arrivals = _arrivals(load)
    window: deque[float] = deque()
    admitted, peak_admitted = 0, 0
    for at, host in arrivals:
        if strategy.admit(host, at):
            admitted += 1
            window.append(at)
            while window[0] <= at - WINDOW_S:
                window.popleft()
            peak_admitted = max(peak_admitted, len(window))
    admissible = min(len(arrivals), LIMIT_PER_S * DURATION_S)
    prefix = f"limits.{name}.load_{load:g}"
    has_target = name == "token_leases"
    note = (
        f"{HOSTS} hosts, {LIMIT_PER_S:g}/s, "
        f"{BUSIEST_HOST_SHARE:.0%} at one host, seed {SEED}"
    )
    return [
        Figure(
            f"{prefix}.over",
            peak_admitted / (LIMIT_PER_S * WINDOW_S) - 1,
            "of a 1 s window",
            note=note,
        ),
        Figure(
            f"{prefix}.under",
            max(0.0, 1 - admitted / admissible),
            "",
            TARGET_UNDER_ADMISSION if has_target and load > 1 else None,
        ),
        Figure(f"{prefix}.messages", strategy.messages / len(arrivals), "a request"),
    ]
