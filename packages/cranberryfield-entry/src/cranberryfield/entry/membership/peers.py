"""Table of entry hosts and the rules for merging two views of it."""

from dataclasses import dataclass, field

import msgspec

from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import NodeId
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import PeerRecord, PeerState

__all__ = [
    "KnownPeer",
    "PeersSection",
    "declare_dead_peers",
    "forget_peers",
    "initial_record",
    "live_peers",
    "merge_peer",
    "other_live_peers",
    "suspect_peer",
]

#: Time in which a suspected host must refute the suspicion, in seconds.
SUSPICION_TIMEOUT_S = 2.0
#: Time after which dead and departed hosts are removed, in seconds.
FORGET_PEER_AFTER_S = 3600.0


@dataclass(slots=True)
class KnownPeer:
    """Entry host as known to this node.

    Attributes
    ----------
    record : PeerRecord
        Newest version received.
    changed_at : float
        Monotonic time in seconds at which that version was received.
    """

    record: PeerRecord
    changed_at: float


@dataclass(slots=True)
class PeersSection:
    """Blackboard section: all known entry hosts, including this one."""

    own: NodeId
    peers: dict[NodeId, KnownPeer] = field(default_factory=dict)


def initial_record(hello: Hello) -> PeerRecord:
    """Return the initial record of the node that sent `hello`."""
    return PeerRecord(
        hello.node,
        hello.incarnation,
        0,
        PeerState.ALIVE,
        hello.data_centre,
        hello.mesh,
        hello.callers,
    )


def _version_key(record: PeerRecord) -> tuple[int, bool, int, int]:
    left = record.state is PeerState.LEFT
    return (record.incarnation, left, record.sequence, record.state)


def merge_peer(section: PeersSection, record: PeerRecord, now: float) -> bool:
    """Merge a record of an entry host if it is newer than the known one.

    If the record says that this node itself is suspected or dead, the claim is
    refuted with a higher sequence.

    Parameters
    ----------
    section : PeersSection
        Table of entry hosts, modified in place.
    record : PeerRecord
        The received record.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether the table changed, so that the known record must be gossiped.
    """
    known = section.peers.get(record.node)
    if known is not None and _version_key(known.record) >= _version_key(record):
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
    """Mark a live host as suspected; return the record to gossip, if changed."""
    known = section.peers.get(node)
    if known is None or known.record.state is not PeerState.ALIVE:
        return None
    return _change_state(section, node, PeerState.SUSPECTED, now)


def declare_dead_peers(section: PeersSection, now: float) -> list[PeerRecord]:
    """Mark hosts as dead that did not refute a suspicion in time."""
    return [
        _change_state(section, node, PeerState.DEAD, now)
        for node, known in list(section.peers.items())
        if known.record.state is PeerState.SUSPECTED
        and now >= known.changed_at + SUSPICION_TIMEOUT_S
    ]


def forget_peers(section: PeersSection, now: float) -> list[NodeId]:
    """Remove hosts that have long been dead or departed; return their ids."""
    gone = [
        node
        for node, known in section.peers.items()
        if known.record.state in (PeerState.DEAD, PeerState.LEFT)
        and now >= known.changed_at + FORGET_PEER_AFTER_S
    ]
    for node in gone:
        del section.peers[node]
    return gone


def live_peers(section: PeersSection, now: float) -> list[PeerRecord]:
    """Return the entry hosts considered alive, including this node.

    Parameters
    ----------
    section : PeersSection
        Table of entry hosts.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of PeerRecord
        Records sorted by node id. A suspected host counts as alive until the
        time to refute the suspicion has passed.
    """
    return [
        known.record
        for _, known in sorted(section.peers.items())
        if known.record.state is PeerState.ALIVE
        or (
            known.record.state is PeerState.SUSPECTED
            and now < known.changed_at + SUSPICION_TIMEOUT_S
        )
    ]


def other_live_peers(section: PeersSection, clock: Clock) -> list[NodeId]:
    """Return the ids of the other entry hosts considered alive."""
    records = live_peers(section, clock())
    return [record.node for record in records if record.node != section.own]
