"""Token bucket of a rate limit and the leases that hosts take from it; no I/O."""

from dataclasses import dataclass
from enum import Enum
from math import ceil

__all__ = [
    "LeasedTokens",
    "TokenBucket",
    "TokenDecision",
    "apply_lease",
    "bucket_capacity",
    "lease_size",
    "lease_tokens",
    "next_ask_s",
    "next_token_s",
    "record_demand",
    "refill",
    "try_acquire_token",
]

#: Capacity of a bucket, as a time at the full rate, in seconds.
BURST_S = 0.25
#: Demand that a host leases tokens for, as a time in seconds.
LEASE_DEMAND_S = 0.2
#: Minimum time before a host asks again after an empty lease, in seconds.
MIN_RETRY_S = 0.05
#: Requests for a lease that the owner receives for each token while many hosts wait for
#: one. More would cost messages, fewer would leave tokens unused.
ASKS_PER_TOKEN = 16
#: Maximum time before a host asks again because many hosts wait, in seconds.
MAX_SPREAD_S = 5.0
#: Age of a lease at which its unused tokens are returned, in seconds.
UNUSED_LEASE_TTL_S = 0.3
#: Averaging window of the demand, in seconds.
DEMAND_WINDOW_S = 1.0


class TokenDecision(Enum):
    """Decision of a host on one request."""

    ADMITTED = "admitted"
    ASK = "ask"
    REFUSED = "refused"


@dataclass(slots=True)
class TokenBucket:
    """Token bucket of one limit at its owner.

    A new bucket is empty, since a new owner does not know how many tokens its
    predecessor leased.
    """

    tokens: float = 0.0
    refilled_at: float | None = None


@dataclass(slots=True)
class LeasedTokens:
    """Tokens of one limit that an entry host has leased.

    Attributes
    ----------
    tokens : int
        Requests that may be admitted without asking the owner.
    leased_at : float
        Monotonic time in seconds of the last lease.
    refused_until : float
        Monotonic time in seconds before which the owner has no more tokens.
    demand_per_s : float
        Average number of requests per second on this host, as of `demand_at`.
    """

    tokens: int = 0
    leased_at: float = 0.0
    refused_until: float = float("-inf")
    demand_per_s: float = 0.0
    demand_at: float = 0.0


def bucket_capacity(rate_per_s: float, min_capacity: float = 1.0) -> float:
    """Return the capacity of a bucket: the tokens of `BURST_S`, or the minimum."""
    return max(min_capacity, rate_per_s * BURST_S)


def refill(
    bucket: TokenBucket, rate_per_s: float, now: float, burst: float | None = None
) -> None:
    """Add the tokens accrued since the last call, up to the burst.

    Parameters
    ----------
    bucket : TokenBucket
        Changed in place.
    rate_per_s : float
        Limit in requests per second.
    now : float
        Monotonic time in seconds.
    burst : float, optional
        Capacity of the bucket; by default the tokens of `BURST_S`.
    """
    elapsed_s = (
        0.0 if bucket.refilled_at is None else max(0.0, now - bucket.refilled_at)
    )
    capacity = bucket_capacity(rate_per_s) if burst is None else burst
    bucket.tokens = min(capacity, bucket.tokens + elapsed_s * rate_per_s)
    bucket.refilled_at = now


def lease_tokens(
    bucket: TokenBucket,
    rate_per_s: float,
    requested: int,
    returned: int,
    now: float,
    min_capacity: float = 1.0,
) -> int:
    """Lease tokens to a host.

    Parameters
    ----------
    bucket : TokenBucket
        Changed in place.
    rate_per_s : float
        Limit in requests per second.
    requested : int
        Requested number of tokens.
    returned : int
        Unused tokens of the previous lease.
    now : float
        Monotonic time in seconds.
    min_capacity : float
        Smallest capacity of the bucket, in tokens.

    Returns
    -------
    int
        Number of leased tokens: at most half of the bucket, except for the last
        token, so that one host cannot lease all.
    """
    capacity = bucket_capacity(rate_per_s, min_capacity)
    refill(bucket, rate_per_s, now, capacity)
    bucket.tokens = min(capacity, bucket.tokens + returned)
    granted = min(requested, int(max(1.0, bucket.tokens / 2)), int(bucket.tokens))
    bucket.tokens -= granted
    return granted


def next_token_s(bucket: TokenBucket, rate_per_s: float) -> float:
    """Return the time until the next token is available, in seconds."""
    return max(MIN_RETRY_S, (1.0 - bucket.tokens) / rate_per_s)


def next_ask_s(bucket: TokenBucket, rate_per_s: float, waiting_hosts: int) -> float:
    """Return the time after which a host that got no token asks again, in seconds.

    Parameters
    ----------
    bucket : TokenBucket
        Bucket of the limit.
    rate_per_s : float
        Limit in requests per second.
    waiting_hosts : int
        Number of hosts that got no token of late, with this one.

    Examples
    --------
    >>> [next_ask_s(TokenBucket(0.5), 1.0, hosts) for hosts in (1, 32, 360)]
    [0.5, 2.0, 5.0]
    """
    spread_s = min(MAX_SPREAD_S, waiting_hosts / (ASKS_PER_TOKEN * rate_per_s))
    return max(next_token_s(bucket, rate_per_s), spread_s)


def record_demand(leased: LeasedTokens, now: float) -> None:
    """Add a request to the average demand."""
    elapsed_s = max(0.0, now - leased.demand_at)
    leased.demand_per_s *= max(0.0, 1.0 - elapsed_s / DEMAND_WINDOW_S)
    leased.demand_per_s += 1.0 / DEMAND_WINDOW_S
    leased.demand_at = now


def try_acquire_token(leased: LeasedTokens, now: float) -> TokenDecision:
    """Decide on a request with the leased tokens of this host.

    Parameters
    ----------
    leased : LeasedTokens
        Changed in place.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    TokenDecision
        ``ASK`` if a new lease is needed. A refusal needs no message, since the owner
        has said that no token is available yet.
    """
    record_demand(leased, now)
    if leased.tokens > 0 and now < leased.leased_at + UNUSED_LEASE_TTL_S:
        leased.tokens -= 1
        return TokenDecision.ADMITTED
    if now < leased.refused_until:
        return TokenDecision.REFUSED
    return TokenDecision.ASK


def lease_size(leased: LeasedTokens) -> int:
    """Return the number of tokens to lease: the demand of `LEASE_DEMAND_S`."""
    return max(1, ceil(leased.demand_per_s * LEASE_DEMAND_S))


def apply_lease(leased: LeasedTokens, granted: int, next_s: float, now: float) -> None:
    """Replace the previous lease."""
    leased.tokens = granted
    leased.leased_at = now
    leased.refused_until = now + next_s if granted == 0 else float("-inf")
