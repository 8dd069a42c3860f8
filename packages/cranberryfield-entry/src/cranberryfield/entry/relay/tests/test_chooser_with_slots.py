"""What the chooser asks for and does with the slot that it is given."""

from random import Random
from types import SimpleNamespace

import anyio
import pytest

from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.errors import ErrorKind, UnavailableError, WasRun
from cranberryfield.core.http1 import RequestHead
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.registry import RegistryTable, accept_record
from cranberryfield.entry.relay import LoadSection, RelayRequest
from cranberryfield.entry.relay.brittle_upstreams import BrittleUpstreams
from cranberryfield.entry.relay.request_state import RelayRequestState
from cranberryfield.entry.relay.upstream_chooser import RelayUpstreamChooser
from cranberryfield.entry.relay.upstream_pauses import UpstreamPauses, record_pause
from cranberryfield.entry.rollouts import RolloutSection, RolloutTraffic

NAMES = ["a", "b", "c"]


class ScriptedSlots:
    """Grants upstreams in the given order; an error is raised."""

    def __init__(self, *grants, shared=True, usable=True):
        self.grants, self.shared = list(grants), shared
        self.usable = [usable] if isinstance(usable, bool) else list(usable)
        self.asked, self.released = [], 0

    def is_shared(self, service):
        return self.shared

    async def take(self, request, requirements, local_choice):
        self.asked.append(requirements)
        grant = self.grants.pop(0)
        if isinstance(grant, Exception):
            raise grant
        return (grant, 1)

    def is_usable(self, request):
        return self.usable.pop(0) if len(self.usable) > 1 else self.usable[0]

    def release(self, request, was_refused=False):
        self.released += 1


class FreeLimiter:
    def __init__(self):
        self.tokens = 0

    def exhausted_among(self, candidates):
        return frozenset()

    async def acquire(self, record):
        self.tokens += 1
        return True

    def put_back(self, record):
        self.tokens -= 1


class NoQuarantine:
    def crashed_among(self, candidates):
        return frozenset()

    def isolate_until(self, fingerprint, deadline):
        return float("-inf")

    def release(self, fingerprint, upstream):
        pass


def make_request():
    now = monotonic_clock()
    route = SimpleNamespace(rank=2, target_ms=218.0)
    head = RequestHead(b"GET", b"/", [])
    return RelayRequest("r", head, b"", route, "s", None, now, now + 2.7)


def choose(slots, tried=(), paused=(), backing_off=(), request=None, **state_fields):
    table, loads, pauses = RegistryTable(), LoadSection(), UpstreamPauses()
    now = monotonic_clock()
    for name in NAMES:
        record = UpstreamRecord(name, 1, 1, "s", "d", f"{name}:1", "", (), 2, 0)
        accept_record(table, record, now)
    for name in paused:
        record_pause(pauses, (name, 1), 60.0, now)
    for name in backing_off:
        loads.load_of(name).backoff_until = now + 60.0
    limiter = FreeLimiter()
    chooser = RelayUpstreamChooser(
        table,
        loads,
        NoQuarantine(),
        limiter,
        pauses,
        BrittleUpstreams(),
        "h",
        lambda: 9,
        "d",
        monotonic_clock,
        RolloutTraffic(RolloutSection(), table, Metrics(), monotonic_clock, Random(1)),
        slots,
    )
    request = request or make_request()
    state = RelayRequestState(request.fingerprint, **state_fields)
    state.tried_processes.update((name, 1) for name in tried)
    record = anyio.run(chooser.choose, request, state)
    return record.upstream if record is not None else None, limiter.tokens


# Guards against slots of upstreams that the request may not use now.
@pytest.mark.parametrize("reason", ["tried", "paused", "backing_off"])
def test_upstreams_that_the_request_cannot_use_are_excluded(reason):
    slots = ScriptedSlots("c")
    assert choose(slots, **{reason: ["a", "b"]}) == ("c", 1)
    assert set(slots.asked[0].excluded) == {"a", "b"}
    assert (slots.asked[0].rank, slots.asked[0].target_ms) == (2, 218)


# Guards against an attempt at an upstream that this relay does not know.
def test_a_slot_of_an_unknown_upstream_is_given_back_and_asked_for_anew():
    slots = ScriptedSlots("new", "b")
    assert choose(slots) == ("b", 1)
    assert slots.released == 1


# Guards against an attempt whose lease ended while the request waited for a token.
def test_a_slot_that_is_not_usable_any_more_is_asked_for_anew():
    slots = ScriptedSlots("a", "b", usable=[False, True])
    assert choose(slots) == ("b", 1)
    assert slots.released == 1


# Guards against a refusal as not run of a request that may have run.
@pytest.mark.parametrize("may_have_run", [True, False])
def test_a_refusal_is_only_passed_on_if_the_request_has_not_run(may_have_run):
    refusal = UnavailableError(ErrorKind.NO_UPSTREAM, "full", was_run=WasRun.NO)
    slots = ScriptedSlots(refusal)
    if may_have_run:
        assert choose(slots, may_have_run=True) == (None, 0)
        return
    with pytest.raises(UnavailableError):
        choose(slots)


def test_a_service_that_is_not_shared_is_asked_no_slot():
    slots = ScriptedSlots(shared=False)
    assert choose(slots)[0] in NAMES
    assert slots.asked == []


# Guards against a caller that sends one id again while its first request runs: the end
# of one attempt gave back the slot of the other.
def test_requests_with_the_same_id_have_slots_of_their_own():
    slots = ScriptedSlots("a", "b")
    keys = []

    async def take(key, requirements, local_choice):
        keys.append(key)
        return (slots.grants.pop(0), 1)

    slots.take = take
    first, second = make_request(), make_request()
    assert first.id == second.id
    choose(slots, request=first)
    choose(slots, request=second)
    assert len(set(keys)) == 2
