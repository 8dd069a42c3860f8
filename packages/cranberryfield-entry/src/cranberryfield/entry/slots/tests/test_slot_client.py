"""A relay's client and the owner on the leader, joined by a mesh without network."""

from random import Random
from types import SimpleNamespace

import anyio
import pytest

from cranberryfield.core.errors import ErrorKind, UnavailableError, WasRun
from cranberryfield.core.features import FeatureLevel
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.slots import SlotReport
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.registry import RegistryTable, accept_record
from cranberryfield.entry.slots import (
    RelaySlots,
    SlotClient,
    SlotOwnerSection,
    SlotServer,
)
from cranberryfield.entry.slots.asks import SlotRequirements
from cranberryfield.entry.slots.owner import LEASE_S

RECORD = UpstreamRecord("u0", 1, 1, "s", "d", "u0:1", "", (), 1, 0)
HOSTS = 4


class Network:
    """Delivers messages at once, unless a host is silent."""

    def __init__(self, level=FeatureLevel.ROLLOUTS):
        self.handlers, self.sent, self.level = {}, [], level
        self.silent, self.cut = set(), set()

    def mesh_of(self, node):
        handlers = self.handlers[node] = {}

        def send(target, message):
            self.sent.append((node, message))
            if not self.silent & {node, target}:
                self.handlers[target][type(message)](node, message)
            return True

        return SimpleNamespace(
            hello=SimpleNamespace(node=node, incarnation=1),
            handle=handlers.__setitem__,
            send=send,
            # As that of the mesh, which knows the levels of linked peers only.
            supports=lambda node, level: node not in self.cut and self.level >= level,
            is_linked=lambda node: node not in self.cut,
        )


class Fixture:
    def __init__(self, level=FeatureLevel.ROLLOUTS):
        self.offset = 0.0
        self.network = Network(level)
        self.table = RegistryTable()
        accept_record(self.table, RECORD, 0.0)
        self.section = SlotOwnerSection()
        self.server = SlotServer(
            self.section,
            self.table,
            self.network.mesh_of("owner"),
            lambda: 1,
            lambda: -LEASE_S,
            self.clock,
            Random(1),
        )
        self.clients = [self.client(f"relay-{number}") for number in range(2)]

    def clock(self):
        """Return the time, which counts suspensions."""
        return anyio.current_time() + self.offset

    def client(self, name):
        return SlotClient(
            RelaySlots(1, "d"),
            self.table,
            self.network.mesh_of(name),
            lambda: "owner",
            lambda: HOSTS,
            lambda service: service == "s",
            Metrics(),
            self.clock,
            Random(1),
        )

    async def take(self, client, request, left_s=60.0):
        now = self.clock()
        requirements = SlotRequirements("s", "w", 0, now, now + left_s)
        return await client.take(request, requirements, RECORD)

    def run(self, conversation):
        async def main():
            with anyio.fail_after(10.0):
                async with anyio.create_task_group() as tasks:
                    for one in (self.server, *self.clients):
                        tasks.start_soon(one.run)
                    await conversation()
                    tasks.cancel_scope.cancel()

        anyio.run(main)

    @property
    def held(self):
        return sum(len(one.held) for one in self.section.services.values())

    @property
    def waiting(self):
        return sum(one.line.size for one in self.section.services.values())


async def until(condition):
    while not condition():
        await anyio.sleep(0.001)


# Guards against a slot or a place in the line that stays taken after its caller left.
@pytest.mark.parametrize("holds", [True, False])
def test_a_caller_that_leaves_gives_back_what_it_has(holds):
    fixture = Fixture()
    first, second = fixture.clients

    async def conversation():
        if not holds:
            await fixture.take(second, "other")
        async with anyio.create_task_group() as tasks:

            async def ask():
                try:
                    await fixture.take(first, "leaving")
                    await anyio.sleep_forever()
                finally:
                    first.release("leaving")

            tasks.start_soon(ask)
            await until(lambda: fixture.held == 1 and (holds or fixture.waiting == 1))
            tasks.cancel_scope.cancel()
        await until(lambda: fixture.waiting == 0 and fixture.held == (not holds))

    fixture.run(conversation)


def test_a_slot_passes_from_one_relay_to_the_next():
    fixture = Fixture()
    first, second = fixture.clients
    order = []

    async def run_one(client, request):
        assert await fixture.take(client, request) == ("u0", 1)
        order.append(f"{request} begins")
        await anyio.sleep(0.02)
        order.append(f"{request} ends")
        client.release(request)

    async def conversation():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_one, first, "a")
            tasks.start_soon(run_one, second, "b")

    fixture.run(conversation)
    assert [one.split()[1] for one in order] == ["begins", "ends"] * 2


# Guards against an attempt that begins after its lease, and against a chooser that
# takes a service without slots for one whose lease has ended.
def test_a_slot_is_not_usable_after_a_suspension():
    fixture = Fixture()
    client = fixture.clients[0]

    async def conversation():
        await fixture.take(client, "a")
        assert client.is_usable("a")
        assert client.is_usable("request without a slot")
        fixture.offset += LEASE_S + 0.1
        assert not client.is_usable("a")

    fixture.run(conversation)


# Guards against requests that wait while the owner is out of reach, and against a relay
# that takes more than its share then.
def test_without_the_owner_a_relay_uses_its_share_alone():
    fixture = Fixture()
    client = fixture.clients[0]
    fixture.network.silent.add("owner")
    took_s = []

    async def conversation():
        began = fixture.clock()
        assert await fixture.take(client, "a") == RECORD.process
        took_s.append(fixture.clock() - began)
        with pytest.raises(UnavailableError) as refusal:
            await fixture.take(client, "b", left_s=0.4)
        assert refusal.value.kind is ErrorKind.NO_UPSTREAM
        assert refusal.value.was_run is WasRun.NO
        assert refusal.value.retry_after_s > 0.0
        client.release("a")
        assert await fixture.take(client, "c") == RECORD.process
        fixture.network.silent.clear()
        # The owner counts what was taken without it.
        await until(lambda: fixture.held == 1)

    fixture.run(conversation)
    # Much more than the answer timeout, as machines of CI are slow.
    assert took_s[0] < 1.0


# Guards against a relay without a link that takes its owner for an older build, and
# uses more than its share.
def test_without_a_link_to_the_owner_a_relay_uses_its_share_at_once():
    fixture = Fixture()
    client = fixture.clients[0]
    fixture.network.cut.add("owner")

    async def conversation():
        assert client.is_shared("s")
        assert await fixture.take(client, "a") == RECORD.process
        with pytest.raises(UnavailableError):
            await fixture.take(client, "b", left_s=0.2)
        fixture.network.cut.clear()
        client.release("a")
        await until(lambda: fixture.section.term is not None)
        assert await fixture.take(client, "c") == RECORD.process
        assert fixture.held == 1

    fixture.run(conversation)


# Guards against messages that an older build cannot read, at which it closes the link.
def test_a_peer_of_an_older_build_gets_no_message():
    fixture = Fixture(FeatureLevel.BASE)
    client = fixture.clients[0]

    async def conversation():
        assert not client.is_shared("s")
        # A request that began before the leader changed.
        assert await fixture.take(client, "a") == RECORD.process
        await anyio.sleep(0.5)

    fixture.run(conversation)
    assert not [one for one in fixture.network.sent if isinstance(one[1], SlotReport)]


# Service, stated slots, and whether relays share them.
@pytest.mark.parametrize(
    ("service", "slots", "is_shared"),
    [("s", HOSTS, True), ("s", HOSTS + 1, False), ("engine", 1, False)],
)
def test_only_plain_services_with_few_slots_are_shared(service, slots, is_shared):
    fixture = Fixture()
    record = UpstreamRecord("u0", 1, 2, service, "d", "u0:1", "", (), slots, 0)
    accept_record(fixture.table, record, 1.0)
    assert fixture.clients[0].is_shared(service) is is_shared


# Guards against an owner that lends slots of upstreams that have left.
def test_the_owner_sees_each_change_of_the_upstreams():
    fixture = Fixture()
    first, second = fixture.clients

    async def conversation():
        await fixture.take(first, "a")
        more = UpstreamRecord("u0", 1, 2, "s", "d", "u0:1", "", (), 2, 0)
        accept_record(fixture.table, more, 1.0)
        await fixture.take(second, "b")
        assert fixture.held == 2

    fixture.run(conversation)
