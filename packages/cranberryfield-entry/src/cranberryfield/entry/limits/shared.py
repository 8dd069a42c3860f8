"""Enforcement of `rate_limit_per_s` across all entry hosts."""

from collections.abc import Callable
from random import Random

import xxhash

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    WasRun,
)
from cranberryfield.core.ids import NodeId, ServiceName, WorkspaceId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.limits import LeaseTokens, TokenLease
from cranberryfield.entry.limits.tokens import (
    HostTokens,
    KeeperTokens,
    Taken,
    lease_tokens,
    next_token_s,
    refill,
    take_lease,
    take_token,
    tokens_wanted,
)
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.retries.spread import spread_retry_after_s

__all__ = ["SharedLimits", "keeper_of"]

ASK_TIMEOUT_S = 0.3
#: Time before an owner that did not reply is asked again, in seconds. This host
#: admits its equal part of the limit in the meantime.
FALLBACK_S = 1.0
#: Maximum number of limits in memory; the least recently used are evicted.
MAX_LIMITS = 1000
MS_PER_S = 1000

LimitName = tuple[WorkspaceId, ServiceName]


def keeper_of(name: LimitName, nodes: list[NodeId]) -> NodeId:
    """Return the node that owns the bucket of a limit; equal on all nodes."""
    return max(
        nodes, key=lambda node: xxhash.xxh64_intdigest(f"{node}\0{name}".encode())
    )


class SharedLimits:
    """Enforces shared rate limits on this host.

    The owner of a limit, selected by hash among the live hosts, has its token
    bucket and leases tokens to the other hosts. A host whose lease was refused
    refuses requests without further messages for the time that the owner returned.
    While the owner is unreachable, each host admits an equal part of the limit.

    Parameters
    ----------
    own : NodeId
        This node.
    live_nodes : callable
        Returns the entry hosts considered alive, including this one.
    mesh : Mesh
        Links to other processes.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Seeded generator for the jitter of retry delays.
    """

    def __init__(
        self,
        own: NodeId,
        live_nodes: Callable[[], list[NodeId]],
        mesh: Mesh,
        clock: Clock,
        rng: Random,
    ):
        self._own = own
        self._live_nodes = live_nodes
        self._mesh = mesh
        self._clock = clock
        self._rng = rng
        self._hosts: dict[LimitName, HostTokens] = {}
        self._keepers: dict[LimitName, KeeperTokens] = {}
        self._fallbacks: dict[LimitName, KeeperTokens] = {}
        self._unreachable_until: dict[NodeId, float] = {}
        mesh.handle(LeaseTokens, self._on_lease_tokens)

    async def admit(self, request: Request) -> None:
        """Admit a request if the rate limit of its workspace allows it.

        Parameters
        ----------
        request : Request
            Request to admit; its settings contain the limit, if any.

        Raises
        ------
        UnavailableError
            Of kind ``over_limit``; the request has not run.
        """
        rate = request.settings.rate_limit_per_s
        if rate is None:
            return
        name = (request.workspace, request.service)
        host = _remembered(self._hosts, name, HostTokens)
        taken = take_token(host, self._clock())
        if taken is Taken.ASK and await self._ask(name, host, rate):
            taken = Taken.ADMITTED
        if taken is not Taken.ADMITTED:
            wait_s = max(0.0, host.refused_until - self._clock())
            raise UnavailableError(
                ErrorKind.OVER_LIMIT,
                f"{request.workspace} exceeds its limit of {rate:g} requests a second",
                was_run=WasRun.NO,
                retry_after_s=spread_retry_after_s(wait_s, self._rng),
            )

    async def _ask(self, name: LimitName, host: HostTokens, rate: float) -> bool:
        returned, host.tokens = host.tokens, 0
        ask = LeaseTokens(*name, rate, tokens_wanted(host), returned)
        keeper = keeper_of(name, self._live_nodes() or [self._own])
        try:
            lease = await self._lease_from(keeper, ask)
        except CranberryfieldError:
            self._unreachable_until[keeper] = self._clock() + FALLBACK_S
            return self._take_equal_part(name, rate)
        now = self._clock()
        # A concurrent request may have leased tokens in the meantime.
        tokens = host.tokens + lease.granted
        take_lease(host, tokens, lease.next_ms / MS_PER_S, now)
        if host.tokens == 0:
            return False
        host.tokens -= 1
        return True

    async def _lease_from(self, keeper: NodeId, ask: LeaseTokens) -> TokenLease:
        if keeper == self._own:
            if self._is_isolated():
                raise UnavailableError(
                    ErrorKind.NOT_READY, "this host has no link to another entry host"
                )
            return self._on_lease_tokens(self._own, ask)
        if self._clock() < self._unreachable_until.get(keeper, 0.0):
            raise UnavailableError(
                ErrorKind.NOT_READY, f"{keeper} did not reply recently"
            )
        return await self._mesh.request(keeper, ask, ASK_TIMEOUT_S)

    def _is_isolated(self) -> bool:
        """Return whether no other live host has a link to this one."""
        others = [node for node in self._live_nodes() if node != self._own]
        return bool(others) and not any(map(self._mesh.is_linked, others))

    def _take_equal_part(self, name: LimitName, rate: float) -> bool:
        bucket = _remembered(self._fallbacks, name, KeeperTokens)
        part = rate / max(1, len(self._live_nodes()))
        refill(bucket, part, self._clock())
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _on_lease_tokens(self, sender: NodeId, ask: LeaseTokens) -> TokenLease:
        name = (ask.workspace, ask.service)
        keeper = _remembered(self._keepers, name, KeeperTokens)
        granted = lease_tokens(
            keeper, ask.rate_per_s, ask.wanted, ask.returned, self._clock()
        )
        next_ms = int(next_token_s(keeper, ask.rate_per_s) * MS_PER_S) + 1
        return TokenLease(granted, next_ms)


def _remembered(table: dict, name: LimitName, kind: type):
    """Return an entry, created if absent, and mark it as most recently used."""
    entry = table.pop(name, None)
    table[name] = entry if entry is not None else kind()
    if len(table) > MAX_LIMITS:
        del table[next(iter(table))]
    return table[name]
