"""Merging of announcements that arrive out of order or from several incarnations."""

from random import Random

import msgspec
import pytest

from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.registry.table import (
    FORGET_AFTER_S,
    RegistryTable,
    accept_record,
    doubtful_among,
    find_silent,
    forget_silent,
    forget_unknown,
    mark_leaving,
    record_heard,
    record_reply,
)

KNOWN = UpstreamRecord(
    "u1", 100, 5, "drafts", "fann", "10.0.0.1:80", "on-demand", (), 8, 0
)


def changed(**fields):
    return msgspec.structs.replace(KNOWN, **fields)


def table_with(*records):
    table = RegistryTable()
    for record in records:
        accept_record(table, record, 10.0)
    return table


@pytest.mark.parametrize(
    ("record", "is_kept", "is_changed"),
    [
        (changed(sequence=6), True, False),
        (changed(sequence=4), False, False),
        (changed(sequence=5), False, False),
        (changed(sequence=6, address="10.0.0.2:80"), True, True),
        (changed(sequence=6, leaving=True), True, True),
        (changed(sequence=4, leaving=True), True, True),
        (changed(incarnation=101, sequence=1), True, True),
        (changed(incarnation=99, sequence=9), False, False),
        (changed(incarnation=99, sequence=9, leaving=True), False, False),
    ],
)
def test_newer_announcement_replaces_the_known_one(record, is_kept, is_changed):
    table = table_with(KNOWN)
    assert accept_record(table, record, 11.0) is is_changed
    assert (table.entries["u1"].record == record) is (is_kept or record == KNOWN)


@pytest.mark.parametrize(
    ("later", "is_leaving"),
    [
        (changed(sequence=9), True),
        (changed(sequence=9, leaving=True), True),
        (changed(incarnation=101, sequence=1), False),
    ],
)
def test_leaving_upstream_stays_so_until_its_next_incarnation(later, is_leaving):
    table = table_with(KNOWN, changed(sequence=6, leaving=True))
    accept_record(table, later, 12.0)
    assert table.entries["u1"].record.leaving is is_leaving
    assert len(table.active_upstreams("drafts")) == (not is_leaving)


@pytest.mark.parametrize(
    ("upstream", "incarnation", "is_changed"),
    [("u1", None, True), ("u1", 100, True), ("u1", 99, False), ("u2", None, False)],
)
def test_departure_applies_to_its_incarnation(upstream, incarnation, is_changed):
    table = table_with(KNOWN)
    assert (mark_leaving(table, upstream, incarnation, 11.0) is not None) is is_changed
    assert table.entries["u1"].record.leaving is (is_changed and upstream == "u1")


def test_digest_ignores_the_sequence():
    table = table_with(KNOWN)
    assert table.digest == table_with(changed(sequence=99)).digest
    assert table.digest != table_with(changed(leaving=True)).digest
    assert table.digest != RegistryTable().digest


@pytest.mark.parametrize("seed", range(5))
def test_digest_depends_on_the_records_alone(seed):
    rng = Random(seed)
    table = RegistryTable()
    for now in range(0, 600, 3):
        record = changed(
            upstream=f"u{rng.randrange(5)}",
            incarnation=rng.randrange(3),
            sequence=now,
            address=f"10.0.0.{rng.randrange(3)}:80",
        )
        accept_record(table, record, now)
        if rng.random() < 0.2:
            mark_leaving(table, f"u{rng.randrange(5)}", None, now)
        forget_silent(table, now + rng.choice([0, 90]))
        records = [entry.record for entry in table.entries.values()]
        rng.shuffle(records)
        assert table.digest == table_with(*records).digest


@pytest.mark.parametrize(
    ("age_s", "is_dropped"), [(FORGET_AFTER_S, False), (FORGET_AFTER_S + 1, 1)]
)
def test_silent_upstreams_are_forgotten(age_s, is_dropped):
    assert bool(forget_silent(table_with(KNOWN), 10.0 + age_s)) is bool(is_dropped)
    assert bool(forget_unknown(table_with(KNOWN), set(), 10.0 + age_s)) is bool(
        is_dropped
    )
    assert forget_unknown(table_with(KNOWN), {"u1"}, 10.0 + age_s) == []


# A record announced beside the known one, in either order, and the active upstreams.
ADDRESS_CASES = [
    ("later start", changed(upstream="u2", incarnation=101), {"u2"}),
    ("earlier start", changed(upstream="u2", incarnation=99), {"u1"}),
    ("other service", changed(upstream="u2", incarnation=101, service="x"), set()),
    ("other address", changed(upstream="u2", address="10.0.0.2:80"), {"u1", "u2"}),
    ("same start", changed(upstream="u2"), {"u1", "u2"}),
]


# Guards against requests to an upstream that has crashed and whose address another
# one has taken, also if its last announcement arrives late.
@pytest.mark.parametrize(
    ("record", "expected"),
    [row[1:] for row in ADDRESS_CASES],
    ids=[row[0] for row in ADDRESS_CASES],
)
def test_upstream_whose_address_was_taken_is_gone(record, expected):
    for records in ((KNOWN, record), (record, KNOWN)):
        active = table_with(*records).active_upstreams("drafts")
        assert {one.upstream for one in active} == expected


def test_address_of_a_forgotten_upstream_is_free():
    table = table_with(KNOWN, changed(upstream="u2", incarnation=101))
    table.entries["u1"].heard_at += FORGET_AFTER_S
    assert forget_silent(table, 11.0 + FORGET_AFTER_S) == ["u2"]
    assert [one.upstream for one in table.active_upstreams("drafts")] == ["u1"]


def upstream(name):
    return UpstreamRecord(name, 0, 1, "s", "d", f"{name}:1", "", (), 8, 0)


# Silence that each reply of a control host tells of a and b, as (time, silence); the
# time at which another process is found at a's address; the time of a reply of a; the
# current time; and the upstreams in doubt. An upstream may be silent for 5 s.
DOUBTS = [
    ("both announce", [(10.0, {}), (20.0, {})], None, None, set()),
    ("one is silent", [(20.0, {"a": 9.0})], None, None, {"a"}),
    ("one is silent, but not for long", [(20.0, {"a": 6.0})], None, None, set()),
    ("both are silent", [(20.0, {"a": 9.0, "b": 8.0})], None, None, set()),
    ("silent, but replies", [(20.0, {"a": 9.0})], None, 19.0, set()),
    ("host cut off from control hosts", [(1.0, {})], None, None, set()),
    ("the same, and one replies", [(1.0, {})], None, 20.0, set()),
    (
        "cut off control host among others",
        [(19.5, {}), (20.0, {"a": 19.0})],
        None,
        None,
        set(),
    ),
    ("another process at its address", [(20.0, {})], 19.0, None, {"a"}),
    ("announced since", [(20.0, {}), (22.0, {})], 19.0, None, set()),
    ("late announcement", [(20.0, {"a": 2.5})], 19.0, None, {"a"}),
]


@pytest.mark.parametrize(
    ("told", "replaced_at", "replied_at", "expected"),
    [row[1:] for row in DOUBTS],
    ids=[row[0] for row in DOUBTS],
)
def test_upstreams_in_doubt(told, replaced_at, replied_at, expected):
    table = RegistryTable(max_silence_s=5.0)
    records = [upstream("a"), upstream("b")]
    for record in records:
        accept_record(table, record, 0.0)
    if replied_at is not None:
        record_reply(table, "a", replied_at)
    for now, silent in told:
        record_heard(table, silent, now)
    if replaced_at is not None:
        table.replaced_at["a"] = replaced_at
    assert doubtful_among(table, records) == expected


def test_silent_upstreams_are_told_with_their_ages():
    table = RegistryTable()
    accept_record(table, upstream("a"), 10.0)
    accept_record(table, upstream("b"), 19.0)
    accept_record(table, upstream("c"), 10.0)
    mark_leaving(table, "c", None, 10.0)
    assert find_silent(table, 20.0) == {"a": 10.0}


# Guards against doubts that outlast their upstream.
def test_forgotten_upstream_leaves_nothing():
    table = RegistryTable()
    accept_record(table, upstream("a"), 10.0)
    table.replaced_at["a"] = 11.0
    table.remove("a")
    assert not table.replaced_at
