"""Token bucket of a rate limit and the leases that hosts take from it; no I/O."""

from dataclasses import dataclass
from enum import Enum
from math import ceil

__all__ = [
    "HostTokens",
    "KeeperTokens",
    "Taken",
    "lease_tokens",
    "next_token_s",
    "note_demand",
    "refill",
    "take_lease",
    "take_token",
    "tokens_wanted",
]

#: Capacity of a bucket, as a time at the full rate, in seconds.
BURST_S = 0.25
#: Demand that a host leases tokens for, as a time in seconds.
LEASE_S = 0.2
#: Minimum time before a host asks again after an empty lease, in seconds.
MIN_PAUSE_S = 0.05
#: Age of a lease at which its unused tokens are returned, in seconds.
KEEP_S = 0.3
#: Averaging window of the demand, in seconds.
DEMAND_S = 1.0


class Taken(Enum):
    """Decision of a host on one request."""

    ADMITTED = "admitted"
    ASK = "ask"
    REFUSED = "refused"


@dataclass(slots=True)
class KeeperTokens:
    """Token bucket of one limit at its owner.

    A new bucket is empty, since a new owner does not know how many tokens its
    predecessor leased.
    """

    tokens: float = 0.0
    at: float | None = None


@dataclass(slots=True)
class HostTokens:
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


def refill(
    keeper: KeeperTokens, rate_per_s: float, now: float, burst: float | None = None
) -> None:
    """Add the tokens accrued since the last call, up to the burst.

    Parameters
    ----------
    keeper : KeeperTokens
        Changed in place.
    rate_per_s : float
        Limit in requests per second.
    now : float
        Monotonic time in seconds.
    burst : float, optional
        Capacity of the bucket; by default the tokens of `BURST_S`.
    """
    elapsed_s = 0.0 if keeper.at is None else max(0.0, now - keeper.at)
    most = max(1.0, rate_per_s * BURST_S) if burst is None else burst
    keeper.tokens = min(most, keeper.tokens + elapsed_s * rate_per_s)
    keeper.at = now


def lease_tokens(
    keeper: KeeperTokens, rate_per_s: float, wanted: int, returned: int, now: float
) -> int:
    """Lease tokens to a host.

    Parameters
    ----------
    keeper : KeeperTokens
        Changed in place.
    rate_per_s : float
        Limit in requests per second.
    wanted : int
        Requested number of tokens.
    returned : int
        Unused tokens of the previous lease.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    int
        Number of leased tokens: at most half of the bucket, except for the last
        token, so that one host cannot lease all.
    """
    refill(keeper, rate_per_s, now)
    most = max(1.0, rate_per_s * BURST_S)
    keeper.tokens = min(most, keeper.tokens + returned)
    granted = min(wanted, int(max(1.0, keeper.tokens / 2)), int(keeper.tokens))
    keeper.tokens -= granted
    return granted


def next_token_s(keeper: KeeperTokens, rate_per_s: float) -> float:
    """Return the time until the next token is available, in seconds."""
    return max(MIN_PAUSE_S, (1.0 - keeper.tokens) / rate_per_s)


def note_demand(host: HostTokens, now: float) -> None:
    """Add a request to the average demand."""
    elapsed_s = max(0.0, now - host.demand_at)
    host.demand_per_s *= max(0.0, 1.0 - elapsed_s / DEMAND_S)
    host.demand_per_s += 1.0 / DEMAND_S
    host.demand_at = now


def take_token(host: HostTokens, now: float) -> Taken:
    """Decide on a request with the leased tokens of this host.

    Parameters
    ----------
    host : HostTokens
        Changed in place.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    Taken
        ``ASK`` if a new lease is needed. A refusal needs no message, since the owner
        has said that no token is available yet.
    """
    note_demand(host, now)
    if host.tokens > 0 and now < host.leased_at + KEEP_S:
        host.tokens -= 1
        return Taken.ADMITTED
    if now < host.refused_until:
        return Taken.REFUSED
    return Taken.ASK


def tokens_wanted(host: HostTokens) -> int:
    """Return the number of tokens to lease: the demand of `LEASE_S`."""
    return max(1, ceil(host.demand_per_s * LEASE_S))


def take_lease(host: HostTokens, granted: int, next_s: float, now: float) -> None:
    """Replace the previous lease."""
    host.tokens = granted
    host.leased_at = now
    host.refused_until = now + next_s if granted == 0 else float("-inf")
