"""Leases of tokens between the owner of a limit and the hosts that share it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import (
    ControlError,
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
)
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.limits import LeaseTokens, TokenLease
from cranberryfield.entry.limits.token_bucket import (
    MAX_SPREAD_S,
    LeasedTokens,
    TokenBucket,
    TokenDecision,
    apply_lease,
    lease_size,
    lease_tokens,
    next_ask_s,
    refill,
    try_acquire_token,
)

__all__ = ["TokenLeaser", "TokenOwner"]

LEASE_TIMEOUT_S = 0.3
#: Time before an owner that did not reply is asked again, in seconds. This host
#: admits a part of the limit in the meantime.
FALLBACK_S = 1.0
#: Maximum number of limits in memory; the least recently used are evicted.
MAX_TRACKED_LIMITS = 1000
MS_PER_S = 1000


@dataclass(slots=True)
class _OwnedBucket:
    """Bucket of a limit, and the hosts that got no token, by the time of that."""

    bucket: TokenBucket = field(default_factory=TokenBucket)
    waiting: dict[NodeId, float] = field(default_factory=dict)

    def count_waiting(self, now: float) -> int:
        """Return the number of hosts that got no token of late."""
        self.waiting = {
            host: at for host, at in self.waiting.items() if now - at <= MAX_SPREAD_S
        }
        return len(self.waiting)


class TokenOwner:
    """Has the token buckets of the limits that this host owns.

    Parameters
    ----------
    mesh : Mesh
        Links to other processes.
    owner_term : callable
        Returns the term in which this host owns limits; None if it owns none. The
        buckets of a new term are empty, since this host does not know what the
        owner before it has leased.
    clock : Clock
        Monotonic time.
    """

    def __init__(self, mesh: Mesh, owner_term: Callable[[], int | None], clock: Clock):
        self._owner_term = owner_term
        self._clock = clock
        self._term: int | None = None
        self._buckets: dict[str, _OwnedBucket] = {}
        mesh.handle(LeaseTokens, self._on_lease_tokens)

    def _on_lease_tokens(self, sender: NodeId, ask: LeaseTokens) -> TokenLease:
        term = self._owner_term()
        if term is None:
            raise ControlError(ErrorKind.NO_QUORUM, "this host owns no limits")
        if term != self._term:
            self._term, self._buckets = term, {}
        now = self._clock()
        owned = _get_or_create(self._buckets, ask.limit, _OwnedBucket)
        granted = lease_tokens(
            owned.bucket,
            ask.rate_per_s,
            ask.wanted,
            ask.returned,
            now,
            ask.min_capacity,
        )
        if granted:
            owned.waiting.pop(sender, None)
        else:
            owned.waiting[sender] = now
        next_s = next_ask_s(owned.bucket, ask.rate_per_s, owned.count_waiting(now))
        return TokenLease(granted, int(next_s * MS_PER_S) + 1)


class TokenLeaser:
    """Leases tokens of limits from their owners.

    A host whose lease was refused refuses requests without further messages for the
    time that the owner returned. While the owner is unreachable, each host admits a
    part of the limit.

    Parameters
    ----------
    choose_owner : callable
        Returns the owner of a limit by its name; None if none is in reach.
    host_count : callable
        Returns the number of hosts that share the limits.
    mesh : Mesh
        Links to other processes.
    clock : Clock
        Monotonic time.
    timeout_s : float
        Time for the owner to reply, in seconds.
    fallback_fraction : float
        Fraction of its equal part that a host admits without the owner, which may
        go on to serve others.
    """

    def __init__(
        self,
        choose_owner: Callable[[str], NodeId | None],
        host_count: Callable[[], int],
        mesh: Mesh,
        clock: Clock,
        timeout_s: float = LEASE_TIMEOUT_S,
        fallback_fraction: float = 1.0,
    ):
        self._choose_owner = choose_owner
        self._host_count = host_count
        self._mesh = mesh
        self._clock = clock
        self._timeout_s = timeout_s
        self._fallback_fraction = fallback_fraction
        self._leased: dict[str, LeasedTokens] = {}
        self._fallback_buckets: dict[str, TokenBucket] = {}
        self._unreachable_until: dict[NodeId, float] = {}

    async def acquire(
        self, limit: str, rate_per_s: float, min_capacity: float = 1.0
    ) -> bool:
        """Take a token of a limit; return whether there was one.

        Parameters
        ----------
        limit : str
            Name of the limit.
        rate_per_s : float
            The limit, in requests per second.
        min_capacity : float
            Smallest capacity of its bucket, in tokens.
        """
        leased = _get_or_create(self._leased, limit, LeasedTokens)
        decision = try_acquire_token(leased, self._clock())
        if decision is not TokenDecision.ASK:
            return decision is TokenDecision.ADMITTED
        returned, leased.tokens = leased.tokens, 0
        ask = LeaseTokens(limit, rate_per_s, lease_size(leased), returned, min_capacity)
        owner = self._choose_owner(limit)
        try:
            lease = await self._lease_from(owner, ask)
        except CranberryfieldError:
            if owner is not None and not self._is_unreachable(owner):
                self._unreachable_until[owner] = self._clock() + FALLBACK_S
            return self._acquire_locally(limit, rate_per_s, leased)
        self._fallback_buckets.pop(limit, None)
        now = self._clock()
        # A concurrent request may have leased tokens in the meantime.
        tokens = leased.tokens + lease.granted
        apply_lease(leased, tokens, lease.next_ms / MS_PER_S, now)
        if leased.tokens == 0:
            return False
        leased.tokens -= 1
        return True

    def put_back(self, limit: str) -> None:
        """Put back a token that was not used."""
        if limit in self._leased:
            self._leased[limit].tokens += 1

    def refused_until(self, limit: str) -> float:
        """Return the monotonic time in seconds before which no token is available."""
        leased = self._leased.get(limit)
        return float("-inf") if leased is None else leased.refused_until

    async def _lease_from(self, owner: NodeId | None, ask: LeaseTokens) -> TokenLease:
        if owner is None or self._is_unreachable(owner):
            raise UnavailableError(ErrorKind.NOT_READY, f"{owner} is not in reach")
        return await self._mesh.request(owner, ask, self._timeout_s)

    def _is_unreachable(self, owner: NodeId) -> bool:
        return self._clock() < self._unreachable_until.get(owner, 0.0)

    def _acquire_locally(
        self, limit: str, rate_per_s: float, leased: LeasedTokens
    ) -> bool:
        bucket = _get_or_create(self._fallback_buckets, limit, TokenBucket)
        part = self._fallback_fraction * rate_per_s / max(1, self._host_count())
        now = self._clock()
        refill(bucket, part, now)
        if bucket.tokens < 1.0:
            wait_s = min(FALLBACK_S, (1.0 - bucket.tokens) / part)
            leased.refused_until = now + wait_s
            return False
        bucket.tokens -= 1.0
        return True


def _get_or_create(table: dict, name: str, factory: type):
    """Return an entry, created if absent, and mark it as most recently used."""
    entry = table.pop(name, None)
    table[name] = entry if entry is not None else factory()
    if len(table) > MAX_TRACKED_LIMITS:
        del table[next(iter(table))]
    return table[name]
