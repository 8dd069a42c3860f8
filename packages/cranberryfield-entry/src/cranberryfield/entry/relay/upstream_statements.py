"""Applies what upstreams say of themselves in their answers."""

from collections.abc import Callable

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import UpstreamProcess
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.registry import RegistryTable
from cranberryfield.entry.relay.brittle_upstreams import (
    BrittleUpstreams,
    forget_brittle,
    record_brittle_answer,
    record_brittle_refusal,
)
from cranberryfield.entry.relay.loads import LoadSection
from cranberryfield.entry.relay.request import ResponseMetadata
from cranberryfield.entry.relay.stated_loads import (
    StatedLoad,
    forget_stated_loads,
    record_stated_load,
)
from cranberryfield.entry.relay.upstream_limits import UpstreamLimiter
from cranberryfield.entry.relay.upstream_pauses import (
    MAX_PAUSE_S,
    UpstreamPauses,
    forget_pauses,
    record_pause,
)

__all__ = ["UpstreamStatements"]

FORGET_INTERVAL_S = 5.0

logger = structlog.get_logger(__name__)


class UpstreamStatements:
    """Applies the limits, pauses and notices that answers carry.

    Parameters
    ----------
    limiter : UpstreamLimiter
        Takes the limits.
    pauses : UpstreamPauses
        Owned by this object.
    brittle : BrittleUpstreams
        Owned by this object.
    table : RegistryTable
        Announced upstreams.
    on_leaving : callable
        Called with the record of an upstream that says that it leaves.
    clock : Clock
        Monotonic time that counts suspensions.
    loads : LoadSection, optional
        Takes the loads.
    """

    def __init__(
        self,
        limiter: UpstreamLimiter,
        pauses: UpstreamPauses,
        brittle: BrittleUpstreams,
        table: RegistryTable,
        on_leaving: Callable[[UpstreamRecord], None],
        clock: Clock,
        loads: LoadSection | None = None,
    ):
        self._loads = loads or LoadSection()
        self._limiter = limiter
        self._pauses = pauses
        self._brittle = brittle
        self._table = table
        self._on_leaving = on_leaving
        self._clock = clock
        self._told_invalid: set[tuple[UpstreamProcess, str]] = set()

    @property
    def pauses(self) -> UpstreamPauses:
        """Pauses of upstreams."""
        return self._pauses

    @property
    def brittle(self) -> BrittleUpstreams:
        """Upstreams that bear few refusals."""
        return self._brittle

    def on_answer(
        self, record: UpstreamRecord, metadata: ResponseMetadata, sent_at: float
    ) -> None:
        """Apply what the head of an answer says of its upstream.

        Parameters
        ----------
        record : UpstreamRecord
            Upstream that answered.
        metadata : ResponseMetadata
            Metadata of the answer.
        sent_at : float
            Monotonic time in seconds at which the request was sent.
        """
        for name, value in metadata.invalid_fields:
            self._tell_invalid(record, name, value)
        if not any(name == "limit" for name, _ in metadata.invalid_fields):
            self._limiter.on_answer(record, metadata.limit_per_s, sent_at)
        if not any(name == "brittle" for name, _ in metadata.invalid_fields):
            self._record_brittle(record, metadata.tolerated_refusals_per_s, sent_at)
        self._record_load(record, metadata.load, sent_at)
        if metadata.is_leaving:
            self._on_leaving(record)
        if metadata.pause_s is not None:
            self._pause(record, metadata.pause_s)

    def on_refusal(self, record: UpstreamRecord, host_count: int) -> None:
        """Keep away from a brittle upstream that has refused a request for a while."""
        record_brittle_refusal(self._brittle, record.process, host_count, self._clock())

    def _record_brittle(
        self, record: UpstreamRecord, refusals_per_s: float | None, sent_at: float
    ) -> None:
        now = self._clock()
        if record_brittle_answer(
            self._brittle, record.process, refusals_per_s, sent_at, now
        ):
            logger.info(
                "upstream is brittle, or no longer",
                upstream=record.upstream,
                incarnation=record.incarnation,
                tolerated_refusals_per_s=refusals_per_s,
            )

    def _record_load(
        self, record: UpstreamRecord, load: StatedLoad | None, sent_at: float
    ) -> None:
        own = len(self._loads.load_of(record.upstream).own_attempts)
        now = self._clock()
        if record_stated_load(
            self._loads.stated, record.process, load, own, sent_at, now
        ):
            logger.info(
                "upstream states its load",
                upstream=record.upstream,
                incarnation=record.incarnation,
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
                time_ratio=load.time_ratio,
            )

    def _pause(self, record: UpstreamRecord, pause_s: float) -> None:
        if record_pause(self._pauses, record.process, pause_s, self._clock()):
            logger.info(
                "upstream paused",
                upstream=record.upstream,
                incarnation=record.incarnation,
                pause_ms=round(1000 * min(pause_s, MAX_PAUSE_S)),
                asked_ms=round(1000 * pause_s),
            )

    def _tell_invalid(self, record: UpstreamRecord, name: str, value: str) -> None:
        """Log an invalid statement, once for each upstream process and field."""
        key = (record.process, name)
        if key in self._told_invalid:
            return
        self._told_invalid.add(key)
        logger.warning(
            "upstream makes an invalid statement",
            upstream=record.upstream,
            incarnation=record.incarnation,
            field=name,
            value=value,
        )

    async def run(self) -> None:
        """Forget the statements of upstreams that are gone, until cancelled."""
        while True:
            await anyio.sleep(FORGET_INTERVAL_S)
            is_known = self._table.is_known
            forget_pauses(self._pauses, is_known, self._clock())
            forget_brittle(self._brittle, is_known)
            forget_stated_loads(self._loads.stated, is_known)
            self._told_invalid = {one for one in self._told_invalid if is_known(one[0])}
