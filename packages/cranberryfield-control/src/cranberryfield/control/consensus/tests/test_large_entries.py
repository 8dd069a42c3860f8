"""Entries of many megabytes: a member that does not reply gets each of them once."""

from random import Random

import pytest

from cranberryfield.control.consensus.leader_replication import (
    append_commands,
    on_append_reply,
    send_heartbeats,
)
from cranberryfield.control.consensus.replica import (
    Replica,
    ReplicaRole,
    ReplicationProgress,
)
from cranberryfield.core.ids import LogIndex
from cranberryfield.core.messages.consensus import AppendReply, LogEntry, Members

HEARTBEAT_S = 0.2


def make_leader():
    replica = Replica("a~1", Random(1))
    members = Members(("a~1", "b~1", "c~1"))
    replica.log.append((LogEntry(LogIndex(1), 1, b"", members),))
    replica.role, replica.leader_since = ReplicaRole.LEADER, 0.0
    replica.term, replica.commit_index = 1, LogIndex(1)
    replica.round_number, replica.round_start_times = 0, {0: 0.0}
    for other in ("b~1", "c~1"):
        replica.progress[other] = ReplicationProgress(LogIndex(2), LogIndex(1), 0)
    return replica


def bytes_to(member, actions):
    return sum(
        len(entry.command)
        for action in actions
        if getattr(action, "receiver", None) == member
        for entry in action.message.entries
    )


def run_heartbeats(replica, seconds, size):
    """Return the bytes sent to b, which is silent; c replies to everything."""
    sent = bytes_to("b~1", append_commands(replica, (b"x" * size,)))
    for number in range(1, round(seconds / HEARTBEAT_S)):
        now = number * HEARTBEAT_S
        sent += bytes_to("b~1", send_heartbeats(replica, now))
        reply = AppendReply(1, True, replica.log.last_index, replica.round_number)
        on_append_reply(replica, "c~1", reply, now)
    return sent


@pytest.mark.parametrize(("size", "at_most"), [(5_000_000, 6), (200_000, 6)])
def test_silent_member_is_sent_a_large_entry_once_a_second(size, at_most):
    """A frozen member had 25 copies of an entry of 5 MB in its link after 5 s."""
    assert run_heartbeats(make_leader(), 5.0, size) <= at_most * size


def test_small_entries_go_with_each_heartbeat():
    """A lost small entry is committed 0.2 s later, as before."""
    assert run_heartbeats(make_leader(), 5.0, 100) == 25 * 100


def test_member_that_lacks_the_entry_gets_it_at_once():
    """A member whose link was lost does not wait for a second."""
    replica = make_leader()
    append_commands(replica, (b"x" * 5_000_000,))
    send_heartbeats(replica, 0.2)
    reply = AppendReply(1, False, LogIndex(1), replica.round_number)
    actions = on_append_reply(replica, "b~1", reply, 0.21)
    assert bytes_to("b~1", actions) == 5_000_000
