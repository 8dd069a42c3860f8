"""Tests of record replicas: choice of hosts and replies to messages."""

import pytest
from hypothesis import given, settings, strategies

from cranberryfield.core.messages.requests import (
    EpochStart,
    FindRecord,
    OpenRecord,
    ProgressItem,
    RecordEnd,
    TakeRecord,
)
from cranberryfield.entry.requests.placement import EntryHost, choose_replica_hosts
from cranberryfield.entry.requests.replicas import (
    ReplicasSection,
    apply_replica_progress,
    find_replica,
    open_replica,
    remove_expired,
    take_over_replica,
)

NAME = ("releve", "key-1")
LIMIT = 10_000
WHOLE = RecordEnd(None)


def open_record(node="e1", run="r1", name=NAME):
    return OpenRecord(*name, b"d", run, node)


def take_over(epoch, node="e2", run="r1"):
    return TakeRecord(*NAME, b"d", run, epoch, node)


def progress(offset, events, epoch=0, runner="e1", run="r1", end=None, starts=()):
    return ProgressItem(*NAME, b"d", run, epoch, runner, starts, offset, events, end)


FIND = FindRecord(*NAME)
AB, C = (b"a", b"b"), (b"c",)

# Name, messages, and the result of the last one: a length, or granted, known,
# epoch and events.
HISTORIES = [
    ("new", [open_record()], (True, False, 0, ())),
    ("not known", [FIND], (False, False, 0, ())),
    ("known", [open_record(), open_record("e2")], (False, True, 0, ())),
    ("gains", [open_record(), progress(0, AB), progress(2, C)], 3),
    ("gains unopened", [progress(0, AB)], 2),
    ("resent", [progress(0, AB), progress(0, AB)], 2),
    ("gap", [progress(0, AB), progress(3, C)], -1),
    ("gap at the start", [progress(1, C)], -1),
    ("taken", [progress(0, AB), take_over(1)], (True, True, 1, AB)),
    (
        "taken, resent",
        [progress(0, AB), take_over(1), take_over(1)],
        (True, True, 1, AB),
    ),
    (
        "two take it",
        [progress(0, AB), take_over(1), take_over(1, "e3")],
        (False, True, 1, AB),
    ),
    ("old runner", [progress(0, AB), take_over(1), progress(2, C)], -2),
    (
        "new runner had less",
        [progress(0, AB), progress(2, C), progress(2, (b"x",), 1, "e2"), FIND],
        (False, True, 1, (b"a", b"b", b"x")),
    ),
    ("other run", [progress(0, AB), progress(0, C, run="r2")], -2),
    (
        "other run after the end",
        [progress(0, AB, end=WHOLE), progress(0, C, run="r2")],
        1,
    ),
    ("taken, ended", [progress(0, AB, end=WHOLE), take_over(1)], (True, True, 1, AB)),
    ("no memory", [progress(0, (b"x" * LIMIT,))], -3),
]  # fmt: skip


def apply(section, message, limit=LIMIT):
    match message:
        case OpenRecord():
            return open_replica(section, message, 0.0, limit)
        case TakeRecord():
            return take_over_replica(section, message, 0.0)
        case ProgressItem():
            return apply_replica_progress(section, message, 0.0, limit)
    return find_replica(section, message)


def size_of(replica):
    end = len(replica.end.body) if replica.end else 0
    return 512 + sum(map(len, replica.events)) + end


@pytest.mark.parametrize(
    ("messages", "expected"),
    [row[1:] for row in HISTORIES],
    ids=[row[0] for row in HISTORIES],
)
def test_history(messages, expected):
    section = ReplicasSection()
    result = [apply(section, message) for message in messages][-1]
    if isinstance(result, int):
        assert result == expected
    else:
        seen = (result.granted, result.is_known, result.epoch, result.events)
        assert seen == expected
    assert section.used_bytes == sum(map(size_of, section.records.values()))


def test_only_ended_replicas_are_evicted():
    section = ReplicasSection()
    apply(section, progress(0, AB, end=WHOLE))
    others = [open_record(name=("releve", f"key-{number}")) for number in range(2, 5)]
    answers = [apply(section, one, 512 * 3 + 100) for one in others]
    assert [one.granted for one in answers] == [True, True, True]
    assert not apply(section, FIND).is_known
    refused = apply(section, open_record(name=("releve", "key-9")), 512 * 3 + 100)
    assert (refused.granted, refused.is_known) == (False, False)
    remove_expired(section, 100.0, 50.0)
    assert (section.used_bytes, len(section.records)) == (0, 0)


@settings(derandomize=True, deadline=None)
@given(
    zones=strategies.lists(strategies.sampled_from("xyz"), min_size=2, max_size=9),
    gone=strategies.integers(0, 8),
    key=strategies.text(min_size=1, max_size=8),
)
def test_one_replica_host_stays_when_a_host_leaves(zones, gone, key):
    hosts = [EntryHost(f"e{number}", zone) for number, zone in enumerate(zones)]
    before = choose_replica_hosts(hosts, "w", key)
    zone_of = {host.node: host.data_centre for host in hosts}
    assert len(before) == 2
    if len(set(zones)) > 1:
        assert zone_of[before[0]] != zone_of[before[1]]
    del hosts[gone % len(hosts)]
    after = choose_replica_hosts(hosts, "w", key)
    assert set(before) & set(after)


def test_progress_carries_epoch_starts():
    section = ReplicasSection()
    starts = (EpochStart(1, 2),)
    apply(section, progress(0, AB, 1, "e2", starts=starts))
    assert apply(section, FIND).starts == starts
