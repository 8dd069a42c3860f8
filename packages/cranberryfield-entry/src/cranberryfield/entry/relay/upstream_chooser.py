"""Chooses the upstream of each attempt, apart from suspects and within limits."""

from collections.abc import Callable

import anyio

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import UnavailableError
from cranberryfield.core.ids import DataCentre, NodeId, UpstreamId
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.registry import RegistryTable, doubtful_among
from cranberryfield.entry.relay.brittle_upstreams import (
    BrittleUpstreams,
    without_room_among,
)
from cranberryfield.entry.relay.loads import LoadSection
from cranberryfield.entry.relay.quarantine import RelayQuarantine
from cranberryfield.entry.relay.request import RelayRequest
from cranberryfield.entry.relay.request_state import RelayRequestState
from cranberryfield.entry.relay.stream_origins import may_go_on
from cranberryfield.entry.relay.upstream_limits import UpstreamLimiter
from cranberryfield.entry.relay.upstream_pauses import UpstreamPauses, paused_among
from cranberryfield.entry.relay.upstream_selection import (
    RelayCostModel,
    choose_relay_upstream,
)
from cranberryfield.entry.rollouts import RolloutTraffic
from cranberryfield.entry.slots.asks import SlotRequirements
from cranberryfield.entry.slots.client import SlotClient

__all__ = ["ROOM_POLL_S", "RelayUpstreamChooser"]

#: Interval at which a request looks for an upstream that it may run on, in seconds.
UPSTREAM_POLL_S = 0.05
#: Time for which a request waits for an upstream while all have crashed, in seconds;
#: they are back after a few.
MAX_RECOVERY_WAIT_S = 2.0
#: Fraction of its time left for which a request waits for room at brittle upstreams,
#: and the interval at which it looks for it, in seconds.
ROOM_WAIT_FRACTION = 0.25
ROOM_POLL_S = 0.02


class RelayUpstreamChooser:
    """Chooses upstreams by expected time to the first event.

    Parameters
    ----------
    table : RegistryTable
        Announced upstreams.
    loads : LoadSection
        Their load.
    quarantine : RelayQuarantine
        Knows crashed upstreams, and reserves upstreams for suspects.
    limiter : UpstreamLimiter
        Keeps attempts within the limits that upstreams state.
    pauses : UpstreamPauses
        Upstreams that want no requests for a while.
    brittle : BrittleUpstreams
        Upstreams that bear few refusals.
    host : NodeId
        This host.
    host_count : callable
        Returns the number of hosts that send requests to the upstreams.
    data_centre : DataCentre
        Data centre of this host.
    clock : Clock
        Monotonic time.
    rollouts : RolloutTraffic
        Restricts attempts to the versions that they may use.
    slots : SlotClient, optional
        Takes slots of services that relays share.
    """

    def __init__(
        self,
        table: RegistryTable,
        loads: LoadSection,
        quarantine: RelayQuarantine,
        limiter: UpstreamLimiter,
        pauses: UpstreamPauses,
        brittle: BrittleUpstreams,
        host: NodeId,
        host_count: Callable[[], int],
        data_centre: DataCentre,
        clock: Clock,
        rollouts: RolloutTraffic,
        slots: SlotClient | None = None,
    ):
        self._table = table
        self._loads = loads
        self._quarantine = quarantine
        self._limiter = limiter
        self._pauses = pauses
        self._brittle = brittle
        self._host = host
        self._host_count = host_count
        self._data_centre = data_centre
        self._clock = clock
        self._rollouts = rollouts
        self._slots = slots
        self._model = RelayCostModel()

    async def choose(
        self, request: RelayRequest, state: RelayRequestState
    ) -> UpstreamRecord | None:
        """Choose an upstream that a request may run on.

        A suspect waits for one that runs no other suspect. A request that has lost a
        run to a crash waits for a while if all others have crashed too.

        Parameters
        ----------
        request : RelayRequest
            The request.
        state : RelayRequestState
            Its attempts so far.

        Returns
        -------
        UpstreamRecord or None
            The upstream, reserved for a suspect, with a token of its limit and a
            shared slot; None if all were tried, are at their limits, or want no
            requests.

        Raises
        ------
        UnavailableError
            If no shared slot is free in time.
        """
        reserved_for_others: set[UpstreamId] = set()
        now = self._clock()
        wait_until = now + (MAX_RECOVERY_WAIT_S if state.lost_runs else 0.0)
        room_until = now + ROOM_WAIT_FRACTION * (request.deadline - now)
        isolate_until = self._quarantine.isolate_until(
            state.fingerprint, request.deadline
        )
        while True:
            has_begun = state.origin is not None
            exposure = self._rollouts.expose(
                request.service,
                may_go_on(state.origin, self._table.active_upstreams(request.service)),
                has_begun,
            )
            candidates = exposure.candidates
            crashed = self._quarantine.crashed_among(candidates)
            now = self._clock()
            without_room = without_room_among(
                self._brittle,
                candidates,
                self._loads,
                self._host,
                self._host_count(),
                now,
            )
            unavailable = reserved_for_others.union(
                self._limiter.exhausted_among(candidates),
                paused_among(self._pauses, candidates, now),
                without_room,
            )
            record = self._choose_preferred(
                request, state, exposure.preferred, crashed, unavailable
            ) or self._choose_now(request, state, candidates, crashed, unavailable)
            is_down = record is None or record.upstream in crashed
            may_get_room = bool(without_room) or exposure.is_pending
            lacks_room = record is None and may_get_room and now < room_until
            if lacks_room or (is_down and (reserved_for_others or now < wait_until)):
                reserved_for_others.clear()
                poll_s = ROOM_POLL_S if lacks_room else UPSTREAM_POLL_S
                state.waited_s += poll_s
                await anyio.sleep(poll_s)
                continue
            if record is None:
                return None
            if self._slots is not None and self._slots.is_shared(request.service):
                try:
                    record = await self._take_slot(
                        request,
                        state,
                        candidates,
                        unavailable,
                        record,
                        reserved_for_others,
                    )
                except UnavailableError:
                    if state.may_have_run or state.fallback_response is not None:
                        return None
                    raise
                if record is None:
                    continue
            if self._clock() < isolate_until and not await self._quarantine.reserve(
                state.fingerprint, record.upstream, request.deadline
            ):
                self.release(request)
                reserved_for_others.add(record.upstream)
                continue
            may_run = False
            try:
                may_run = await self._limiter.acquire(record)
                if may_run and not self._has_valid_slot(request):
                    self._limiter.put_back(record)
                    may_run = False
            finally:
                # Also if the caller leaves while the owner of the limit is asked.
                if not may_run:
                    self._quarantine.release(state.fingerprint, record.upstream)
                    self.release(request)
            if not may_run:
                continue
            if self._rollouts.take(record, has_begun):
                return record
            self._quarantine.release(state.fingerprint, record.upstream)
            self._limiter.put_back(record)
            self.release(request)

    def _choose_preferred(
        self,
        request: RelayRequest,
        state: RelayRequestState,
        preferred: list[UpstreamRecord],
        crashed: frozenset[UpstreamId],
        unavailable: set[UpstreamId],
    ) -> UpstreamRecord | None:
        """Choose one of the preferred upstreams, unless all have failed or are full.

        A version that is to get more than its upstreams take would look slow.
        """
        if not preferred:
            return None
        failed = crashed | doubtful_among(self._table, preferred)
        full = {
            one.upstream
            for one in preferred
            if self._loads.load_of(one.upstream).in_flight >= one.capacity
        }
        record = self._choose_now(
            request, state, preferred, crashed, unavailable | failed | full
        )
        if record is None:
            return None
        is_usable = self._loads.load_of(record.upstream).backoff_until <= self._clock()
        return record if is_usable else None

    async def _take_slot(
        self,
        request: RelayRequest,
        state: RelayRequestState,
        candidates: list[UpstreamRecord],
        unavailable: set[UpstreamId],
        local_choice: UpstreamRecord,
        unusable: set[UpstreamId],
    ) -> UpstreamRecord | None:
        """Wait for a slot; None if it is of an upstream that this relay cannot use.

        Such an upstream is added to `unusable`.
        """
        began = self._clock()
        avoided = doubtful_among(self._table, candidates).union(
            self._quarantine.crashed_among(candidates),
            unavailable,
            (
                one.upstream
                for one in candidates
                if one.process in state.tried_processes
                or self._loads.load_of(one.upstream).backoff_until > began
            ),
        )
        usable = {one.process for one in candidates if one.upstream not in avoided}
        usable.add(local_choice.process)
        known = self._table.active_upstreams(request.service)
        excluded = [one.upstream for one in known if one.process not in usable]
        requirements = SlotRequirements(
            request.service,
            request.workspace.name if request.workspace is not None else "",
            request.rank,
            request.arrived_at,
            request.deadline,
            int(request.route.target_ms or 0),
            request.affinity_key or "",
            tuple(excluded),
        )
        upstream, incarnation = await self._slots.take(
            _slot_key(request), requirements, local_choice
        )
        state.waited_s += self._clock() - began
        for one in self._table.active_upstreams(request.service):
            if one.process == (upstream, incarnation) and one.process in usable:
                return one
        self.release(request)
        unusable.add(upstream)
        return None

    def _has_valid_slot(self, request: RelayRequest) -> bool:
        return self._slots is None or self._slots.is_usable(_slot_key(request))

    def release(self, request: RelayRequest, was_refused: bool = False) -> None:
        """Give back the shared slot of a request, if it has one.

        Parameters
        ----------
        request : RelayRequest
            The request.
        was_refused : bool
            Whether the upstream has refused the attempt.
        """
        if self._slots is not None:
            self._slots.release(_slot_key(request), was_refused)

    def _choose_now(
        self,
        request: RelayRequest,
        state: RelayRequestState,
        candidates: list[UpstreamRecord],
        crashed: frozenset[UpstreamId],
        unavailable: set[UpstreamId],
    ) -> UpstreamRecord | None:
        """Choose an upstream; one that is probably gone only if there is no other."""
        now = self._clock()
        doubtful = crashed | doubtful_among(self._table, candidates)

        def choose(excluded: set[UpstreamId]) -> UpstreamRecord | None:
            return choose_relay_upstream(
                candidates,
                self._loads,
                request,
                frozenset(excluded),
                self._data_centre,
                now,
                self._model,
            )

        excluded = unavailable.union(
            record.upstream
            for record in candidates
            if record.process in state.tried_processes
        )
        if state.origin is not None:
            # What has taken the place of a crashed upstream may be another version.
            excluded |= crashed
        record = choose(excluded | doubtful)
        is_usable = (
            record is not None
            and self._loads.load_of(record.upstream).backoff_until <= now
        )
        return record if is_usable or not doubtful else choose(excluded)


def _slot_key(request: RelayRequest) -> str:
    """Return the key of a request's slot.

    Callers may send one id again while an earlier request with it is in progress.
    """
    return f"{request.id}\0{id(request)}"
