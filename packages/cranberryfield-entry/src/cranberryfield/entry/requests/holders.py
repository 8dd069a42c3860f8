"""Which entry hosts hold the record of a request."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b

from cranberryfield.core.ids import DataCentre, NodeId, RequestKey, WorkspaceId
from cranberryfield.core.messages.membership import PeerState
from cranberryfield.entry.membership import PeersSection

__all__ = ["EntryHost", "HostsSource", "choose_holders", "entry_hosts"]

WEIGHT_BYTES = 8


@dataclass(frozen=True, slots=True)
class EntryHost:
    """A live entry host and its data centre."""

    node: NodeId
    data_centre: DataCentre


#: Returns the live entry hosts, this one included.
HostsSource = Callable[[], list[EntryHost]]


def entry_hosts(section: PeersSection, own: EntryHost) -> list[EntryHost]:
    """Return the entry hosts that may hold records.

    Parameters
    ----------
    section : PeersSection
        The table of entry hosts.
    own : EntryHost
        This host, which is always among them.

    Returns
    -------
    list of EntryHost
        Hosts that are not even suspected of being dead.
    """
    others = [
        EntryHost(known.record.node, known.record.data_centre)
        for node, known in section.peers.items()
        if known.record.state is PeerState.ALIVE and node != own.node
    ]
    return [own, *others]


def choose_holders(
    hosts: Iterable[EntryHost], workspace: WorkspaceId, key: RequestKey
) -> list[NodeId]:
    """Choose the holder of a record and its backup.

    Parameters
    ----------
    hosts : iterable of EntryHost
        The live entry hosts.
    workspace, key : str
        Name of the request.

    Returns
    -------
    list of NodeId
        The holder, then the backup, which is in another data centre if any
        host is. Fewer if there are fewer hosts.

    Notes
    -----
    Rendezvous hashing: each host has a weight for the key and the heaviest
    hold it. When one host comes or goes, one of the former two holders is
    among the new two.

    Examples
    --------
    >>> hosts = [EntryHost("a", "x"), EntryHost("b", "x"), EntryHost("c", "y")]
    >>> len(choose_holders(hosts, "releve", "key-1"))
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
