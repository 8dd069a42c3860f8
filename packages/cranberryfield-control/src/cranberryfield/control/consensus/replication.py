"""Replication: appending, heartbeats, acknowledgement and commit."""

from cranberryfield.control.consensus.actions import (
    Action,
    ApplyEntries,
    SaveEntries,
    SendTo,
)
from cranberryfield.control.consensus.election import (
    become_follower,
    reset_election_deadline,
)
from cranberryfield.control.consensus.replica import Replica, ReplicaRole
from cranberryfield.core.ids import LogIndex, NodeId
from cranberryfield.core.messages.consensus import (
    AppendReply,
    AppendRequest,
    LogEntry,
)

__all__ = [
    "append_commands",
    "leader_lease_until",
    "on_append_reply",
    "on_append_request",
    "send_heartbeats",
]

MAX_ENTRIES_PER_MESSAGE = 512
KEPT_ROUNDS = 64


def append_commands(
    replica: Replica, commands: tuple[bytes, ...], now: float
) -> list[Action]:
    """Append commands as leader and send them to all others.

    Parameters
    ----------
    replica : Replica
        A leader; changed in place.
    commands : tuple of bytes
        Encoded commands.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        The write, the messages, and for a group of one the commit.
    """
    first = replica.log.last_index + 1
    entries = tuple(
        LogEntry(LogIndex(first + offset), replica.term, command)
        for offset, command in enumerate(commands)
    )
    replica.log.append(entries)
    actions: list[Action] = [SaveEntries(entries)]
    actions += [_append_request_to(replica, node) for node in replica.others]
    return actions + _advance_commit(replica)


def send_heartbeats(replica: Replica, now: float) -> list[Action]:
    """Begin a heartbeat round.

    Parameters
    ----------
    replica : Replica
        A leader; changed in place.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        One message to each other voter.
    """
    replica.round_number += 1
    replica.round_started[replica.round_number] = now
    replica.round_started.pop(replica.round_number - KEPT_ROUNDS, None)
    replica.deadline = now + replica.timing.heartbeat_s
    for progress in replica.progress.values():
        progress.next_index = LogIndex(
            max(progress.match_index + 1, replica.log.base_index + 1)
            if progress.match_index
            else progress.next_index
        )
    return [_append_request_to(replica, node) for node in replica.others]


def _append_request_to(replica: Replica, node: NodeId) -> SendTo:
    progress = replica.progress[node]
    previous = LogIndex(progress.next_index - 1)
    entries = replica.log.slice(
        progress.next_index, replica.log.last_index, MAX_ENTRIES_PER_MESSAGE
    )
    if entries:
        progress.next_index = LogIndex(entries[-1].index + 1)
    return SendTo(
        node,
        AppendRequest(
            replica.term,
            previous,
            replica.log.term_at(previous) or 0,
            entries,
            replica.commit_index,
            replica.round_number,
        ),
    )


def on_append_request(
    replica: Replica, sender: NodeId, request: AppendRequest, now: float
) -> list[Action]:
    """Take entries from the leader, or say from where it should send them.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    sender : NodeId
        The leader of the request's term.
    request : AppendRequest
        The entries.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        Writes, the reply, and what is newly committed.
    """
    if request.term < replica.term:
        return [SendTo(sender, AppendReply(replica.term, False, LogIndex(0), 0))]
    actions = become_follower(replica, request.term, sender, now)
    replica.heard_leader_at = now
    reset_election_deadline(replica, now)
    log = replica.log
    if (
        request.previous_index >= log.base_index
        and log.term_at(request.previous_index) != request.previous_term
    ):
        retry_from = LogIndex(
            max(log.base_index + 1, min(request.previous_index, log.last_index + 1))
        )
        reply = AppendReply(replica.term, False, retry_from, request.round_number)
        return [*actions, SendTo(sender, reply)]
    fresh = _without_known(replica, request.entries)
    if fresh:
        log.append(fresh)
        actions.append(SaveEntries(fresh))
    matched = LogIndex(request.previous_index + len(request.entries))
    reply = AppendReply(replica.term, True, matched, request.round_number)
    actions.append(SendTo(sender, reply))
    return actions + _commit_up_to(replica, min(request.commit, matched))


def _without_known(
    replica: Replica, entries: tuple[LogEntry, ...]
) -> tuple[LogEntry, ...]:
    for place, entry in enumerate(entries):
        if entry.index <= replica.log.base_index:
            continue
        if replica.log.term_at(entry.index) != entry.term:
            return entries[place:]
    return ()


def on_append_reply(
    replica: Replica, sender: NodeId, reply: AppendReply, now: float
) -> list[Action]:
    """Note what another replica has stored and commit what a majority has.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    sender : NodeId
        Who answered.
    reply : AppendReply
        The answer.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        More entries for the sender, or what is newly committed.
    """
    if reply.term > replica.term:
        return become_follower(replica, reply.term, None, now)
    progress = replica.progress.get(sender)
    if replica.role is not ReplicaRole.LEADER or progress is None:
        return []
    if reply.term < replica.term:
        return []
    progress.acknowledged_round = max(progress.acknowledged_round, reply.round_number)
    if not reply.success:
        progress.next_index = LogIndex(max(1, reply.match_index))
        return [_append_request_to(replica, sender)]
    progress.match_index = max(progress.match_index, reply.match_index)
    progress.next_index = max(progress.next_index, LogIndex(progress.match_index + 1))
    actions = _advance_commit(replica)
    if progress.next_index <= replica.log.last_index:
        actions.append(_append_request_to(replica, sender))
    return actions


def _advance_commit(replica: Replica) -> list[Action]:
    matches = [progress.match_index for progress in replica.progress.values()]
    matches.append(replica.log.last_index)
    matches.sort(reverse=True)
    majority_index = matches[replica.quorum - 1]
    if replica.log.term_at(majority_index) != replica.term:
        return []
    return _commit_up_to(replica, majority_index)


def _commit_up_to(replica: Replica, index: LogIndex) -> list[Action]:
    if index <= replica.commit_index:
        return []
    entries = replica.log.slice(LogIndex(replica.commit_index + 1), index)
    replica.commit_index = index
    return [ApplyEntries(entries)]


def leader_lease_until(replica: Replica) -> float:
    """Return until when no other replica can be leader.

    Parameters
    ----------
    replica : Replica
        A leader.

    Returns
    -------
    float
        Monotonic time in seconds; in the past if the lease has run out.

    Notes
    -----
    Followers grant no vote within the shortest election time after a
    heartbeat, so the lease runs from the start of the last round that a
    majority acknowledged.
    """
    if not replica.others:
        return float("inf")
    rounds = [progress.acknowledged_round for progress in replica.progress.values()]
    rounds.sort(reverse=True)
    majority_round = rounds[replica.quorum - 2]
    started = replica.round_started.get(majority_round, float("-inf"))
    return started + replica.timing.election_min_s
