"""Placement of request records on entry hosts."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b

from cranberryfield.core.ids import DataCentre, NodeId, RequestKey, WorkspaceId
from cranberryfield.core.messages.membership import PeerState
from cranberryfield.entry.membership import PeersSection

__all__ = ["EntryHost", "HostsSource", "choose_replica_hosts", "entry_hosts"]

WEIGHT_BYTES = 8


@dataclass(frozen=True, slots=True)
class EntryHost:
    """A live entry host and its data centre."""

    node: NodeId
    data_centre: DataCentre


#: Returns the live entry hosts, including this one.
HostsSource = Callable[[], list[EntryHost]]


def entry_hosts(section: PeersSection, own: EntryHost) -> list[EntryHost]:
    """Return the entry hosts that may store record replicas.

    Parameters
    ----------
    section : PeersSection
        Table of entry hosts.
    own : EntryHost
        This host, which is always included.

    Returns
    -------
    list of EntryHost
        This host and the others that are alive and not suspected dead.
    """
    others = [
        EntryHost(known.record.node, known.record.data_centre)
        for node, known in section.peers.items()
        if known.record.state is PeerState.ALIVE and node != own.node
    ]
    return [own, *others]


def choose_replica_hosts(
    hosts: Iterable[EntryHost], workspace: WorkspaceId, key: RequestKey
) -> list[NodeId]:
    """Choose the primary and backup replica hosts of a record.

    Parameters
    ----------
    hosts : iterable of EntryHost
        The live entry hosts.
    workspace, key : str
        Workspace and key of the request.

    Returns
    -------
    list of NodeId
        The primary, then the backup, which is in another data centre if
        possible. Shorter if there are fewer than two hosts.

    Notes
    -----
    Rendezvous hashing: each host has a weight for the key, and the hosts with
    the highest weights are chosen. When one host joins or leaves, at least one
    of the previous two hosts is among the new two.

    Examples
    --------
    >>> hosts = [EntryHost("a", "x"), EntryHost("b", "x"), EntryHost("c", "y")]
    >>> len(choose_replica_hosts(hosts, "releve", "key-1"))
    2
    """

    def weight(host: EntryHost) -> bytes:
        text = f"{workspace} {key} {host.node}".encode()
        return blake2b(text, digest_size=WEIGHT_BYTES).digest()

    ranked = sorted(hosts, key=weight, reverse=True)
    if not ranked:
        return []
    first, *others = ranked
    distant = [host for host in others if host.data_centre != first.data_centre]
    backups = (distant or others)[:1]
    return [first.node, *(host.node for host in backups)]
