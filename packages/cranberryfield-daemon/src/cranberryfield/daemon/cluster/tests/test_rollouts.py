"""Orders, reports and grants at a control host that leads, or does not."""

from random import Random
from types import SimpleNamespace

import anyio
import pytest

from cranberryfield.control.consensus.replica import Replica, ReplicaRole
from cranberryfield.control.machine import ControlState, apply_command
from cranberryfield.control.rollouts import ExposureBound
from cranberryfield.control.runtime import ControlSection
from cranberryfield.core.features import FeatureLevel
from cranberryfield.core.messages.codec import decode_message
from cranberryfield.core.messages.commands import ProposalRedirected
from cranberryfield.core.messages.consensus import LogEntry
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.rollouts import (
    BeginRollout,
    ReadRollout,
    RolloutBegun,
    RolloutCounts,
    RolloutReport,
    RolloutStage,
)
from cranberryfield.core.metrics import Metrics
from cranberryfield.daemon.cluster.rollouts import RolloutCoordinator
from cranberryfield.entry.registry import RegistryTable, accept_record

ORDER = BeginRollout("s1", "v2", 12_000, 0)


class ControlHostHarness:
    """A coordinator with a log of one replica, and the messages that it sends."""

    def __init__(self, level=FeatureLevel.ROLLOUTS, role=ReplicaRole.LEADER):
        self.now = 100.0
        self.handlers, self.sent = {}, []
        self.state = ControlState(feature_level=level)
        self.table = RegistryTable()
        replica = Replica("c1", Random(1), term=3, role=role)
        replica.log.append((LogEntry(1, 3, b"x"),))
        replica.commit_index = 1
        self.replica = replica
        self.term = 3 if role is ReplicaRole.LEADER else None
        deployment = SimpleNamespace(services=[SimpleNamespace(name="s1")])
        self.coordinator = RolloutCoordinator(
            ControlSection(replica, self.state, applied_index=1),
            self,
            self.table,
            self,
            lambda: deployment,
            ExposureBound(0.1, 50.0),
            lambda: self.now,
            lambda: 1_000.0 + self.now,
            Metrics(),
        )

    def lead(self, term):
        """Lead a later term, in which an entry is committed and applied."""
        self.term = self.replica.term = term
        self.replica.log.append((LogEntry(2, term, b"x"),))
        self.replica.commit_index = self.coordinator._section.applied_index = 2

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, node, message):
        self.sent.append((node, message))

    def leading_term(self):
        return self.term

    async def wait_until_current(self):
        pass

    async def propose(self, command):
        return apply_command(self.state, decode_message(command))

    def ask(self, message, sender="relay-1"):
        async def answer():
            reply = self.handlers[type(message)](sender, message)
            return await reply if hasattr(reply, "__await__") else reply

        return anyio.run(answer)

    def announce(self, version, upstream):
        address = f"10.0.0.{upstream}:1"
        record = UpstreamRecord(
            upstream, 1, 1, "s1", "d", address, "", (), 6, 0, software_version=version
        )
        accept_record(self.table, record, self.now)


def test_the_leader_completes_an_order():
    harness = ControlHostHarness()
    harness.announce("v1", "1")
    harness.announce("v2", "2")
    harness.ask(RolloutReport(1, 0))
    assert harness.ask(ORDER) == RolloutBegun(1, True)
    rollout = harness.state.rollouts.latest["s1"]
    assert (rollout.begun_at_ms, rollout.previous) == (1_100_000, ("v1",))
    [(node, grants)] = harness.sent
    assert node == "relay-1"
    [grant] = grants.grants
    assert (grants.term, grant.target, grant.share) == (3, "v2", 0.0)
    assert harness.ask(ORDER) == RolloutBegun(1, False)
    assert harness.ask(BeginRollout("s1", "v3", 12_000, 0)).kind == "conflict"


# An order that the log of an older build cannot hold must not be proposed; the operator
# repeats it.
def test_no_order_is_taken_below_the_feature_level():
    harness = ControlHostHarness(FeatureLevel.BASE)
    assert harness.ask(ORDER).kind == "not_ready"
    assert not harness.state.rollouts.latest


def test_an_unknown_service_is_refused():
    harness = ControlHostHarness()
    assert harness.ask(BeginRollout("s2", "v2", 1, 0)).kind == "unknown_service"


@pytest.mark.parametrize("message", [ORDER, ReadRollout("s1")])
def test_another_host_redirects_to_the_leader(message):
    harness = ControlHostHarness(role=ReplicaRole.FOLLOWER)
    assert isinstance(harness.ask(message), ProposalRedirected)


# A deposed leader must not grant shares, which would outlive those of the next one.
def test_a_host_without_a_leader_lease_grants_nothing():
    harness = ControlHostHarness()
    harness.ask(ORDER)
    harness.term = None
    assert harness.ask(RolloutReport(1, 0)).term == 0


# Relays ignore lower revisions of a term, so they would ignore all grants for a while.
def test_a_lease_that_expires_for_a_moment_resets_no_revision():
    harness = ControlHostHarness()
    harness.ask(ORDER)
    harness.ask(RolloutReport(1, 0))
    harness.state.rollouts.latest["s1"].stage = RolloutStage.SWITCHING
    revision = harness.ask(RolloutReport(1, 0)).revision
    harness.term = None
    harness.ask(RolloutReport(1, 0))
    harness.term = 3
    assert harness.ask(RolloutReport(1, 0)).revision == revision


# A new leader whose state lacks committed entries could grant an earlier stage.
@pytest.mark.parametrize(("commit_index", "applied_index"), [(1, 1), (2, 1)])
def test_a_new_leader_grants_nothing_before_its_state_is_current(
    commit_index, applied_index
):
    harness = ControlHostHarness()
    harness.lead(5)
    harness.replica.commit_index = commit_index
    harness.coordinator._section.applied_index = applied_index
    assert harness.ask(RolloutReport(1, 0)).term == 0


def test_a_new_term_forgets_counts_and_keeps_the_stage():
    harness = ControlHostHarness()
    harness.ask(ORDER)
    harness.state.rollouts.latest["s1"].stage = RolloutStage.SWITCHING
    harness.lead(5)
    counts = RolloutCounts(1, 100, 10, 2)
    grants = harness.ask(RolloutReport(1, 0, (counts,)))
    [grant] = grants.grants
    assert (grants.term, grant.stage, grant.share) == (5, RolloutStage.SWITCHING, 1.0)


def test_a_service_without_rollout_has_number_0():
    assert ControlHostHarness().ask(ReadRollout("s1")).number == 0


def test_the_end_is_committed_and_pushed():
    harness = ControlHostHarness()
    harness.ask(RolloutReport(1, 0))
    harness.ask(ORDER)
    harness.now += 11.5
    harness.ask(RolloutReport(1, 0))

    async def run_shortly():
        with anyio.move_on_after(0.7):
            await harness.coordinator.run()

    anyio.run(run_shortly)
    rollout = harness.state.rollouts.latest["s1"]
    assert rollout.stage is RolloutStage.ROLLED_BACK
    assert rollout.reason == "no upstream of the version has announced itself"
    node, grants = harness.sent[-1]
    assert (node, grants.grants[0].stage) == ("relay-1", RolloutStage.ROLLED_BACK)
    assert harness.ask(RolloutReport(1, grants.revision)) == grants
