"""Follower side of replication: receiving entries and snapshots."""

from cranberryfield.control.consensus.actions import (
    Action,
    InstallSnapshot,
    SaveEntries,
    SendMessage,
)
from cranberryfield.control.consensus.election import (
    become_follower,
    reset_election_deadline,
)
from cranberryfield.control.consensus.leader_replication import commit_up_to
from cranberryfield.control.consensus.replica import IncomingSnapshot, Replica
from cranberryfield.core.errors import ErrorKind, InternalError
from cranberryfield.core.ids import LogIndex, ReplicaId
from cranberryfield.core.messages.consensus import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotReply,
    SnapshotRequest,
)

__all__ = ["on_append_request", "on_snapshot_request"]


def on_append_request(
    replica: Replica, sender: ReplicaId, request: AppendRequest, now: float
) -> list[Action]:
    """Append entries from the leader, or reply with the index to resend from.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    sender : ReplicaId
        The leader of the request's term.
    request : AppendRequest
        The entries, with the index and term of the entry before them.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        The writes, the reply and newly committed entries to apply.
    """
    if request.term < replica.term:
        return [
            SendMessage(
                sender,
                AppendReply(replica.term, False, LogIndex(0), request.round_number),
            )
        ]
    actions = _follow_leader(replica, sender, request, now)
    log = replica.log
    if (
        request.previous_index >= log.base_index
        and log.term_at(request.previous_index) != request.previous_term
    ):
        retry_from = _retry_index(replica, request)
        reply = AppendReply(replica.term, False, retry_from, request.round_number)
        return [*actions, SendMessage(sender, reply)]
    new_entries = _entries_to_append(replica, request.entries)
    if new_entries:
        log.append(new_entries)
        actions.append(SaveEntries(new_entries))
    match_index = LogIndex(request.previous_index + len(request.entries))
    reply = AppendReply(replica.term, True, match_index, request.round_number)
    actions.append(SendMessage(sender, reply))
    return actions + commit_up_to(replica, min(request.commit, match_index))


def _follow_leader(
    replica: Replica,
    sender: ReplicaId,
    request: AppendRequest | SnapshotRequest,
    now: float,
) -> list[Action]:
    actions = become_follower(replica, request.term, sender, now)
    replica.last_leader_contact_at = now
    reset_election_deadline(replica, now)
    return actions


def _retry_index(replica: Replica, request: AppendRequest) -> LogIndex:
    """Return the first index of the conflicting term, or the first missing index."""
    log = replica.log
    index = request.previous_index
    term = log.term_at(index)
    if term is None:
        return LogIndex(log.last_index + 1)
    while index - 1 > replica.commit_index and log.term_at(LogIndex(index - 1)) == term:
        index -= 1
    return index


def _entries_to_append(
    replica: Replica, entries: tuple[LogEntry, ...]
) -> tuple[LogEntry, ...]:
    for position, entry in enumerate(entries):
        if entry.index <= replica.log.base_index:
            continue
        if replica.log.term_at(entry.index) == entry.term:
            continue
        if entry.index <= replica.commit_index:
            raise InternalError(
                ErrorKind.INTERNAL,
                f"the leader's log conflicts with the committed entry {entry.index}",
            )
        return entries[position:]
    return ()


def on_snapshot_request(
    replica: Replica, sender: ReplicaId, request: SnapshotRequest, now: float
) -> list[Action]:
    """Receive one chunk of a snapshot; install the snapshot once it is complete.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    sender : ReplicaId
        The leader of the request's term.
    request : SnapshotRequest
        The chunk.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        The write, if the snapshot is complete, and the reply.
    """
    if request.term < replica.term:
        reply = SnapshotReply(replica.term, LogIndex(0), 0, False, request.round_number)
        return [SendMessage(sender, reply)]
    actions = _follow_leader(replica, sender, request, now)
    if request.last_index <= replica.commit_index:
        replica.incoming_snapshot = None
        return [*actions, _snapshot_reply(replica, sender, request, request.size, True)]
    if replica.log.term_at(request.last_index) == request.last_term:
        # The log has all entries of the snapshot. Later ones may be acknowledged, and
        # must not be dropped.
        replica.incoming_snapshot = None
        return [
            *actions,
            *commit_up_to(replica, request.last_index),
            _snapshot_reply(replica, sender, request, request.size, True),
        ]
    incoming = replica.incoming_snapshot
    if incoming is None or incoming.last_index != request.last_index:
        incoming = replica.incoming_snapshot = IncomingSnapshot(request.last_index)
    if request.offset == len(incoming.data):
        incoming.data += request.data
    if len(incoming.data) < request.size:
        received_bytes = len(incoming.data)
        return [
            *actions,
            _snapshot_reply(replica, sender, request, received_bytes, False),
        ]
    replica.incoming_snapshot = None
    replica.commit_index = request.last_index
    replica.log.reset(request.last_index, request.last_term, request.members)
    return [
        *actions,
        InstallSnapshot(
            request.last_index,
            request.last_term,
            request.members,
            bytes(incoming.data),
        ),
        _snapshot_reply(replica, sender, request, request.size, True),
    ]


def _snapshot_reply(
    replica: Replica,
    sender: ReplicaId,
    request: SnapshotRequest,
    received_bytes: int,
    complete: bool,
) -> SendMessage:
    reply = SnapshotReply(
        replica.term, request.last_index, received_bytes, complete, request.round_number
    )
    return SendMessage(sender, reply)
