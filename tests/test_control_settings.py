"""Propagation of settings while links between hosts are cut."""

import uuid
from itertools import combinations

import httpx
import pytest

from cranberryfield.core.errors import CranberryfieldError, ErrorKind
from cranberryfield.core.messages.commands import ChangeSettings, LevelEdit
from cranberryfield.core.messages.control import ReadHolders
from standins.control_client import running_client
from standins.group import HostPlan, running_group
from standins.processes import wait_until

CONTROL = ["control-1", "control-2", "control-3"]
ENTRY = ["entry-1", "entry-2", "entry-3", "entry-4"]
HOSTS = [
    *(HostPlan(node, "plateau", ("control",)) for node in CONTROL),
    *(HostPlan(node, "plateau") for node in ENTRY),
]
MISSED_CHANGE_COUNT = 500


class Cluster:
    """Group with links that can be cut, and a client of its control hosts."""

    def __init__(self, group, client):
        self.group = group
        self.client = client
        self.queue_limit = 0

    def next_change(self):
        self.queue_limit += 1
        edit = LevelEdit("system", None, {"queue_limit": self.queue_limit})
        return ChangeSettings(uuid.uuid4().hex, "test", (edit,))

    def change(self, timeout_s=15.0):
        return self.client.propose(self.next_change(), timeout_s).revision

    def revision(self, node):
        return (self.group.status(node) or {}).get("settings_revision", -1)

    def is_ready(self, node):
        url = f"http://{self.group.hosts[node].callers}/healthz/ready"
        try:
            return httpx.get(url, trust_env=False, timeout=2).status_code == 200
        except httpx.HTTPError:
            return False

    def wait_ready(self, nodes, ready=True):
        for node in nodes:
            wait_until(
                lambda node=node: self.is_ready(node) is ready,
                f"{node}: ready is {ready}",
            )

    def wait_revision(self, nodes, revision):
        for node in nodes:
            wait_until(
                lambda node=node: self.revision(node) >= revision,
                f"revision {revision} on {node}",
            )

    def isolate(self, nodes):
        """Cut all links between the given hosts and all others."""
        for first, second in combinations([*CONTROL, *ENTRY], 2):
            if (first in nodes) != (second in nodes):
                self.group.links.cut(first, second)

    def cut_links(self, node, others):
        for other in others:
            self.group.links.cut(node, other)

    def follower(self):
        """Return a control host that is not the leader."""
        views = {node: self.group.status(node)["control"] for node in CONTROL}
        return next(node for node in CONTROL if views[node]["role"] != "leader")


@pytest.fixture(scope="module")
def running_cluster(tmp_path_factory):
    folder = tmp_path_factory.mktemp("settings")
    with (
        running_group(folder, HOSTS, proxied=True) as group,
        running_client(group) as client,
    ):
        yield Cluster(group, client)


@pytest.fixture
def cluster(running_cluster):
    """Group with all links restored and every entry host ready."""
    running_cluster.group.links.heal()
    running_cluster.wait_ready(ENTRY)
    wait_until(
        lambda: len(running_cluster.client.ask(ReadHolders(0)).holders) == len(ENTRY),
        "all entry hosts follow the settings",
    )
    return running_cluster


def test_holders_are_counted(cluster):
    revision = cluster.change()
    wait_until(
        lambda: cluster.client.ask(ReadHolders(revision)).holders == tuple(ENTRY),
        "every entry host has the revision",
    )
    view = cluster.client.ask(ReadHolders(revision + 1))
    assert (view.holders, view.lagging, view.silent) == ((), tuple(ENTRY), ())


def test_a_host_cut_off_from_control_follows_its_peers(cluster):
    cluster.cut_links("entry-1", CONTROL)
    for _ in range(3):
        cluster.wait_revision(["entry-1"], cluster.change())
        cluster.wait_ready(["entry-1"])


def test_a_host_that_misses_control_and_peers_turns_not_ready(cluster):
    cluster.isolate(["entry-1"])
    cluster.wait_ready(["entry-1"], False)
    revision = cluster.change()
    cluster.wait_revision(ENTRY[1:], revision)
    assert cluster.revision("entry-1") < revision
    cluster.group.links.heal()
    cluster.wait_ready(["entry-1"])
    assert cluster.revision("entry-1") >= revision


def test_a_stale_control_host_confirms_nothing(cluster):
    stale_host = cluster.follower()
    cluster.isolate(["entry-1", stale_host])
    cluster.wait_ready(["entry-1"], False)
    before = cluster.revision("entry-1")
    commands = [cluster.next_change() for _ in range(MISSED_CHANGE_COUNT)]
    revision = max(one.revision for one in cluster.client.propose_all(commands))
    process = cluster.group.hosts["entry-1"].process
    process.kill()
    process.start()
    # The restarted host loads the settings of the stale control host, but is not
    # ready with them.
    cluster.wait_revision(["entry-1"], before)
    assert cluster.revision("entry-1") == before
    assert not cluster.is_ready("entry-1")
    cluster.group.links.heal()
    cluster.wait_ready(["entry-1"])
    assert cluster.revision("entry-1") >= revision
    cluster.wait_revision([stale_host], revision)


def test_no_change_is_accepted_that_most_entry_hosts_would_miss(cluster):
    revision = cluster.change()
    cluster.wait_revision(ENTRY, revision)
    cluster.isolate(ENTRY[:3])

    def is_refused():
        try:
            cluster.change(2.0)
        except CranberryfieldError as error:
            assert error.kind is ErrorKind.NO_QUORUM
            return "less than half of the entry hosts" in error.detail
        return False

    wait_until(is_refused, "changes are refused")
    in_force = cluster.revision("entry-4")
    cluster.wait_ready(ENTRY)
    assert {cluster.revision(node) for node in ENTRY[:3]} <= set(
        range(revision, in_force + 1)
    )
    cluster.group.links.heal()
    wait_until(lambda: not is_refused(), "changes are accepted again")
    cluster.wait_revision(ENTRY, cluster.change())
