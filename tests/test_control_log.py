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


class ControlGroup:
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
        yield ControlGroup(group, client)


@pytest.fixture(scope="module")
def shared_group(tmp_path_factory):
    """Group for tests that leave all its control hosts running."""
    folder = tmp_path_factory.mktemp("shared")
    with running_group(folder, HOSTS) as group, running_client(group) as client:
        yield ControlGroup(group, client)


def control_status(group, node):
    view = group.status(node)
    return view["control"] if view else None


def wait_leader(group):
    def find_leader():
        views = [control_status(group, node) for node in CONTROL]
        return next((v["leader"] for v in views if v and v["role"] == "leader"), None)

    wait_until(lambda: find_leader() is not None, "a leader")
    return find_leader()


def change_queue_limit(group, limit, change_id=None):
    edit = LevelEdit("system", None, {"queue_limit": limit})
    command = ChangeSettings(change_id or uuid.uuid4().hex, "test", (edit,))
    return group.client.propose(command).revision


def wait_settings_revision(group, nodes, revision):
    for node in nodes:
        wait_until(
            lambda node=node: (
                (group.status(node) or {}).get("settings_revision", -1) >= revision
            ),
            f"revision {revision} on {node}",
        )


def restart_with_empty_disk(group, node):
    group.hosts[node].process.kill()
    shutil.rmtree(group.folder / f"{node}-data")
    group.hosts[node].process.start()


def reported_voters(group, node):
    """Return the sorted voters that a host reports; None if it does not answer."""
    view = control_status(group, node)
    return view and sorted(view["voters"])


def wait_voters(group, node, voters):
    wait_until(
        lambda: reported_voters(group, node) == sorted(voters),
        f"voters {voters} on {node}",
    )


def test_lost_disk_is_repaired_and_a_second_host_may_be_lost(group):
    revisions = [change_queue_limit(group, limit) for limit in range(1, 6)]
    leader = wait_leader(group)
    lost_node, other_node = (node for node in CONTROL if node != leader)
    old_id = (group.folder / f"{lost_node}-data" / "identity").read_bytes()
    restart_with_empty_disk(group, lost_node)
    wait_until(
        lambda: (
            (view := control_status(group, lost_node))
            and view["leader"] == leader
            and lost_node in view["voters"]
        ),
        "the host with the lost disk is a voter again",
    )
    assert (group.folder / f"{lost_node}-data" / "identity").read_bytes() != old_id
    wait_settings_revision(group, [lost_node], revisions[-1])
    group.hosts[leader].process.kill()
    assert change_queue_limit(group, 99) == revisions[-1] + 1
    wait_settings_revision(group, [lost_node, other_node], revisions[-1] + 1)


def test_voter_frozen_through_an_election_follows_the_new_leader(shared_group):
    change_queue_limit(shared_group, 1)
    leader = wait_leader(shared_group)
    frozen_node = next(node for node in CONTROL if node != leader)
    shared_group.hosts[frozen_node].process.freeze()
    change_queue_limit(shared_group, 2)
    shared_group.hosts[frozen_node].process.thaw()
    shared_group.hosts[leader].process.freeze()
    revision = change_queue_limit(shared_group, 3)
    shared_group.hosts[leader].process.thaw()
    wait_settings_revision(shared_group, CONTROL, revision)
    wait_until(
        lambda: (
            len(
                {(control_status(shared_group, n) or {}).get("leader") for n in CONTROL}
            )
            == 1
        ),
        "all control hosts report one leader",
    )


def test_lost_majority_is_told_and_a_replaced_group_keeps_what_was_in_force(group):
    revision = change_queue_limit(group, 7)
    group.wait_revision(revision)
    leader = wait_leader(group)
    lost_nodes = [node for node in CONTROL if node != leader][:1] + [leader]
    survivor = next(node for node in CONTROL if node not in lost_nodes)
    for node in lost_nodes:
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
        lambda: control_status(group, survivor)["leader"] is None,
        "the remaining host reports no leader",
    )

    def try_replace():
        try:
            return group.client.ask_node(survivor, ReplaceControl(survivor))
        except CranberryfieldError as error:
            assert error.kind is ErrorKind.BAD_REQUEST
            return None

    replies = []
    wait_until(
        lambda: replies.append(try_replace()) or replies[-1], "the group is replaced"
    )
    assert (replies[-1].voters, replies[-1].generation) == ((survivor,), 1)
    assert change_queue_limit(group, 9) == revision + 1
    # A host of the old generation exits; it may join with an empty data folder.
    returned_process = group.hosts[lost_nodes[0]].process
    returned_process.start()
    assert returned_process.wait(30) == 10
    restart_with_empty_disk(group, lost_nodes[0])

    def try_add():
        try:
            return group.client.ask(ChangeControl(add=lost_nodes[0]))
        except CranberryfieldError as error:
            assert error.kind is ErrorKind.UNKNOWN_PATH
            return None

    wait_until(lambda: replies.append(try_add()) or replies[-1], "the host has joined")
    assert set(replies[-1].voters) == {survivor, lost_nodes[0]}
    wait_settings_revision(group, [lost_nodes[0], "entry-1"], revision + 1)


def test_members_are_removed_and_added_by_command_only(shared_group):
    change_queue_limit(shared_group, 1)
    leader = wait_leader(shared_group)
    removed_node = next(node for node in CONTROL if node != leader)
    view = shared_group.client.ask(ChangeControl(remove=removed_node))
    assert removed_node not in view.voters
    wait_voters(
        shared_group, leader, [node for node in CONTROL if node != removed_node]
    )
    view = shared_group.client.ask(ChangeControl(add=removed_node))
    assert set(view.voters) == set(CONTROL)
    assert shared_group.client.ask_node(leader, ReadMembers()).leader == leader
    for invalid_change in (ChangeControl(), ChangeControl(add="control-9")):
        with pytest.raises(CranberryfieldError):
            shared_group.client.ask(invalid_change)
    with pytest.raises(CranberryfieldError):
        shared_group.client.ask_node(leader, ReplaceControl(leader))


def test_history_and_difference_are_current_on_the_leader(shared_group):
    first_revision = change_queue_limit(shared_group, 1, "one")
    last_revision = change_queue_limit(shared_group, 2, "two")
    changes = shared_group.client.ask(ReadHistory("system", limit=2)).changes
    assert [one.change_id for one in changes] == ["two", "one"]
    (found,) = shared_group.client.ask(
        ReadDifference(first_revision, last_revision)
    ).settings
    assert (found.name, found.before, found.after) == ("queue_limit", 1, 2)


def test_two_processes_on_one_folder(shared_group):
    config_path = shared_group.folder / "second.yaml"
    first_config = yaml.safe_load((shared_group.folder / "control-1.yaml").read_text())
    ports = {name: f"127.0.0.1:{free_port()}" for name in ("mesh_bind", "callers")}
    config_path.write_text(yaml.safe_dump({**first_config, **ports}))
    second = Process(
        "second",
        ["cranberryfield.daemon", "--config", str(config_path)],
        shared_group.folder,
    )
    second.start()
    assert second.wait(30) == 10
    assert "another process holds the folder" in second.log.read_text()
