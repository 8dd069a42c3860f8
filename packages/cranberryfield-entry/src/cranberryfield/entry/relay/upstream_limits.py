"""Keeps the attempts of all relays within the limits that upstreams state."""

from collections.abc import Callable

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import NodeId, ServiceName, UpstreamId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.limits import StatedLimits, TokenLeaser
from cranberryfield.entry.limits.refusal_backlog import RefusalBacklog, record_refusal
from cranberryfield.entry.limits.stated_limits import (
    forget_limits,
    limit_of,
    record_answer,
)
from cranberryfield.entry.registry import RegistryTable

__all__ = ["UpstreamLimiter", "make_upstream_leaser"]

#: Smallest limit that is kept, in requests per second; without any request, no answer
#: could tell that the limit has ended.
MIN_RATE_PER_S = 0.1
#: Smallest capacity of the bucket of a limit, in requests. With less, a small limit is
#: not used up, as a token is lost while no host asks for one.
MIN_CAPACITY = 2.0
#: Time for the owner of a limit to reply, in seconds: another upstream may be free.
LEASE_TIMEOUT_S = 0.1
#: Fraction of its equal part of a limit that a relay uses without a leader. Hosts that
#: still reach the leader may use the whole limit.
FALLBACK_FRACTION = 0.5
FORGET_INTERVAL_S = 5.0

logger = structlog.get_logger(__name__)


def make_upstream_leaser(
    leader: Callable[[], NodeId | None],
    host_count: Callable[[], int],
    mesh: Mesh,
    clock: Clock,
) -> TokenLeaser:
    """Build the leaser of a relay; the leader of the control group owns all limits.

    Parameters
    ----------
    leader : callable
        Returns the leader, or None if it is unknown.
    host_count : callable
        Returns the number of relays.
    mesh : Mesh
        Links to other processes.
    clock : Clock
        Monotonic time that counts suspensions.
    """
    return TokenLeaser(
        lambda limit: leader(),
        host_count,
        mesh,
        clock,
        LEASE_TIMEOUT_S,
        FALLBACK_FRACTION,
    )


class UpstreamLimiter:
    """Admits attempts within the limits that upstreams state in their answers.

    Parameters
    ----------
    section : StatedLimits
        Limits known to this host.
    table : RegistryTable
        Announced upstreams.
    leaser : TokenLeaser
        Leases tokens of the limits.
    host_count : callable
        Returns the number of hosts that share the limits.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        section: StatedLimits,
        table: RegistryTable,
        leaser: TokenLeaser,
        host_count: Callable[[], int],
        clock: Clock,
    ):
        self._section = section
        self._table = table
        self._leaser = leaser
        self._host_count = host_count
        self._clock = clock
        self._backlogs: dict[ServiceName, RefusalBacklog] = {}

    def on_answer(
        self, record: UpstreamRecord, rate_per_s: float | None, sent_at: float
    ) -> None:
        """Record what an answer says of the limit of its upstream.

        Parameters
        ----------
        record : UpstreamRecord
            Upstream that answered.
        rate_per_s : float or None
            Limit that the answer states, in requests per second.
        sent_at : float
            Monotonic time in seconds at which the request was sent.
        """
        process = record.process
        if record_answer(self._section, process, rate_per_s, sent_at, self._clock()):
            logger.info(
                "upstream limit changed",
                upstream=record.upstream,
                incarnation=record.incarnation,
                rate_per_s=rate_per_s,
            )

    def exhausted_among(
        self, candidates: list[UpstreamRecord]
    ) -> frozenset[UpstreamId]:
        """Return the upstreams of whose limits no token is available at present."""
        if not self._section.limits:
            return frozenset()
        now = self._clock()
        return frozenset(
            one.upstream for one in candidates if self._refused_until(one) > now
        )

    async def acquire(self, record: UpstreamRecord) -> bool:
        """Take a token for an attempt; return whether the limit allows the attempt.

        An upstream without a limit needs no message.
        """
        rate_per_s = limit_of(self._section, record.process)
        if rate_per_s is None:
            return True
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        return await self._leaser.acquire(_limit_name(record), rate_per_s, MIN_CAPACITY)

    def put_back(self, record: UpstreamRecord) -> None:
        """Put back the token of an attempt that was not begun."""
        if limit_of(self._section, record.process) is not None:
            self._leaser.put_back(_limit_name(record))

    def retry_after_s(
        self, service: ServiceName, candidates: list[UpstreamRecord]
    ) -> float | None:
        """Record a refusal and return when its caller may come back, in seconds.

        Parameters
        ----------
        service : ServiceName
            Service of the refused request.
        candidates : list of UpstreamRecord
            Upstreams that might take it.

        Returns
        -------
        float or None
            Time until a token is available and this host's part of the limits covers
            the requests that were refused before; None if some upstream has no limit,
            or has a token.
        """
        if len(self.exhausted_among(candidates)) < len(candidates) or not candidates:
            return None
        rates = (limit_of(self._section, one.process) or 0.0 for one in candidates)
        total_per_s = sum(max(MIN_RATE_PER_S, rate) for rate in rates)
        backlog = self._backlogs.setdefault(service, RefusalBacklog())
        share_per_s = total_per_s / max(1, self._host_count())
        now = self._clock()
        next_s = min(self._refused_until(one) for one in candidates) - now
        return max(next_s, record_refusal(backlog, 1.0, share_per_s, now))

    async def run(self) -> None:
        """Forget the limits of upstreams that are gone, until cancelled."""
        while True:
            await anyio.sleep(FORGET_INTERVAL_S)
            forget_limits(self._section, self._table.is_known, self._clock())

    def _refused_until(self, record: UpstreamRecord) -> float:
        if limit_of(self._section, record.process) is None:
            return float("-inf")
        return self._leaser.refused_until(_limit_name(record))


def _limit_name(record: UpstreamRecord) -> str:
    return f"{record.upstream}\0{record.incarnation}"
