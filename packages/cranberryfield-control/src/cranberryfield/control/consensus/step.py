"""The step function: one event in, actions out."""

from cranberryfield.control.consensus.actions import Action
from cranberryfield.control.consensus.election import (
    on_vote_reply,
    on_vote_request,
    start_pre_vote,
)
from cranberryfield.control.consensus.events import (
    Event,
    Proposed,
    Received,
    Ticked,
)
from cranberryfield.control.consensus.replica import Replica, ReplicaRole
from cranberryfield.control.consensus.replication import (
    append_commands,
    on_append_reply,
    on_append_request,
    send_heartbeats,
)
from cranberryfield.core.messages.codec import encode_message
from cranberryfield.core.messages.commands import Noop
from cranberryfield.core.messages.consensus import (
    AppendReply,
    AppendRequest,
    VoteReply,
    VoteRequest,
)

__all__ = ["step"]

_NOOP = encode_message(Noop())


def step(replica: Replica, event: Event, now: float) -> list[Action]:
    """Let one event happen to a replica.

    Parameters
    ----------
    replica : Replica
        Changed in place.
    event : Event
        What happened.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Action
        What the runtime must do, writes before all else.

    References
    ----------
    D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
    Algorithm", 2014; pre-vote as in Ongaro's dissertation, section 9.6.

    Examples
    --------
    >>> from random import Random
    >>> alone = Replica("c1", ("c1",), Random(1))
    >>> actions = step(alone, Ticked(), now=5.0)
    >>> alone.role.value, alone.term
    ('leader', 1)
    """
    was_leader = replica.role is ReplicaRole.LEADER
    actions = _dispatch(replica, event, now)
    if replica.role is ReplicaRole.LEADER and not was_leader:
        actions += append_commands(replica, (_NOOP,), now)
        actions += send_heartbeats(replica, now)
    return actions


def _dispatch(replica: Replica, event: Event, now: float) -> list[Action]:
    match event:
        case Ticked():
            return _on_tick(replica, now)
        case Proposed(commands):
            if replica.role is not ReplicaRole.LEADER:
                return []
            return append_commands(replica, commands, now)
        case Received(sender, VoteRequest() as request):
            return on_vote_request(replica, sender, request, now)
        case Received(sender, VoteReply() as reply):
            return on_vote_reply(replica, sender, reply, now)
        case Received(sender, AppendRequest() as request):
            return on_append_request(replica, sender, request, now)
        case Received(sender, AppendReply() as reply):
            return on_append_reply(replica, sender, reply, now)
    return []


def _on_tick(replica: Replica, now: float) -> list[Action]:
    if now < replica.deadline:
        return []
    if replica.role is ReplicaRole.LEADER:
        return send_heartbeats(replica, now)
    return start_pre_vote(replica, now)
