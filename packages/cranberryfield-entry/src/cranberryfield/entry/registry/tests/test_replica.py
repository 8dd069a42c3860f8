"""Upstreams that say themselves that they leave, against what is announced of them."""

from random import Random

import msgspec
import pytest

from cranberryfield.core.mesh import ControlHostNames
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import UpstreamRecord, UpstreamUpdate
from cranberryfield.entry.registry import (
    RegistryPublisher,
    RegistryReplica,
    RegistryTable,
    accept_record,
)


class RecordingMesh:
    """Mesh that keeps sent messages and delivers the given ones."""

    def __init__(self, peers=()):
        self.sent = []
        self.handlers = {}
        self.peers = [Hello(node, "g", 1, "d", (role,), "", "") for node, role in peers]

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def watch_links(self, watcher):
        pass

    def is_linked(self, node):
        return True

    def send(self, node, message):
        self.sent.append((node, message))

    def deliver(self, sender, message):
        return self.handlers[type(message)](sender, message)


def record(sequence=1, incarnation=5, upstream="u1", leaving=False):
    address = "10.0.0.1:80"
    return UpstreamRecord(
        upstream, incarnation, sequence, "s", "d", address, "", (), 8, 0, leaving
    )


def replica_with(announced):
    mesh, table = RecordingMesh(), RegistryTable()
    accept_record(table, announced, 1.0)
    names = ControlHostNames.from_list(["c1"])
    return RegistryReplica(table, mesh, names, lambda: 2.0, Random(1)), mesh, table


# What comes after an upstream of incarnation 5 has said that it leaves, and the ids of
# those that are active then.
LATER = [
    ("nothing", [], []),
    ("late announcement", [record(9)], []),
    ("the same once more", [record(1)], []),
    ("announcement of its leaving", [record(9, leaving=True)], []),
    ("announcement without a start", [record(9, incarnation=0)], []),
    ("announcement of an earlier start", [record(9, incarnation=4)], []),
    ("later start", [record(1, incarnation=6)], ["u1"]),
    ("another id at its address", [record(1, 6, "u2")], ["u2"]),
]


@pytest.mark.parametrize(
    ("later", "active"), [row[1:] for row in LATER], ids=[row[0] for row in LATER]
)
def test_only_a_later_start_makes_a_leaving_upstream_active(later, active):
    replica, mesh, table = replica_with(record())
    replica.record_leaving(record())
    for one in later:
        mesh.deliver("c1", UpstreamUpdate((one,), (0,)))
    assert [one.upstream for one in table.active_upstreams("s")] == active


def test_statement_of_an_earlier_start_says_nothing_of_the_present_one():
    replica, _, table = replica_with(record(incarnation=6))
    replica.record_leaving(record(incarnation=5))
    assert table.active_upstreams("s")


def test_control_hosts_are_told_once():
    replica, mesh, _ = replica_with(record())
    for _ in range(3):
        replica.record_leaving(record())
    ((node, update),) = mesh.sent
    assert (node, update.records) == ("c1", (record(leaving=True),))


# Guards against a control host that was restarted, or did not get the message, and so
# takes the upstream for active: relays that do not ask the upstream would send there.
def test_control_host_that_does_not_know_is_told_again():
    replica, mesh, _ = replica_with(record())
    replica.record_leaving(record())
    del mesh.sent[:]
    replica._tell_leaving("c1", UpstreamUpdate((record(7),), (0,)))
    assert [one.leaving for one in mesh.sent[0][1].records] == [True]
    replica._tell_leaving("c1", UpstreamUpdate((record(7, leaving=True),), (0,)))
    replica._tell_leaving("c1", UpstreamUpdate((record(7, incarnation=6),), (0,)))
    assert len(mesh.sent) == 1


@pytest.mark.parametrize(("sender", "is_published"), [("r1", True), ("c2", False)])
def test_control_host_publishes_what_relays_were_told(sender, is_published):
    mesh, table = RecordingMesh([("r1", "relay"), ("c2", "control")]), RegistryTable()
    names = ControlHostNames.from_list(["c1", "c2"])
    publisher = RegistryPublisher(table, mesh, names, lambda: 2.0)
    accept_record(table, record(), 1.0)
    mesh.deliver(sender, UpstreamUpdate((record(leaving=True),), (0,)))
    assert not table.active_upstreams("s")
    assert publisher._changed == ({"u1"} if is_published else set())


def test_leaving_record_counts_as_the_announced_one():
    table = RegistryTable()
    accept_record(table, record(3), 1.0)
    accept_record(table, record(1, leaving=True), 2.0)
    later = msgspec.structs.replace(record(4), leaving=True)
    assert not accept_record(table, later, 3.0)
