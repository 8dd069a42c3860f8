"""Leases of tokens: pure decisions of the keeper and of the hosts."""

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

#: Tokens that may gather, as a time at the full rate, in seconds.
BURST_S = 0.25
#: A host asks for its own demand of this time, in seconds.
LEASE_S = 0.2
#: A host that got nothing asks again after this time at the earliest.
MIN_PAUSE_S = 0.05
#: Unused tokens are given back after this time, in seconds.
KEEP_S = 0.3
#: Time over which demand is averaged, in seconds.
DEMAND_S = 1.0


class Taken(Enum):
    """What a host may do with a request."""

    ADMITTED = "admitted"
    ASK = "ask"
    REFUSED = "refused"


@dataclass(slots=True)
class KeeperTokens:
    """The keeper's bucket for one limit; a new one is empty.

    A keeper that has taken over does not know what its predecessor leased, so
    it starts without tokens.
    """

    tokens: float = 0.0
    at: float | None = None


@dataclass(slots=True)
class HostTokens:
    """What one entry host holds of one limit.

    Attributes
    ----------
    tokens : int
        Requests that it may admit without asking.
    leased_at : float
        Monotonic time in seconds of the last lease.
    refused_until : float
        Monotonic time in seconds before which the keeper has no more.
    demand_per_s : float
        Requests a second that callers want here, as of `demand_at`.
    """

    tokens: int = 0
    leased_at: float = 0.0
    refused_until: float = float("-inf")
    demand_per_s: float = 0.0
    demand_at: float = 0.0


def refill(
    keeper: KeeperTokens, rate_per_s: float, now: float, burst: float | None = None
) -> None:
    """Add the tokens of the time since the last call, up to the burst.

    Parameters
    ----------
    keeper : KeeperTokens
        Changed in place.
    rate_per_s : float
        The limit.
    now : float
        Monotonic time in seconds.
    burst : float, optional
        Most tokens that may gather; by default those of a short time.
    """
    elapsed_s = 0.0 if keeper.at is None else max(0.0, now - keeper.at)
    most = max(1.0, rate_per_s * BURST_S) if burst is None else burst
    keeper.tokens = min(most, keeper.tokens + elapsed_s * rate_per_s)
    keeper.at = now


def lease_tokens(
    keeper: KeeperTokens, rate_per_s: float, wanted: int, returned: int, now: float
) -> int:
    """Return how many tokens a host gets.

    Parameters
    ----------
    keeper : KeeperTokens
        Changed in place.
    rate_per_s : float
        The limit.
    wanted : int
        Tokens asked for.
    returned : int
        Unused tokens that come back.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    int
        At most half of what there is, but for the last token, so that one
        host cannot hold all.
    """
    refill(keeper, rate_per_s, now)
    most = max(1.0, rate_per_s * BURST_S)
    keeper.tokens = min(most, keeper.tokens + returned)
    granted = min(wanted, int(max(1.0, keeper.tokens / 2)), int(keeper.tokens))
    keeper.tokens -= granted
    return granted


def next_token_s(keeper: KeeperTokens, rate_per_s: float) -> float:
    """Return the time after which asking again may help, in seconds."""
    return max(MIN_PAUSE_S, (1.0 - keeper.tokens) / rate_per_s)


def note_demand(host: HostTokens, now: float) -> None:
    """Count one request that wants to be admitted."""
    elapsed_s = max(0.0, now - host.demand_at)
    host.demand_per_s *= max(0.0, 1.0 - elapsed_s / DEMAND_S)
    host.demand_per_s += 1.0 / DEMAND_S
    host.demand_at = now


def take_token(host: HostTokens, now: float) -> Taken:
    """Decide on one request with what this host holds.

    Parameters
    ----------
    host : HostTokens
        Changed in place.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    Taken
        A refusal needs no message: the keeper said that there is no more yet.
    """
    note_demand(host, now)
    if host.tokens > 0 and now < host.leased_at + KEEP_S:
        host.tokens -= 1
        return Taken.ADMITTED
    if now < host.refused_until:
        return Taken.REFUSED
    return Taken.ASK


def tokens_wanted(host: HostTokens) -> int:
    """Return how many tokens to ask for: those of a short time of demand."""
    return max(1, ceil(host.demand_per_s * LEASE_S))


def take_lease(host: HostTokens, granted: int, next_s: float, now: float) -> None:
    """Put a lease in place of what was held before."""
    host.tokens = granted
    host.leased_at = now
    host.refused_until = now + next_s if granted == 0 else float("-inf")
