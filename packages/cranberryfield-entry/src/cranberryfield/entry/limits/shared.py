"""Applies `rate_limit_per_s` over all entry hosts."""

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
from cranberryfield.entry.retries.retry_after import jittered_retry_after_s

__all__ = ["SharedLimits", "keeper_of"]

ASK_TIMEOUT_S = 0.3
#: Without an answer of the keeper this host uses its equal part for this time.
FALLBACK_S = 1.0
#: Limits remembered; those unused longest are forgotten.
MAX_LIMITS = 1000
MS_PER_S = 1000

LimitName = tuple[WorkspaceId, ServiceName]


def keeper_of(name: LimitName, nodes: list[NodeId]) -> NodeId:
    """Return the node that keeps a limit: the same on all nodes."""
    return max(
        nodes, key=lambda node: xxhash.xxh64_intdigest(f"{node}\0{name}".encode())
    )


class SharedLimits:
    """Takes this host's part in all shared limits.

    The keeper of a limit, chosen by hash among the live hosts, has its bucket
    and leases tokens from it. A host that is told that there are none refuses
    without further messages until the time it was told. While the keeper
    cannot be reached, each host admits an equal part of the limit.

    Parameters
    ----------
    own : NodeId
        This node.
    live_nodes : callable
        Returns the entry hosts held to be alive, this one included.
    mesh : Mesh
        Links to other processes.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Seeded generator.
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
        """Count a request against its workspace's limit.

        Parameters
        ----------
        request : Request
            The request; its settings give the limit, if any.

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
                f"{request.workspace} has more than {rate:g} requests a second",
                was_run=WasRun.NO,
                retry_after_s=jittered_retry_after_s(wait_s, self._rng),
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
        # Another request may have brought tokens in the meantime.
        tokens = host.tokens + lease.granted
        take_lease(host, tokens, lease.next_ms / MS_PER_S, now)
        if host.tokens == 0:
            return False
        host.tokens -= 1
        return True

    async def _lease_from(self, keeper: NodeId, ask: LeaseTokens) -> TokenLease:
        if keeper == self._own:
            if self._is_isolated():
                raise UnavailableError(ErrorKind.NOT_READY, "no other host is linked")
            return self._on_lease_tokens(self._own, ask)
        if self._clock() < self._unreachable_until.get(keeper, 0.0):
            raise UnavailableError(ErrorKind.NOT_READY, f"{keeper} did not answer")
        return await self._mesh.request(keeper, ask, ASK_TIMEOUT_S)

    def _is_isolated(self) -> bool:
        """Say whether the others, held to be alive, cannot reach this keeper."""
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
    """Return an entry, a new one if there is none, as the latest used."""
    entry = table.pop(name, None)
    table[name] = entry if entry is not None else kind()
    if len(table) > MAX_LIMITS:
        del table[next(iter(table))]
    return table[name]
