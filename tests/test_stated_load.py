"""Choice of upstreams by the load that they state, in virtual time.

Relays are the real choice with sections of their own; upstreams are queues with slots.
Loads of other relays come with reports each 0.25 s.
"""

import heapq
from dataclasses import dataclass, field
from random import Random
from statistics import mean

import pytest

from cranberryfield.core.deployment import Route, RouteKind, WeightedService
from cranberryfield.core.http1 import RequestHead
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.loads import (
    InFlightAttempt,
    LoadSection,
    replace_remote_loads,
)
from cranberryfield.entry.relay.request import RelayRequest
from cranberryfield.entry.relay.stated_loads import StatedLoad, record_stated_load
from cranberryfield.entry.relay.upstream_selection import (
    RelayCostModel,
    choose_relay_upstream,
)

ROUTE = Route(
    "r",
    "a.example",
    "/x/",
    RouteKind.IDEMPOTENT,
    (WeightedService("s1", 1),),
    timeout_ms=2_700.0,
    target_ms=218.0,
    max_attempts=2,
)
MODEL = RelayCostModel()
REPORT_INTERVAL_S = 0.25
RELAYS = 62
RUN_S = 0.045


def make_request(number, body=b""):
    head = RequestHead(b"POST", b"/x/1", ())
    return RelayRequest(str(number), head, body, ROUTE, "s1", None, 0.0, 3.0)


def make_record(number, slots=6, zone="fann"):
    return UpstreamRecord(
        f"u{number}", 1, 1, "s1", zone, f"a{number}", "", (), slots, 0
    )


@dataclass
class Upstream:
    """A queue with slots, whose runs take longer by a factor and when nearly full."""

    record: UpstreamRecord
    factor: float = 1.0
    slows: bool = False
    running: int = 0
    waiting: list = field(default_factory=list)

    def ratio(self):
        is_slow = self.slows and self.running >= self.record.capacity - 1
        return 3.0 if is_slow else 1.0

    def statement(self):
        return StatedLoad(
            self.running, len(self.waiting), self.record.capacity, self.ratio()
        )


def simulate(upstreams, rate, states, seconds=30.0, seed=1):
    """Return the times from arrival to answer in seconds, after the first 5 s."""
    rng = Random(seed)
    records = [one.record for one in upstreams]
    by_id = {one.record.upstream: one for one in upstreams}
    relays = [LoadSection() for _ in range(RELAYS)]
    events, number, times = [], 0, []
    heapq.heappush(events, (0.0, 0, "arrival", None))
    heapq.heappush(events, (0.0, 1, "report", None))
    order = 2

    def push(at, kind, what):
        nonlocal order
        order += 1
        heapq.heappush(events, (at, order, kind, what))

    def start(upstream, job, now):
        upstream.running += 1
        run_s = RUN_S * upstream.factor * upstream.ratio() * rng.uniform(0.8, 1.2)
        push(now + run_s, "end", (upstream, job))

    while events:
        now, _, kind, what = heapq.heappop(events)
        if now > seconds:
            break
        if kind == "arrival":
            push(now + rng.expovariate(rate), "arrival", None)
            number += 1
            relay = relays[rng.randrange(RELAYS)]
            request = make_request(number)
            record = choose_relay_upstream(
                records, relay, request, frozenset(), "fann", now, MODEL
            )
            load = relay.load_of(record.upstream)
            load.own_attempts[request.id] = InFlightAttempt(0, 0)
            upstream = by_id[record.upstream]
            job = (relay, request.id, now)
            if upstream.running < record.capacity:
                start(upstream, job, now)
            else:
                upstream.waiting.append(job)
        elif kind == "end":
            upstream, (relay, request_id, sent_at) = what
            upstream.running -= 1
            if upstream.waiting:
                start(upstream, upstream.waiting.pop(0), now)
            load = relay.load_of(upstream.record.upstream)
            if states:
                record_stated_load(
                    relay.stated,
                    upstream.record.process,
                    upstream.statement(),
                    len(load.own_attempts),
                    sent_at,
                    now,
                )
            load.own_attempts.pop(request_id)
            if sent_at > 5.0:
                times.append(now - sent_at)
        else:
            push(now + REPORT_INTERVAL_S, "report", None)
            totals = {
                one.upstream: sum(
                    len(relay.load_of(one.upstream).own_attempts) for relay in relays
                )
                for one in records
            }
            for relay in relays:
                others = {
                    one: (count - len(relay.load_of(one).own_attempts), 0)
                    for one, count in totals.items()
                }
                replace_remote_loads(relay, others, now)
    return sorted(times)


def describe(times):
    return mean(times), times[int(0.95 * len(times))]


# Factors of four upstreams' times, whether each takes 3 times as long when nearly full,
# requests a second (533 would fill all slots at usual speed), and the mean time to
# an answer that must be reached, as a fraction of that without the statement.
LOADS = {
    "one is 1.7 times slower": ([1.0, 1.0, 1.0, 1.7], [False] * 4, 300.0, 0.6),
    "all differ": ([1.0, 1.3, 1.5, 1.7], [False] * 4, 200.0, 0.8),
    "all differ, little load": ([1.0, 1.3, 1.5, 1.7], [False] * 4, 78.5, 1.0),
    "one slows when nearly full": ([1.0] * 4, [True] + [False] * 3, 300.0, 0.4),
    "all slow when nearly full": ([1.0] * 4, [True] * 4, 150.0, 1.0),
}


def build_upstreams(factors, slows):
    return [
        Upstream(make_record(number), *one)
        for number, one in enumerate(zip(factors, slows, strict=True))
    ]


# Guards against slower upstreams that get as much as others, and against one that is
# driven into the load at which it slows down.
@pytest.mark.parametrize(
    ("factors", "slows", "rate", "bound"), LOADS.values(), ids=LOADS
)
def test_answers_come_sooner_by_stated_load(factors, slows, rate, bound):
    before, after = (
        simulate(build_upstreams(factors, slows), rate, states, seconds=20.0)
        for states in (False, True)
    )
    assert mean(after) <= bound * mean(before)
    assert after[int(0.95 * len(after))] <= before[int(0.95 * len(before))]


def relay_with(statements, at=10.0, answer_s=RUN_S, answers=9):
    """Return the loads of a relay that has had some answers of each upstream."""
    loads = LoadSection()
    for number, stated in enumerate(statements):
        for _ in range(answers if stated is not None else 0):
            process = make_record(number).process
            record_stated_load(loads.stated, process, stated, 0, at - answer_s, at)
    return loads


def count_choices(records, loads, now, body=b"", count=RELAYS):
    chosen = [
        choose_relay_upstream(
            records, loads, make_request(number, body), frozenset(), "fann", now, MODEL
        ).upstream
        for number in range(count)
    ]
    return [chosen.count(one.upstream) for one in records]


IDLE, FULL = StatedLoad(0, 0, 6, 1.0), StatedLoad(6, 3, 6, 1.0)
SLOW = StatedLoad(1, 0, 6, 3.0)


# Guards against 62 relays that all send their next request to the one upstream that has
# just said that it is idle. Its even part is 15.
def test_relays_with_the_same_statement_do_not_choose_the_same_upstream():
    records = [make_record(number) for number in range(4)]
    counts = count_choices(records, relay_with([IDLE, FULL, FULL, FULL]), 10.0)
    assert 15 < counts[0] <= 42
    assert min(counts[1:]) >= 3


# Age of the statements, and whether the slow upstream is still chosen less often.
@pytest.mark.parametrize(("age_s", "counts"), [(0.0, True), (0.5, True), (30.0, False)])
def test_a_stale_statement_does_not_count(age_s, counts):
    records = [make_record(number) for number in range(2)]
    slow = StatedLoad(6, 6, 6, 3.0)
    loads = relay_with([slow, IDLE])
    # Measured speeds are of usual work, and stay; both are the same here.
    for speed in loads.stated.speeds.values():
        speed.answer_s = RUN_S
    chosen = count_choices(records, loads, 10.0 + age_s, count=400)
    assert (chosen[0] < 100) is counts
    assert chosen[0] > 150 or counts


# The local statement, the remote one, the bytes of the body, and whether the other data
# centre is used. 45 ms at three times the usual time leave 90 ms for 56 kB of link.
REMOTES = [
    (IDLE, IDLE, 0, False),
    (SLOW, IDLE, 0, True),
    (SLOW, IDLE, 40_000, True),
    (SLOW, IDLE, 60_000, False),
    (IDLE, SLOW, 0, False),
]


# Guards against bytes to another data centre that save no time.
@pytest.mark.parametrize(("local", "remote", "size", "is_used"), REMOTES)
def test_another_data_centre_must_save_time(local, remote, size, is_used):
    records = [make_record(0), make_record(1, zone="other")]
    loads = relay_with([local, remote])
    for speed in loads.stated.speeds.values():
        speed.answer_s = RUN_S
    counts = count_choices(records, loads, 10.0, body=b"x" * size)
    assert bool(counts[1]) is is_used


# Guards against other choices where upstreams do not say how long work takes.
def test_without_the_fourth_figure_nothing_changes():
    records = [make_record(number) for number in range(4)]
    silent = StatedLoad(6, 9, 6)
    loads = relay_with([silent, silent, None, silent])
    assert not loads.stated.speeds
    assert count_choices(records, loads, 10.0) == count_choices(
        records, LoadSection(), 10.0
    )


# Guards against an upstream that has not answered yet and never gets a request.
def test_an_upstream_without_statement_is_used():
    records = [make_record(number) for number in range(3)]
    counts = count_choices(records, relay_with([IDLE, IDLE, None]), 10.0)
    assert min(counts) >= 10


# Guards against choices by absurd statements that last, and against divisions by zero.
@pytest.mark.parametrize(
    "stated",
    [
        StatedLoad(999_999_999, 999_999_999, 1, 1e7),
        StatedLoad(0, 0, 999_999_999, 0.01),
        StatedLoad(0, 0, 1, 1e-9),
    ],
)
def test_absurd_statements_are_bounded(stated):
    records = [make_record(number) for number in range(2)]
    loads = relay_with([stated, IDLE])
    for age_s in (0.0, 60.0):
        assert sum(count_choices(records, loads, 10.0 + age_s)) == RELAYS
