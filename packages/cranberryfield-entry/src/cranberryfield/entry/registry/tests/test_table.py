"""Merging of announcements that arrive out of order or from several incarnations."""

import msgspec
import pytest

from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.registry.table import (
    FORGET_S,
    UpstreamTable,
    accept_record,
    depart,
    digest_table,
    forget_silent,
    forget_unknown,
)

FIRST = UpstreamRecord(
    "u1", 100, 5, "drafts", "fann", "10.0.0.1:80", "on-demand", (), 8, 0
)


def changed(**fields):
    return msgspec.structs.replace(FIRST, **fields)


def table_with(*records):
    table = UpstreamTable()
    for record in records:
        accept_record(table, record, 10.0)
    return table


@pytest.mark.parametrize(
    ("record", "is_kept", "is_news"),
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
def test_the_newer_word_of_an_upstream_counts(record, is_kept, is_news):
    table = table_with(FIRST)
    assert accept_record(table, record, 11.0) is is_news
    assert (table.entries["u1"].record == record) is (is_kept or record == FIRST)


@pytest.mark.parametrize(
    ("late", "is_leaving"),
    [
        (changed(sequence=9), True),
        (changed(sequence=9, leaving=True), True),
        (changed(incarnation=101, sequence=1), False),
    ],
)
def test_what_leaves_stays_gone_until_its_next_start(late, is_leaving):
    table = table_with(FIRST, changed(sequence=6, leaving=True))
    accept_record(table, late, 12.0)
    assert table.entries["u1"].record.leaving is is_leaving
    assert len(table.of_service("drafts")) == (not is_leaving)


@pytest.mark.parametrize(
    ("upstream", "incarnation", "is_news"),
    [("u1", None, True), ("u1", 100, True), ("u1", 99, False), ("u2", None, False)],
)
def test_a_departure_counts_for_the_start_that_said_it(upstream, incarnation, is_news):
    table = table_with(FIRST)
    assert (depart(table, upstream, incarnation, 11.0) is not None) is is_news
    assert table.entries["u1"].record.leaving is (is_news and upstream == "u1")


def test_digests_differ_only_by_what_matters():
    table = table_with(FIRST)
    assert digest_table(table) == digest_table(table_with(changed(sequence=99)))
    assert digest_table(table) != digest_table(table_with(changed(leaving=True)))
    assert digest_table(table) != digest_table(UpstreamTable())


@pytest.mark.parametrize(
    ("age_s", "is_dropped"), [(FORGET_S, False), (FORGET_S + 1, 1)]
)
def test_silent_upstreams_are_forgotten(age_s, is_dropped):
    assert bool(forget_silent(table_with(FIRST), 10.0 + age_s)) is bool(is_dropped)
    assert bool(forget_unknown(table_with(FIRST), set(), 10.0 + age_s)) is bool(
        is_dropped
    )
    assert forget_unknown(table_with(FIRST), {"u1"}, 10.0 + age_s) == []
