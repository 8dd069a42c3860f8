"""The table of entry hosts and how two views of it are merged."""

from dataclasses import dataclass, field

import msgspec

from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import NodeId
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import PeerRecord, PeerState

__all__ = [
    "KnownPeer",
    "PeersSection",
    "confirm_dead",
    "forget_peers",
    "live_peers",
    "merge_peer",
    "other_live_peers",
    "own_record",
    "suspect_peer",
]

#: A suspected host that does not object is held for dead after this time.
SUSPICION_S = 2.0
#: Dead and departed hosts are forgotten after this time, in seconds.
FORGET_PEER_S = 3600.0


@dataclass(slots=True)
class KnownPeer:
    """One entry host as this node knows it.

    Attributes
    ----------
    record : PeerRecord
        The newest version heard.
    changed_at : float
        Monotonic time in seconds at which that version was heard.
    """

    record: PeerRecord
    changed_at: float


@dataclass(slots=True)
class PeersSection:
    """Section of the blackboard: every entry host heard of, this one too."""

    own: NodeId
    peers: dict[NodeId, KnownPeer] = field(default_factory=dict)


def own_record(hello: Hello) -> PeerRecord:
    """Return the first record of this node itself."""
    return PeerRecord(
        hello.node,
        hello.incarnation,
        0,
        PeerState.ALIVE,
        hello.data_centre,
        hello.mesh,
        hello.callers,
    )


def _version(record: PeerRecord) -> tuple[int, bool, int, int]:
    left = record.state is PeerState.LEFT
    return (record.incarnation, left, record.sequence, record.state)


def merge_peer(section: PeersSection, record: PeerRecord, now: float) -> bool:
    """Take in what was heard of an entry host if it is newer.

    A claim that this node itself is suspected or dead is refuted by a higher
    sequence.

    Parameters
    ----------
    section : PeersSection
        Changed in place.
    record : PeerRecord
        What was heard.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether anything changed, so that it should be passed on.
    """
    known = section.peers.get(record.node)
    if known is not None and _version(known.record) >= _version(record):
        return False
    if record.node == section.own and known is not None:
        is_newer = record.incarnation > known.record.incarnation
        if is_newer or record.state is PeerState.LEFT:
            return False
        record = msgspec.structs.replace(known.record, sequence=record.sequence + 1)
    section.peers[record.node] = KnownPeer(record, now)
    return True


def _change_state(
    section: PeersSection, node: NodeId, state: PeerState, now: float
) -> PeerRecord:
    known = section.peers[node]
    record = msgspec.structs.replace(known.record, state=state)
    section.peers[node] = KnownPeer(record, now)
    return record


def suspect_peer(section: PeersSection, node: NodeId, now: float) -> PeerRecord | None:
    """Suspect a live host that cannot be reached; return what to pass on."""
    known = section.peers.get(node)
    if known is None or known.record.state is not PeerState.ALIVE:
        return None
    return _change_state(section, node, PeerState.SUSPECTED, now)


def confirm_dead(section: PeersSection, now: float) -> list[PeerRecord]:
    """Hold for dead the hosts that did not refute a suspicion in time."""
    return [
        _change_state(section, node, PeerState.DEAD, now)
        for node, known in list(section.peers.items())
        if known.record.state is PeerState.SUSPECTED
        and now >= known.changed_at + SUSPICION_S
    ]


def forget_peers(section: PeersSection, now: float) -> list[NodeId]:
    """Drop hosts that have been dead or gone for long; return their ids."""
    gone = [
        node
        for node, known in section.peers.items()
        if known.record.state in (PeerState.DEAD, PeerState.LEFT)
        and now >= known.changed_at + FORGET_PEER_S
    ]
    for node in gone:
        del section.peers[node]
    return gone


def live_peers(section: PeersSection, now: float) -> list[PeerRecord]:
    """Return the entry hosts held to be alive, this node included.

    Parameters
    ----------
    section : PeersSection
        The table.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of PeerRecord
        In the order of their ids. A suspected host counts as alive until its
        time to object has passed.
    """
    return [
        known.record
        for _, known in sorted(section.peers.items())
        if known.record.state is PeerState.ALIVE
        or (
            known.record.state is PeerState.SUSPECTED
            and now < known.changed_at + SUSPICION_S
        )
    ]


def other_live_peers(section: PeersSection, clock: Clock) -> list[NodeId]:
    """Return the ids of the entry hosts held to be alive, but this one."""
    records = live_peers(section, clock())
    return [record.node for record in records if record.node != section.own]
