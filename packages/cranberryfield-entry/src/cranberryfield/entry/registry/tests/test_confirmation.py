"""Departures that are acknowledged, over control hosts of which some are lost."""

from types import SimpleNamespace

import anyio
import msgspec
import pytest

from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.mesh import ControlHostNames
from cranberryfield.core.messages.membership import UpstreamRecord, UpstreamUpdate
from cranberryfield.entry.registry import (
    RegistryPublisher,
    RegistryTable,
    accept_record,
)

READY = UpstreamRecord("u1", 5, 1, "s", "d", "10.0.0.1:80", "", (), 8, 0)
OTHER = UpstreamRecord("u2", 5, 1, "s", "d", "10.0.0.2:80", "", (), 8, 0)
DRAINING = msgspec.structs.replace(READY, sequence=2, leaving=True)


class Host:
    """Control host whose messages reach the hosts that are up at once."""

    def __init__(self, network, node):
        self.network = network
        self.hello = SimpleNamespace(node=node)
        self.handlers = {}
        self.asked = []
        self.table = RegistryTable()
        names = ControlHostNames.from_list(network.nodes)
        self.publisher = RegistryPublisher(self.table, self, names, lambda: 2.0)

    @property
    def peers(self):
        return [
            SimpleNamespace(node=one, roles=("control",))
            for one in self.network.up - {self.hello.node}
        ]

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def watch_links(self, watcher):
        pass

    def is_linked(self, node):
        return node in self.network.up

    def send(self, node, message):
        if node in self.network.up and node not in self.network.deaf:
            self.network.hosts[node].receive(self.hello.node, message)

    async def request(self, node, message, timeout_s):
        await anyio.sleep(0)
        self.asked.append(node)
        if node not in self.network.up:
            raise UnavailableError(ErrorKind.NOT_READY, "no link")
        return self.network.hosts[node].receive(self.hello.node, message)

    def receive(self, sender, message):
        return self.handlers[type(message)](sender, message)


class Network:
    """Control hosts that know two upstreams."""

    def __init__(self, count=5, down=(), deaf=()):
        self.nodes = [f"c{number}" for number in range(count)]
        self.up = set(self.nodes) - set(down)
        #: Hosts that requests reach, but no one-way messages.
        self.deaf = set(deaf)
        self.hosts = {node: Host(self, node) for node in self.nodes}
        for host in self.hosts.values():
            for record in (READY, OTHER):
                accept_record(host.table, record, 1.0)

    def knows(self, node):
        return not any(
            one.upstream == "u1" for one in self.hosts[node].table.active_upstreams("s")
        )


async def depart(publisher):
    await publisher.depart("u1", 5)


async def depart_without_incarnation(publisher):
    await publisher.depart("u1", None)


async def announce_draining(publisher):
    await publisher.announce(DRAINING)


CALLS = [depart, depart_without_incarnation, announce_draining]


# Guards against DRAIN: an acknowledged departure was lost with the one control host
# that had heard of it, and requests ran at an upstream that was gone.
@pytest.mark.parametrize("call", CALLS)
def test_most_hosts_know_of_an_acknowledged_departure(call):
    network = Network()
    anyio.run(call, network.hosts["c0"].publisher)
    network.up.discard("c0")
    assert sum(map(network.knows, network.up)) >= len(network.nodes) // 2


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize(
    ("count", "down", "deaf", "is_acknowledged"),
    [
        (1, (), (), True),
        (3, ("c1",), (), True),
        (3, ("c1", "c2"), (), False),
        (5, ("c1", "c2"), (), True),
        (5, ("c1", "c2", "c3"), (), False),
        (5, (), ("c1", "c2"), True),
        (5, (), ("c1", "c2", "c3"), False),
        (5, ("c1",), ("c2", "c3"), False),
    ],
)
def test_a_departure_is_acknowledged_if_most_hosts_know(
    call, count, down, deaf, is_acknowledged
):
    network = Network(count, down, deaf)
    publisher = network.hosts["c0"].publisher
    if is_acknowledged:
        anyio.run(call, publisher)
    else:
        with pytest.raises(UnavailableError):
            anyio.run(call, publisher)
    # What was heard holds at this host in any case.
    assert network.knows("c0")


# Guards against a departure that a host acknowledges and does not record, as it has
# started just now and knows no upstream yet.
def test_a_host_without_a_table_asks_the_others():
    network = Network()
    started = network.hosts["c0"] = Host(network, "c0")
    anyio.run(started.publisher.depart, "u1", 5)
    assert all(map(network.knows, network.nodes))
    assert "u1" in started.table.entries


def test_a_host_without_a_table_and_without_others_acknowledges_nothing():
    network = Network(down=("c1", "c2", "c3"))
    started = network.hosts["c0"] = Host(network, "c0")
    with pytest.raises(UnavailableError):
        anyio.run(started.publisher.depart, "u1", 5)


def test_an_upstream_that_nobody_knows_may_depart():
    network = Network()
    anyio.run(network.hosts["c0"].publisher.depart, "u9", 5)
    assert not network.knows("c0")


def test_an_earlier_start_that_departs_changes_nothing():
    network = Network()
    anyio.run(network.hosts["c0"].publisher.depart, "u1", 4)
    assert not network.knows("c0")


# Guards against control hosts that ask each other with each heartbeat of an upstream
# that drains.
def test_further_heartbeats_of_a_draining_upstream_ask_nobody():
    host = Network().hosts["c0"]

    async def beat():
        for sequence in range(2, 10):
            record = msgspec.structs.replace(DRAINING, sequence=sequence)
            await host.publisher.announce(record)

    anyio.run(beat)
    assert len(host.asked) <= 4


# Control hosts of earlier builds reply with the whole table, or with nothing if it is
# the same.
@pytest.mark.parametrize(
    ("reply", "is_acknowledged"),
    [
        (UpstreamUpdate((), ()), True),
        (UpstreamUpdate((OTHER, DRAINING), (0, 0)), True),
        (UpstreamUpdate((OTHER, READY), (0, 0)), False),
        (UpstreamUpdate((OTHER,), (0,)), False),
        (UpstreamUpdate((msgspec.structs.replace(READY, incarnation=6),), (0,)), True),
    ],
)
def test_replies_of_earlier_builds_are_understood(reply, is_acknowledged):
    network = Network()
    host = network.hosts["c0"]

    async def request(node, message, timeout_s):
        return reply

    host.request = request
    if is_acknowledged:
        anyio.run(depart, host.publisher)
    else:
        with pytest.raises(UnavailableError):
            anyio.run(depart, host.publisher)
