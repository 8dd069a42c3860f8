"""Requests for the deployment to a leader, a follower and a stale leader."""

from random import Random
from types import SimpleNamespace

import anyio
import pytest

from cranberryfield.control.consensus.replica import (
    Replica,
    ReplicaRole,
    ReplicationProgress,
)
from cranberryfield.control.deployment import DeploymentPublisher
from cranberryfield.control.machine import ControlState, apply_command
from cranberryfield.core.ids import LogIndex
from cranberryfield.core.messages.commands import ProposalRedirected
from cranberryfield.core.messages.consensus import LogEntry, Members
from cranberryfield.core.messages.deployment import (
    DeclareDeployment,
    DeploymentView,
    FollowDeployment,
    ReadDeployment,
)

NOW = 100.0
VERSION = 7


class RecordingMesh:
    """Records the registered handlers and the messages sent."""

    def __init__(self):
        self.handlers, self.sent = {}, []

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, node, message):
        self.sent.append((node, message))


def make_publisher(role, quorum_age_s=0.0):
    """Return a publisher; its quorum acknowledged a round `quorum_age_s` ago."""
    replica = Replica("a~1", Random(1))
    members = Members(("a~1", "b~1", "c~1"))
    replica.log.append((LogEntry(LogIndex(1), 1, b"", members),))
    replica.term, replica.commit_index, replica.role = 1, LogIndex(1), role
    replica.leader = "a~1" if role is ReplicaRole.LEADER else "b~1"
    replica.round_number = 3
    replica.round_start_times = {3: NOW - quorum_age_s}
    for other in ("b~1", "c~1"):
        replica.progress[other] = ReplicationProgress(LogIndex(2), LogIndex(1), 3)
    state = ControlState()
    apply_command(state, DeclareDeployment(VERSION, b"content"))
    mesh = RecordingMesh()

    async def wait_until_current():
        return

    section = SimpleNamespace(replica=replica, state=state)
    publisher = DeploymentPublisher(section, mesh, wait_until_current, lambda: NOW)
    return publisher, mesh, state


@pytest.mark.parametrize(
    ("role", "expected"),
    [
        (ReplicaRole.LEADER, DeploymentView(VERSION, b"content", True, "a")),
        (ReplicaRole.FOLLOWER, ProposalRedirected("b")),
        (ReplicaRole.CANDIDATE, ProposalRedirected("b")),
    ],
)
def test_read_is_served_by_the_leader_only(role, expected):
    _, mesh, _ = make_publisher(role)
    reply = anyio.run(mesh.handlers[ReadDeployment], "relay-1", ReadDeployment())
    assert reply == expected


@pytest.mark.parametrize(
    ("role", "quorum_age_s", "known", "content", "is_current"),
    [
        (ReplicaRole.LEADER, 0.0, -1, b"content", True),
        (ReplicaRole.LEADER, 0.0, VERSION, b"", True),
        (ReplicaRole.LEADER, 5.0, VERSION, b"", False),
        (ReplicaRole.FOLLOWER, 0.0, -1, b"content", False),
    ],
)
def test_view_is_current_only_from_a_leader_within_its_lease(
    role, quorum_age_s, known, content, is_current
):
    _, mesh, _ = make_publisher(role, quorum_age_s)
    view = mesh.handlers[FollowDeployment]("relay-1", FollowDeployment(known))
    assert (view.content, view.is_current) == (content, is_current)


@pytest.mark.parametrize(("version", "is_sent"), [(8, True), (7, False), (6, False)])
def test_new_version_is_sent_once_to_following_hosts(version, is_sent):
    publisher, mesh, state = make_publisher(ReplicaRole.LEADER)
    mesh.handlers[FollowDeployment]("relay-1", FollowDeployment(VERSION))
    apply_command(state, DeclareDeployment(version, b"next"))
    publisher.publish()
    publisher.publish()
    assert len(mesh.sent) == is_sent
    if is_sent:
        assert mesh.sent[0] == ("relay-1", DeploymentView(8, b"next", True, "a"))
