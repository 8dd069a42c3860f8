"""Replicated log of real processes whose hosts are lost, frozen or replaced."""

import shutil
import uuid

import httpx
import pytest
import yaml

from cranberryfield.core.errors import CranberryfieldError, ErrorKind
from cranberryfield.core.messages.commands import ChangeSettings, LevelEdit
from cranberryfield.core.messages.control import (
    ChangeControl,
    ReadDifference,
    ReadHistory,
    ReadMembers,
    ReplaceControl,
)
from standins.control_client import running_client
from standins.group import HostPlan, running_group
from standins.processes import Process, free_port, wait_until

CONTROL = ["control-1", "control-2", "control-3"]
HOSTS = [
    *(HostPlan(node, "plateau", ("control",)) for node in CONTROL),
    HostPlan("entry-1", "plateau"),
]


class Running:
    """Running group and a client of its control hosts."""

    def __init__(self, group, client):
        self.client = client
        self.folder = group.folder
        self.hosts = group.hosts
        self.status = group.status
        self.wait_revision = group.wait_revision


@pytest.fixture
def group(tmp_path):
    with running_group(tmp_path, HOSTS) as group, running_client(group) as client:
        yield Running(group, client)


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    """Group for tests that leave all its control hosts running."""
    folder = tmp_path_factory.mktemp("shared")
    with running_group(folder, HOSTS) as group, running_client(group) as client:
        yield Running(group, client)


def control_view(group, node):
    view = group.status(node)
    return view["control"] if view else None


def leader_of(group):
    def find():
        views = [control_view(group, node) for node in CONTROL]
        return next((v["leader"] for v in views if v and v["role"] == "leader"), None)

    wait_until(lambda: find() is not None, "a leader")
    return find()


def change(group, limit, change_id=None):
    edit = LevelEdit("system", None, {"queue_limit": limit})
    command = ChangeSettings(change_id or uuid.uuid4().hex, "test", (edit,))
    return group.client.propose(command).revision


def wait_committed(group, nodes, revision):
    for node in nodes:
        wait_until(
            lambda node=node: (
                (group.status(node) or {}).get("settings_revision", -1) >= revision
            ),
            f"revision {revision} on {node}",
        )


def lose_disk(group, node):
    group.hosts[node].process.kill()
    shutil.rmtree(group.folder / f"{node}-data")
    group.hosts[node].process.start()


def replica_ids(group, node):
    """Return the sorted voters that a host reports; None if it does not answer."""
    view = control_view(group, node)
    return view and sorted(view["voters"])


def wait_voters(group, node, voters):
    wait_until(
        lambda: replica_ids(group, node) == sorted(voters), f"voters {voters} on {node}"
    )


def test_lost_disk_is_repaired_and_a_second_host_may_be_lost(group):
    revisions = [change(group, limit) for limit in range(1, 6)]
    leader = leader_of(group)
    lost, other = (node for node in CONTROL if node != leader)
    old_id = (group.folder / f"{lost}-data" / "identity").read_bytes()
    lose_disk(group, lost)
    wait_until(
        lambda: (
            (view := control_view(group, lost))
            and view["leader"] == leader
            and lost in view["voters"]
        ),
        "the host with the lost disk is a voter again",
    )
    assert (group.folder / f"{lost}-data" / "identity").read_bytes() != old_id
    wait_committed(group, [lost], revisions[-1])
    group.hosts[leader].process.kill()
    assert change(group, 99) == revisions[-1] + 1
    wait_committed(group, [lost, other], revisions[-1] + 1)


def test_voter_frozen_through_an_election_follows_the_new_leader(shared):
    change(shared, 1)
    leader = leader_of(shared)
    frozen = next(node for node in CONTROL if node != leader)
    shared.hosts[frozen].process.freeze()
    change(shared, 2)
    shared.hosts[frozen].process.thaw()
    shared.hosts[leader].process.freeze()
    revision = change(shared, 3)
    shared.hosts[leader].process.thaw()
    wait_committed(shared, CONTROL, revision)
    wait_until(
        lambda: (
            len({(control_view(shared, n) or {}).get("leader") for n in CONTROL}) == 1
        ),
        "all control hosts report one leader",
    )


def test_lost_majority_is_told_and_a_replaced_group_keeps_what_was_in_force(group):
    revision = change(group, 7)
    group.wait_revision(revision)
    leader = leader_of(group)
    lost = [node for node in CONTROL if node != leader][:1] + [leader]
    kept = next(node for node in CONTROL if node not in lost)
    for node in lost:
        group.hosts[node].process.kill()
    with pytest.raises(CranberryfieldError) as caught:
        group.client.propose(
            ChangeSettings("c", "t", (LevelEdit("system", None, {"queue_limit": 8}),)),
            1.2,
        )
    assert caught.value.kind is ErrorKind.NO_QUORUM
    host = group.hosts["entry-1"]
    ready = httpx.get(f"http://{host.callers}/healthz/ready", trust_env=False)
    assert ready.status_code == 200
    wait_until(
        lambda: control_view(group, kept)["leader"] is None,
        "the remaining host reports no leader",
    )

    def replace():
        try:
            return group.client.ask_node(kept, ReplaceControl(kept))
        except CranberryfieldError as error:
            assert error.kind is ErrorKind.BAD_REQUEST
            return None

    found = []
    wait_until(lambda: found.append(replace()) or found[-1], "the group is replaced")
    assert (found[-1].voters, found[-1].generation) == ((kept,), 1)
    assert change(group, 9) == revision + 1
    # A host of the old generation exits; it may join with an empty data folder.
    returned = group.hosts[lost[0]].process
    returned.start()
    assert returned.wait(30) == 10
    lose_disk(group, lost[0])

    def add():
        try:
            return group.client.ask(ChangeControl(add=lost[0]))
        except CranberryfieldError as error:
            assert error.kind is ErrorKind.UNKNOWN_PATH
            return None

    wait_until(lambda: found.append(add()) or found[-1], "the host has joined")
    assert set(found[-1].voters) == {kept, lost[0]}
    wait_committed(group, [lost[0], "entry-1"], revision + 1)


def test_members_are_removed_and_added_by_command_only(shared):
    change(shared, 1)
    leader = leader_of(shared)
    removed = next(node for node in CONTROL if node != leader)
    view = shared.client.ask(ChangeControl(remove=removed))
    assert removed not in view.voters
    wait_voters(shared, leader, [node for node in CONTROL if node != removed])
    view = shared.client.ask(ChangeControl(add=removed))
    assert set(view.voters) == set(CONTROL)
    assert shared.client.ask_node(leader, ReadMembers()).leader == leader
    for bad in (ChangeControl(), ChangeControl(add="control-9")):
        with pytest.raises(CranberryfieldError):
            shared.client.ask(bad)
    with pytest.raises(CranberryfieldError):
        shared.client.ask_node(leader, ReplaceControl(leader))


def test_history_and_difference_are_current_on_the_leader(shared):
    first = change(shared, 1, "one")
    last = change(shared, 2, "two")
    changes = shared.client.ask(ReadHistory("system", limit=2)).changes
    assert [one.change_id for one in changes] == ["two", "one"]
    (found,) = shared.client.ask(ReadDifference(first, last)).settings
    assert (found.name, found.before, found.after) == ("queue_limit", 1, 2)


def test_two_processes_on_one_folder(shared):
    config = shared.folder / "second.yaml"
    first = yaml.safe_load((shared.folder / "control-1.yaml").read_text())
    ports = {name: f"127.0.0.1:{free_port()}" for name in ("mesh_bind", "callers")}
    config.write_text(yaml.safe_dump({**first, **ports}))
    second = Process(
        "second", ["cranberryfield.daemon", "--config", str(config)], shared.folder
    )
    second.start()
    assert second.wait(30) == 10
    assert "another process holds the folder" in second.log.read_text()
