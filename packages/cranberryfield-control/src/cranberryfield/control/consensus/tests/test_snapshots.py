"""Snapshots for a replica that has a part of their entries, or later ones."""

from random import Random

import pytest

from cranberryfield.control.consensus import (
    ApplyEntries,
    InstallSnapshot,
    MessageReceived,
    Replica,
    ReplicaLog,
    SendMessage,
    step,
)
from cranberryfield.core.messages.consensus import LogEntry, Members, SnapshotRequest

MEMBERS = Members(("a~1", "b~1", "c~1"))
STATE = b"state as of the last entry"


def replica_with(terms, commit_index):
    """Return a follower whose entries have these terms."""
    entries = [LogEntry(index, term, b"x") for index, term in enumerate(terms, 1)]
    log = ReplicaLog(base_members=MEMBERS, entries=entries)
    return Replica("b~1", Random(1), term=3, log=log, commit_index=commit_index)


def receive_snapshot(replica, last_index, last_term):
    request = SnapshotRequest(
        3, last_index, last_term, MEMBERS, 0, len(STATE), STATE, 1
    )
    return step(replica, MessageReceived("a~1", request), 10.0)


# Terms of the entries, the last index and term of the snapshot, and the last index of
# the log after it.
CASES = [
    ("no entries", [], 5, 2, 5),
    ("fewer entries", [1, 1, 1], 5, 2, 5),
    ("exactly its entries", [1, 1, 2, 2, 2], 5, 2, 5),
    ("later entries", [1, 1, 2, 2, 2, 2, 3], 5, 2, 7),
    ("entries of another leader", [1, 1, 1, 1, 1, 1], 5, 2, 5),
]


# Guards against LOST: a follower dropped entries that it had acknowledged, and of which
# a majority may have depended on it, with a snapshot of earlier ones.
@pytest.mark.parametrize(
    ("terms", "last_index", "last_term", "expected"),
    [row[1:] for row in CASES],
    ids=[row[0] for row in CASES],
)
def test_acknowledged_entries_outlast_a_snapshot(
    terms, last_index, last_term, expected
):
    replica = replica_with(terms, commit_index=min(2, len(terms)))
    committed = replica.commit_index
    actions = receive_snapshot(replica, last_index, last_term)
    assert replica.log.last_index == expected
    assert replica.commit_index == last_index
    has_all = replica.log.base_index == 0
    installed = [one for one in actions if isinstance(one, InstallSnapshot)]
    applied = [
        entry.index
        for one in actions
        if isinstance(one, ApplyEntries)
        for entry in one.entries
    ]
    assert bool(installed) is not has_all
    assert applied == (list(range(committed + 1, last_index + 1)) if has_all else [])
    (reply,) = [one.message for one in actions if isinstance(one, SendMessage)]
    assert reply.complete
