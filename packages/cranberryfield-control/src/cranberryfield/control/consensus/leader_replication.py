"""Leader side of replication: appends, heartbeats, commit and leader lease."""

from cranberryfield.control.consensus.actions import (
    Action,
    ApplyEntries,
    SaveEntries,
    SendMessage,
    SendSnapshot,
)
from cranberryfield.control.consensus.election import become_follower
from cranberryfield.control.consensus.replica import (
    Replica,
    ReplicaRole,
    ReplicationProgress,
)
from cranberryfield.core.ids import LogIndex, ReplicaId
from cranberryfield.core.messages.consensus import (
    AppendReply,
    AppendRequest,
    LogEntry,
    Members,
    SnapshotReply,
)

__all__ = [
    "append_commands",
    "commit_up_to",
    "is_first_leader",
    "leader_lease_expiry",
    "majority_round",
    "on_append_reply",
    "on_snapshot_reply",
    "send_heartbeats",
]

MAX_ENTRIES_PER_MESSAGE = 512
MAX_BYTES_PER_MESSAGE = 1 << 20
MAX_TRACKED_ROUNDS = 256
#: Size of entries that are not sent again with each heartbeat, in bytes, and time after
#: which they are, in seconds. A member whose link was lost lacks them, and says so in
#: its reply to the next heartbeat.
LARGE_ENTRIES_BYTES = 128 << 10
RESEND_LARGE_AFTER_S = 1.0
NO_ROUND = -1


def append_commands(
    replica: Replica,
    commands: tuple[bytes, ...],
    members: Members | None = None,
) -> list[Action]:
    """Append commands as leader and send them to all other members.

    Parameters
    ----------
    replica : Replica
        A leader; changed in place.
    commands : tuple of bytes
        Encoded commands.
    members : Members, optional
        Group members as of the first of these entries, if they change.

    Returns
    -------
    list of Action
        The write, the requests to the other members and, in a group of one
        voter, the commit.
    """
    first = replica.log.last_index + 1
    entries = tuple(
        LogEntry(
            LogIndex(first + offset),
            replica.term,
            command,
            members if offset == 0 else None,
        )
        for offset, command in enumerate(commands)
    )
    replica.log.append(entries)
    if members is not None:
        _update_progress_members(replica)
    actions: list[Action] = [SaveEntries(entries)]
    actions += [
        _next_request_to(replica, one)
        for one in replica.peers
        if replica.progress[one].next_index > replica.log.base_index
    ]
    return actions + _advance_commit(replica)


def _update_progress_members(replica: Replica) -> None:
    next_index = LogIndex(replica.log.last_index + 1)
    replica.progress = {
        one: replica.progress.get(one) or ReplicationProgress(next_index)
        for one in replica.peers
    }


def send_heartbeats(replica: Replica, now: float) -> list[Action]:
    """Start a heartbeat round, or step down if the quorum is lost.

    Parameters
    ----------
    replica : Replica
        A leader; changed in place.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        One request to each other member. A leader that has had no
        acknowledgement from a majority for `election_max_s` steps down instead.
    """
    acknowledged_at = max(_quorum_acknowledged_at(replica), replica.leader_since)
    if now - acknowledged_at > replica.timing.election_max_s:
        return become_follower(replica, replica.term, None, now)
    replica.round_number += 1
    replica.round_start_times[replica.round_number] = now
    replica.round_start_times.pop(replica.round_number - MAX_TRACKED_ROUNDS, None)
    replica.deadline = now + replica.timing.heartbeat_s
    for progress in replica.progress.values():
        is_large_sent = now - progress.large_sent_at < RESEND_LARGE_AFTER_S
        if progress.match_index and not is_large_sent:
            progress.next_index = LogIndex(progress.match_index + 1)
    return [_next_request_to(replica, one) for one in replica.peers]


def _next_request_to(replica: Replica, receiver: ReplicaId) -> Action:
    progress = replica.progress[receiver]
    if progress.next_index <= replica.log.base_index:
        return SendSnapshot(
            receiver,
            replica.term,
            progress.snapshot_index,
            progress.snapshot_offset,
            replica.round_number,
        )
    previous = LogIndex(progress.next_index - 1)
    entries = replica.log.slice(
        progress.next_index,
        replica.log.last_index,
        MAX_ENTRIES_PER_MESSAGE,
        MAX_BYTES_PER_MESSAGE,
    )
    if entries:
        progress.next_index = LogIndex(entries[-1].index + 1)
    if sum(len(entry.command) for entry in entries) >= LARGE_ENTRIES_BYTES:
        progress.large_sent_at = replica.round_start_times.get(
            replica.round_number, replica.leader_since
        )
    return SendMessage(
        receiver,
        AppendRequest(
            replica.term,
            previous,
            replica.log.term_at(previous) or 0,
            entries,
            replica.commit_index,
            replica.round_number,
        ),
    )


def _acknowledge_round(
    replica: Replica, sender: ReplicaId, reply: AppendReply | SnapshotReply
) -> ReplicationProgress | None:
    if replica.role is not ReplicaRole.LEADER or reply.term < replica.term:
        return None
    progress = replica.progress.get(sender)
    if progress is not None:
        progress.acknowledged_round = max(
            progress.acknowledged_round, reply.round_number
        )
    return progress


def on_append_reply(
    replica: Replica, sender: ReplicaId, reply: AppendReply, now: float
) -> list[Action]:
    """Update a member's match index and commit entries stored by a majority.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    sender : ReplicaId
        Replica that sent the reply.
    reply : AppendReply
        The reply.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        Newly committed entries to apply and further entries for the sender.
    """
    if reply.term > replica.term:
        return become_follower(replica, reply.term, None, now)
    progress = _acknowledge_round(replica, sender, reply)
    if progress is None:
        return []
    if not reply.success:
        progress.next_index = LogIndex(max(progress.match_index + 1, reply.match_index))
        progress.next_index = min(progress.next_index, replica.log.last_index + 1)
        return [_next_request_to(replica, sender)]
    progress.match_index = max(progress.match_index, reply.match_index)
    progress.next_index = max(progress.next_index, LogIndex(progress.match_index + 1))
    if progress.match_index >= progress.next_index - 1:
        progress.large_sent_at = float("-inf")
    actions = _advance_commit(replica)
    if sender in replica.progress and progress.next_index <= replica.log.last_index:
        actions.append(_next_request_to(replica, sender))
    return actions


def on_snapshot_reply(
    replica: Replica, sender: ReplicaId, reply: SnapshotReply, now: float
) -> list[Action]:
    """Send the next chunk of a snapshot, or the entries after the snapshot.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    sender : ReplicaId
        Replica that sent the reply.
    reply : SnapshotReply
        The reply.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        Newly committed entries to apply and the next request to the sender.
    """
    if reply.term > replica.term:
        return become_follower(replica, reply.term, None, now)
    progress = _acknowledge_round(replica, sender, reply)
    if progress is None or progress.next_index > replica.log.base_index:
        return []
    progress.snapshot_index = reply.last_index
    progress.snapshot_offset = reply.next_offset
    if reply.complete:
        progress.snapshot_offset = 0
        progress.match_index = max(progress.match_index, reply.last_index)
        progress.next_index = LogIndex(progress.match_index + 1)
    actions = _advance_commit(replica)
    if sender in replica.progress:
        actions.append(_next_request_to(replica, sender))
    return actions


def _quorum_value(replica: Replica, own: int, value_of) -> int:
    values = [
        own if voter == replica.id else value_of(replica.progress[voter])
        for voter in replica.voters
    ]
    values.sort(reverse=True)
    return values[replica.quorum - 1]


def _advance_commit(replica: Replica) -> list[Action]:
    index = _quorum_value(
        replica, replica.log.last_index, lambda progress: progress.match_index
    )
    if replica.log.term_at(LogIndex(index)) != replica.term:
        return []
    return commit_up_to(replica, LogIndex(index))


def commit_up_to(replica: Replica, index: LogIndex) -> list[Action]:
    """Commit the entries up to `index`.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    index : LogIndex
        Index of the last entry known to be stored by a majority.

    Returns
    -------
    list of Action
        The entries to apply, if any are newly committed.
    """
    if index <= replica.commit_index:
        return []
    entries = replica.log.slice(LogIndex(replica.commit_index + 1), index)
    replica.commit_index = index
    return [ApplyEntries(entries)]


def majority_round(replica: Replica) -> int:
    """Return the latest heartbeat round acknowledged by a majority of voters.

    Parameters
    ----------
    replica : Replica
        A leader.

    Returns
    -------
    int
        Number of the round, or -1 if there is none yet.
    """
    if not replica.voters:
        return NO_ROUND
    return _quorum_value(
        replica, replica.round_number, lambda progress: progress.acknowledged_round
    )


def _quorum_acknowledged_at(replica: Replica) -> float:
    return replica.round_start_times.get(majority_round(replica), float("-inf"))


def leader_lease_expiry(replica: Replica) -> float:
    """Return the time until which no other replica can become leader.

    Parameters
    ----------
    replica : Replica
        A leader.

    Returns
    -------
    float
        Monotonic time in seconds; in the past if the lease has expired, and
        ``-inf`` if the replica is not the leader.

    Notes
    -----
    A follower grants no vote within `election_min_s` of a heartbeat. The lease
    therefore starts with the latest round acknowledged by a majority and lasts
    slightly less than that (see `lease_ratio`).
    """
    if replica.role is not ReplicaRole.LEADER:
        return float("-inf")
    timing = replica.timing
    lease_s = timing.election_min_s * timing.lease_ratio
    return _quorum_acknowledged_at(replica) + lease_s


def is_first_leader(replica: Replica) -> bool:
    """Return whether this leader is the first ever to commit an entry.

    Parameters
    ----------
    replica : Replica
        A leader.

    Returns
    -------
    bool
        True if the first entry of the log is committed and has the leader's
        term. If an earlier leader had committed an entry, the log would start
        with an entry of an earlier term.
    """
    first = LogIndex(1)
    return (
        replica.role is ReplicaRole.LEADER
        and replica.commit_index >= first
        and replica.log.term_at(first) == replica.term
    )
