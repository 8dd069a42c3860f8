"""A relay with raw upstreams of two versions, and a stand-in for the leader."""

from contextlib import asynccontextmanager

import anyio
import pytest

from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.deployment import RouteKind
from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.rollouts import (
    RolloutGrant,
    RolloutGrants,
    RolloutReport,
    RolloutStage,
)
from cranberryfield.entry.rollouts import RolloutReporter, RolloutSection
from tests.relay_harness import (
    RelayHarness,
    get_request,
    read_all,
    respond,
    stream_events,
)

OBSERVING, ADVANCING, SWITCHING, COMPLETED, ROLLED_BACK = RolloutStage
TIMEOUT_S = 10.0
POLL_S = 0.01
TOTAL = 4
BREAKS = stream_events(1, 2, ends=False)
ENDS = stream_events(1, TOTAL)


class StandInLeader:
    """Answers the reports of one relay, as the mesh of that relay."""

    def __init__(self):
        self.hello = Hello("relay-1", "g", 1, "fann", ("relay",), "", "")
        self.grants = RolloutGrants(1, 1)
        self.reports = []
        self.is_reachable = self.understands = True

    def handle(self, kind, handler):
        self._handler = handler

    def is_linked(self, node):
        return self.is_reachable

    async def request(self, node, report, timeout_s):
        self.reports.append(report)
        if not self.is_reachable:
            raise UnavailableError(ErrorKind.NOT_READY, "no link")
        return self.grants

    def grant(self, stage, share=0.0, lease_ms=3_000, number=1):
        grant = RolloutGrant(number, "drafts", "v2", stage, share, lease_ms)
        self.grants = RolloutGrants(1, self.grants.revision + 1, (grant,))

    def push(self):
        self._handler("leader", self.grants)


def reporter_of(leader, section, table, name="leader"):
    return RolloutReporter(
        leader,
        lambda: name,
        lambda node: leader.understands,
        section,
        table,
        monotonic_clock,
    )


class Relay:
    """Relay, its stand-in for the leader, and calls to it."""

    def __init__(self, scripts, versions, kind=RouteKind.IDEMPOTENT, **route):
        self.leader = StandInLeader()
        self.section = RolloutSection()
        self.harness = RelayHarness(
            scripts, kind, versions=versions, rollouts=self.section, **route
        )
        self.reporter = reporter_of(self.leader, self.section, self.harness.table)
        self.harness.background.append(self.reporter.run)

    def run(self, conversation):
        async def converse(_):
            await self.until(lambda: self.section.has_grants)
            await conversation()

        anyio.run(self.harness.run, converse)

    async def until(self, condition):
        with anyio.fail_after(TIMEOUT_S):
            while not condition():
                await anyio.sleep(POLL_S)

    async def reported(self):
        """Wait for a report that begins from now on; return its counts."""
        before = len(self.leader.reports)
        await self.until(lambda: len(self.leader.reports) > before)
        return self.leader.reports[-1].counts[0]

    @asynccontextmanager
    async def call(self, *lines):
        address = ("127.0.0.1", self.harness.port)
        async with await anyio.connect_tcp(*address) as caller:
            await caller.send(get_request(*lines))
            yield caller

    async def ask(self, count=1, *lines):
        """Send requests one after the other; return the last response."""
        for _ in range(count):
            async with self.call(*lines) as caller:
                response = await read_all(caller)
        return response

    @property
    def received(self):
        return [len(one.requests) for one in self.harness.upstreams]


# Guards against a target that gets more than its share, a rollback that waits, and
# counts that the leader cannot judge by.
def test_share_and_rollback():
    relay = Relay([respond(), respond(500)], ["v1", "v2"])
    relay.leader.grant(OBSERVING, 0.25)

    async def conversation():
        response = await relay.ask(40)
        assert response.startswith(b"HTTP/1.1 200")
        old, new = relay.received
        # After three failures the only upstream of the target is in backoff.
        assert 3 <= new <= 10
        assert old == 40
        counts = await relay.reported()
        assert (counts.arrivals, counts.target_attempts) == (40, new)
        assert counts.running_elsewhere == 0
        by_version = {one.is_target: one for one in counts.counts}
        assert (by_version[True].attempts, by_version[True].failures) == (new, new)
        assert (by_version[False].attempts, by_version[False].failures) == (old, 0)
        assert sum(by_version[False].durations) == old
        relay.leader.grant(ROLLED_BACK)
        relay.leader.push()
        await relay.ask(20)
        assert relay.received == [60, new]

    relay.run(conversation)


# Guards against a request that is sent late, as a rollback or the end of a lease comes
# while its connection is opened.
def test_request_is_not_sent_after_a_rollback():
    relay = Relay([respond(), respond()], ["v1", "v2"])
    relay.leader.grant(OBSERVING, 0.1)
    dial, target = relay.harness.pool.dial, relay.harness.upstreams[1].address

    async def roll_back_and_dial(address):
        connection = await dial(address)
        if address == target:
            relay.leader.grant(ROLLED_BACK)
            relay.leader.push()
        return connection

    async def conversation():
        relay.harness.pool.dial = roll_back_and_dial
        relay.section.rollouts["drafts"].credit = 3.0
        assert (await relay.ask()).startswith(b"HTTP/1.1 200")
        assert relay.section.rollouts["drafts"].has_ended
        assert relay.received == [1, 0]

    relay.run(conversation)


# Guards against a good version that looks slow, since its share is more than its
# upstreams take.
def test_full_target_is_passed_over():
    relay = Relay([respond(), respond()], ["v1", "v2"])
    relay.leader.grant(ADVANCING, 1.0)
    load = relay.harness.loads.load_of("u1")

    async def conversation():
        load.remote_in_flight = relay.harness.table.entries["u1"].record.capacity
        await relay.ask(6)
        assert relay.received == [6, 0]
        load.remote_in_flight = 0
        await relay.ask(6)
        assert relay.received[1] >= 3

    relay.run(conversation)


# Guards against a lease that outlives the leader.
def test_share_ends_with_the_lease():
    relay = Relay([respond(), respond()], ["v1", "v2"])
    relay.leader.grant(ADVANCING, 1.0, lease_ms=300)

    async def conversation():
        await relay.ask(6)
        new = relay.received[1]
        assert new
        relay.leader.is_reachable = False
        rollout = relay.section.rollouts["drafts"]
        await relay.until(lambda: monotonic_clock() >= rollout.lease_until)
        await relay.ask(6)
        assert relay.received[1] == new
        relay.leader.is_reachable = True
        await relay.until(lambda: monotonic_clock() < rollout.lease_until)
        await relay.ask(6)
        assert relay.received[1] > new

    relay.run(conversation)


# Guards against a rollout that completes while a stream runs at an old upstream, and
# against new requests there.
def test_switch_and_completion():
    is_over = anyio.Event()

    async def hold(request, stream):
        await is_over.wait()
        return await ENDS(request, stream)

    relay = Relay([hold, ENDS], ["v1", "v2"], RouteKind.STREAM)
    relay.leader.grant(OBSERVING)

    async def conversation():
        async with relay.call() as caller:
            await relay.until(lambda: relay.received[0] == 1)
            relay.leader.grant(SWITCHING)
            relay.leader.push()
            await relay.ask(5)
            assert relay.received == [1, 5]
            assert (await relay.reported()).running_elsewhere == 1
            is_over.set()
            assert (await read_all(caller)).count(b"data: ") == TOTAL
        assert (await relay.reported()).running_elsewhere == 0
        relay.leader.grant(COMPLETED)
        relay.leader.push()
        relay.harness.prefer(0)
        await relay.ask()
        assert relay.received == [2, 5]

    relay.run(conversation)


# Credits when a stream breaks off at the target, whether they are renewed by others,
# and whether it goes on there; never at the old version.
@pytest.mark.parametrize(
    ("stage", "credit", "goes_on"),
    [(OBSERVING, 2.0, True), (OBSERVING, 1.0, False), (ROLLED_BACK, 1.0, False)],
    ids=["a credit", "no credit", "rolled back"],
)
def test_stream_goes_on_at_the_target_for_a_credit(stage, credit, goes_on):
    async def break_off(request, stream):
        if stage is not OBSERVING:
            relay.leader.grant(stage)
            relay.leader.push()
        return await BREAKS(request, stream)

    relay = Relay(
        [ENDS, break_off, ENDS],
        ["v1", "v2", "v2"],
        RouteKind.STREAM,
        resumable=True,
        max_attempts=3,
    )
    relay.harness.prefer(1)
    relay.leader.grant(OBSERVING, 1e-6)

    async def conversation():
        rollout = relay.section.rollouts["drafts"]
        rollout.credit = credit
        relay.harness.loads.load_of("u2").remote_in_flight = 4
        while not relay.received[1]:
            await relay.ask(1, b"Time: 2")
        assert relay.received[2] == int(goes_on)
        assert rollout.credit < 1.0

    relay.run(conversation)


# Guards against a target that is taken for a plain release before the relay has heard
# of its rollout, and against a plain release that is not used.
@pytest.mark.parametrize("is_rollout", [True, False])
def test_new_version_is_used_once_the_leader_has_answered(is_rollout):
    relay = Relay([respond(), respond()], ["v1", "v2"])
    hidden = relay.harness.table.entries["u1"]
    relay.harness.table.remove("u1")

    async def conversation():
        relay.leader.is_reachable = False
        relay.harness.table.set_entry(hidden)
        relay.harness.prefer(1)
        await relay.ask(5)
        assert relay.received == [5, 0]
        if is_rollout:
            relay.leader.grant(OBSERVING)
        relay.leader.is_reachable = True
        relay.reporter.on_announcement(hidden.record)
        await relay.until(lambda: "v2" in relay.section.confirmed["drafts"])
        await relay.ask(5)
        assert relay.received == ([10, 0] if is_rollout else [5, 5])

    relay.run(conversation)


# Whether the leader is known, understands rollouts and answers; then whether a relay
# that has just started may serve, and whether it has sent a report.
READINESS = {
    "answered": (True, True, True, True, True),
    "not answered yet": (True, True, False, False, True),
    "a leader of an older build": (True, False, True, True, False),
    "no leader known": (False, True, True, True, False),
}


# Guards against a relay that serves before it knows which versions are restricted, and
# one that waits for a leader that knows no rollouts.
@pytest.mark.parametrize(
    ("is_known", "understands", "answers", "is_ready", "has_reported"),
    READINESS.values(),
    ids=READINESS.keys(),
)
def test_readiness_waits_for_the_first_grants(
    is_known, understands, answers, is_ready, has_reported
):
    leader, section = StandInLeader(), RolloutSection()
    leader.understands = understands
    if not answers:
        leader.grants = RolloutGrants(0)
    name = "leader" if is_known else None
    reporter = reporter_of(leader, section, RelayHarness([]).table, name)
    if is_known:
        anyio.run(reporter.report, "leader")
    assert reporter.is_ready is is_ready
    expected = [RolloutReport(1, 0)] if has_reported else []
    assert leader.reports == expected
