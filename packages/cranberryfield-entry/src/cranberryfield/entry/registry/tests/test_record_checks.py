"""Records of upstreams from other writers, and from processes that check less."""

from random import Random

import anyio
import msgspec
import pytest

from cranberryfield.core.errors import CallerError
from cranberryfield.core.mesh import ControlHostNames
from cranberryfield.core.messages.membership import (
    AskUpstreams,
    LoadReport,
    UpstreamRecord,
    UpstreamUpdate,
)
from cranberryfield.entry.registry import (
    RegistryPublisher,
    RegistryReplica,
    RegistryTable,
    accept_record,
)
from cranberryfield.entry.registry.table import RegistryEntry

HUGE = 0x9C41D07BE2A35F68_9C41D07BE2A35F68


def record(upstream="u1", **changes):
    known = UpstreamRecord(upstream, 5, 1, "s", "d", "10.0.0.1:80", "", (), 8, 0, False)
    return msgspec.structs.replace(known, **changes)


# Every field of a record, with values of another writer that name no upstream to use.
UNUSABLE = [
    ("incarnation", HUGE),
    ("incarnation", -1),
    ("sequence", HUGE),
    ("sequence", -HUGE),
    ("capacity", HUGE),
    ("lease_ms", HUGE),
    ("leave_ms", 10**30),
    ("load", LoadReport(running=HUGE)),
    ("load", LoadReport(prefill_tokens=-1)),
    ("upstream", ""),
    ("upstream", "u" * 300),
    ("upstream", "u\r\nHost: other"),
    ("service", ""),
    ("service", "s" * 300),
    ("data_centre", "d" * 300),
    ("machine_class", "m" * 300),
    ("software_version", "v" * 300),
    ("capabilities", ("c" * 300,)),
    ("home", "h" * 300),
    ("address", ""),
    ("address", "10.0.0.1"),
    ("address", "10.0.0.1:0"),
    ("address", "10.0.0.1:65536"),
    ("address", "10.0.0.1:80 "),
    ("address", "10.0.0.999:80"),
    ("address", "host.example:80"),
    ("address", "10.0.0.1:\N{SUPERSCRIPT TWO}"),
]
SOUND = record("u2", address="10.0.0.2:80")


class DeliveringMesh:
    """Mesh that delivers messages to its handlers, and gives replies."""

    def __init__(self, replies=()):
        self.peers = []
        self.replies = list(replies)
        self.handlers = {}

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def watch_links(self, watcher):
        pass

    def is_linked(self, node):
        return True

    def deliver(self, message):
        return self.handlers[type(message)]("c1", message)

    async def request(self, node, message, timeout_s):
        assert isinstance(message, AskUpstreams)
        return self.replies.pop(0)


def unusable_ids():
    return [f"{field}-{index}" for index, (field, _) in enumerate(UNUSABLE)]


def make_replica(replies=()):
    mesh, table = DeliveringMesh(replies), RegistryTable()
    names = ControlHostNames.from_list(["c1"])
    return RegistryReplica(table, mesh, names, lambda: 2.0, Random(1)), mesh, table


# Guards against LOST: one heartbeat of another writer ended all relays in turn.
@pytest.mark.parametrize(("field", "value"), UNUSABLE, ids=unusable_ids())
def test_unusable_record_is_skipped_and_the_others_hold(field, value):
    _, mesh, table = make_replica()
    update = UpstreamUpdate((record(**{field: value}), SOUND), (0, 0))
    mesh.deliver(update)
    assert [one.upstream for one in table.active_upstreams("s")] == ["u2"]


@pytest.mark.parametrize(("field", "value"), UNUSABLE, ids=unusable_ids())
def test_control_host_refuses_an_unusable_announcement(field, value):
    mesh, table = DeliveringMesh(), RegistryTable()
    names = ControlHostNames.from_list(["c1"])
    publisher = RegistryPublisher(table, mesh, names, lambda: 2.0)
    with pytest.raises(CallerError):
        anyio.run(publisher.announce, record(**{field: value}))
    anyio.run(publisher.announce, SOUND)
    assert list(table.entries) == ["u2"]


@pytest.mark.parametrize("ages_ms", [(), (HUGE, 0), (-1, 0)])
def test_ages_that_cannot_be_read_do_not_hide_other_records(ages_ms):
    _, mesh, table = make_replica()
    mesh.deliver(UpstreamUpdate((record(), SOUND), ages_ms))
    assert list(table.entries) == (["u2"] if ages_ms else [])


def test_comparison_survives_replies_with_numbers_of_any_size():
    replies = [
        UpstreamUpdate((record(incarnation=HUGE), SOUND), (0, 0)),
        UpstreamUpdate((), (), {"u2": 10**400, "unknown": -1}),
    ]
    replica, _, table = make_replica(replies)

    async def compare_twice():
        await replica._compare_digests()
        await replica._compare_digests()

    anyio.run(compare_twice)
    assert list(table.entries) == ["u2"]


# Guards against a table whose digest never agrees with that of other hosts again.
def test_entry_that_has_no_digest_is_not_stored():
    table = RegistryTable()
    accept_record(table, SOUND, 1.0)
    digest = table.digest
    with pytest.raises(OverflowError):
        table.set_entry(RegistryEntry(record(incarnation=HUGE), 1.0))
    assert (list(table.entries), table.digest) == (["u2"], digest)
