"""Enforcement of `rate_limit_per_s` across all entry hosts."""

from collections.abc import Callable
from random import Random

import xxhash

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import ErrorKind, UnavailableError, WasRun
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.entry.limits.token_leaser import TokenLeaser, TokenOwner
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.retries.retry_after import jittered_retry_after_s

__all__ = ["SharedRateLimiter", "bucket_owner"]


def bucket_owner(limit: str, nodes: list[NodeId]) -> NodeId:
    """Return the node that owns the bucket of a limit; equal on all nodes."""
    return max(
        nodes, key=lambda node: xxhash.xxh64_intdigest(f"{node}\0{limit}".encode())
    )


class SharedRateLimiter:
    """Enforces shared rate limits on this host.

    The owner of a limit, selected by hash among the live hosts, has its token
    bucket and leases tokens to the other hosts.

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
        # Every host owns the limits that other hosts take it for the owner of.
        TokenOwner(mesh, lambda: 0, clock)
        self._leaser = TokenLeaser(
            self._choose_owner, lambda: len(live_nodes()), mesh, clock
        )

    async def admit(self, request: Request) -> None:
        """Admit a request if the rate limit of its workspace allows it.

        Parameters
        ----------
        request : Request
            Request to admit; its settings contain the limit, if any.

        Raises
        ------
        UnavailableError
            Of kind ``over_limit`` if no token is available; the request has not
            run.
        """
        rate = request.settings.rate_limit_per_s
        if rate is None:
            return
        limit = f"{request.workspace}\0{request.service}"
        if await self._leaser.acquire(limit, rate):
            return
        wait_s = max(0.0, self._leaser.refused_until(limit) - self._clock())
        raise UnavailableError(
            ErrorKind.OVER_LIMIT,
            f"{request.workspace} exceeds its limit of {rate:g} requests a second",
            was_run=WasRun.NO,
            retry_after_s=jittered_retry_after_s(wait_s, self._rng),
        )

    def _choose_owner(self, limit: str) -> NodeId | None:
        owner = bucket_owner(limit, self._live_nodes() or [self._own])
        return None if owner == self._own and self._is_isolated() else owner

    def _is_isolated(self) -> bool:
        """Return whether other hosts count as alive but none is linked to this one."""
        others = [node for node in self._live_nodes() if node != self._own]
        return bool(others) and not any(map(self._mesh.is_linked, others))
