"""Which upstream a request waits for, with reservations and crashes as given."""

from random import Random
from types import SimpleNamespace

import anyio
import pytest

from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.http1 import RequestHead
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.registry import RegistryTable, accept_record
from cranberryfield.entry.relay import LoadSection, RelayRequest
from cranberryfield.entry.relay.brittle_upstreams import BrittleUpstreams
from cranberryfield.entry.relay.request_state import RelayRequestState
from cranberryfield.entry.relay.upstream_chooser import (
    MAX_RECOVERY_WAIT_S,
    RelayUpstreamChooser,
)
from cranberryfield.entry.relay.upstream_pauses import UpstreamPauses
from cranberryfield.entry.rollouts import RolloutSection, RolloutTraffic

REFUSALS = 3


class ScriptedQuarantine:
    """Grants an upstream after a number of refusals."""

    def __init__(self, crashed, isolation_s):
        self.crashed = frozenset(crashed)
        self.isolation_s = isolation_s
        self.refusals_left = REFUSALS
        self.asked, self.released = [], []

    def crashed_among(self, candidates):
        return self.crashed

    def isolate_until(self, fingerprint, deadline):
        return monotonic_clock() + self.isolation_s

    async def reserve(self, fingerprint, upstream, deadline):
        self.asked.append(upstream)
        self.refusals_left -= 1
        return self.refusals_left < 0

    def release(self, fingerprint, upstream):
        self.released.append(upstream)


class ScriptedLimiter:
    """Refuses attempts on some upstreams, which count as exhausted from then on."""

    def __init__(self, exhausted=(), refusing=()):
        self.exhausted, self.refusing = set(exhausted), set(refusing)
        self.granted = []

    def exhausted_among(self, candidates):
        return frozenset(self.exhausted)

    async def acquire(self, record):
        assert record.upstream not in self.exhausted
        if record.upstream in self.refusing:
            self.exhausted.add(record.upstream)
            return False
        self.granted.append(record.upstream)
        return True


def choose(quarantine, names, lost_runs=0, limiter=None, silent=()):
    """Return the chosen upstream, and the state of the request."""
    table = RegistryTable(max_silence_s=5.0)
    for name in names:
        record = UpstreamRecord(name, 1, 1, "s", "d", f"{name}:1", "", (), 8, 0)
        accept_record(table, record, 0.0 if name in silent else 10.0)
    chooser = RelayUpstreamChooser(
        table,
        LoadSection(),
        quarantine,
        limiter or ScriptedLimiter(),
        UpstreamPauses(),
        BrittleUpstreams(),
        "h",
        lambda: 1,
        "d",
        monotonic_clock,
        RolloutTraffic(RolloutSection(), table, Metrics(), monotonic_clock, Random(1)),
    )
    head = RequestHead(b"GET", b"/", [])
    route = SimpleNamespace(rank=0)
    now = monotonic_clock()
    request = RelayRequest("r", head, b"", route, "s", None, now, now + 60.0)
    state = RelayRequestState(request.fingerprint, lost_runs=lost_runs)
    record = anyio.run(chooser.choose, request, state)
    return record.upstream if record is not None else None, state


# Guards against a suspect that looks only at crashed upstreams while the one that it
# waits for becomes free.
@pytest.mark.parametrize("lost_runs", [0, 2])
def test_suspect_waits_for_a_reserved_upstream_and_not_for_a_crashed_one(lost_runs):
    quarantine = ScriptedQuarantine(["crashed"], isolation_s=60.0)
    upstream, state = choose(quarantine, ["live", "crashed"], lost_runs)
    assert (upstream, quarantine.asked) == ("live", ["live"] * (REFUSALS + 1))
    assert 0.0 < state.waited_s < MAX_RECOVERY_WAIT_S


def test_suspect_shares_an_upstream_when_its_wait_is_over():
    quarantine = ScriptedQuarantine([], isolation_s=0.0)
    assert choose(quarantine, ["live"])[0] == "live"
    assert not quarantine.asked


def test_request_that_lost_no_run_does_not_wait_for_crashed_upstreams():
    quarantine = ScriptedQuarantine(["crashed"], isolation_s=0.0)
    upstream, state = choose(quarantine, ["crashed"])
    assert (upstream, state.waited_s) == ("crashed", 0.0)


@pytest.mark.parametrize("seed", range(3))
def test_crashed_upstreams_are_chosen_last(seed):
    names = ["live", "crashed-1", "crashed-2"]
    Random(seed).shuffle(names)
    quarantine = ScriptedQuarantine(["crashed-1", "crashed-2"], isolation_s=0.0)
    assert choose(quarantine, names)[0] == "live"


# Upstreams at their limits, those that refuse a token when asked, the chosen one, and
# those that a token was taken of.
LIMITS = [
    ("one exhausted", ["a"], [], "b", ["b"]),
    ("one refuses", [], ["a"], "b", ["b"]),
    ("all exhausted", ["a", "b"], [], None, []),
    ("all refuse", [], ["a", "b"], None, []),
    ("one exhausted, one refuses", ["a"], ["b"], None, []),
]


@pytest.mark.parametrize(
    ("exhausted", "refusing", "chosen", "granted"),
    [row[1:] for row in LIMITS],
    ids=[row[0] for row in LIMITS],
)
def test_upstreams_at_their_limits_have_no_capacity(
    exhausted, refusing, chosen, granted
):
    limiter = ScriptedLimiter(exhausted, refusing)
    quarantine = ScriptedQuarantine([], isolation_s=0.0)
    upstream, state = choose(quarantine, ["a", "b"], limiter=limiter)
    assert (upstream, limiter.granted) == (chosen, granted)
    assert state.waited_s == 0.0


# Guards against a reservation that outlasts a caller who leaves while the owner of the
# limit is asked.
def test_reservation_of_a_caller_that_leaves_is_released():
    class FailingLimiter(ScriptedLimiter):
        async def acquire(self, record):
            raise LookupError

    quarantine = ScriptedQuarantine([], isolation_s=60.0)
    quarantine.refusals_left = 0
    with pytest.raises(LookupError):
        choose(quarantine, ["a"], limiter=FailingLimiter())
    assert quarantine.released == ["a"]


def test_reservation_of_an_upstream_at_its_limit_is_released():
    limiter = ScriptedLimiter(refusing=["a"])
    quarantine = ScriptedQuarantine([], isolation_s=60.0)
    quarantine.refusals_left = 0
    assert choose(quarantine, ["a"], limiter=limiter)[0] is None
    assert quarantine.asked == quarantine.released == ["a"]


# Upstreams that have been silent for long, and those that may be chosen.
SILENT = [
    ("one of three", ["a"], {"b", "c"}),
    ("two of three", ["a", "b"], {"c"}),
    ("all", ["a", "b", "c"], {"a", "b", "c"}),
]


@pytest.mark.parametrize(
    ("silent", "expected"), [row[1:] for row in SILENT], ids=[row[0] for row in SILENT]
)
def test_silent_upstreams_are_chosen_last(silent, expected):
    quarantine = ScriptedQuarantine([], isolation_s=0.0)
    assert choose(quarantine, ["a", "b", "c"], silent=silent)[0] in expected


def test_silent_upstream_is_chosen_if_the_others_are_at_their_limits():
    quarantine = ScriptedQuarantine([], isolation_s=0.0)
    limiter = ScriptedLimiter(exhausted=["a", "b"])
    assert choose(quarantine, ["a", "b", "c"], 0, limiter, ["c"])[0] == "c"
