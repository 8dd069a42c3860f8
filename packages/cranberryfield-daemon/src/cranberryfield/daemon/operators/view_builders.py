"""Builds the views shown to operators from the sections of the blackboard."""

import time
from collections import Counter
from resource import getpagesize

from cranberryfield.control.runtime import ControlSection
from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.config import DaemonConfig, Role
from cranberryfield.core.ids import RequestKey, WorkspaceId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import PeerState
from cranberryfield.core.operators.views import (
    NodeAddress,
    ReplicaView,
    RequestReport,
    RunningView,
    StatusView,
    UpstreamView,
)
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.core.settings.tree import upstream_is_drained
from cranberryfield.entry.membership import UpstreamsSection
from cranberryfield.entry.membership.peers import PeersSection
from cranberryfield.entry.requests import RecordsSection, RequestRecord
from cranberryfield.entry.requests.records import RequestState
from cranberryfield.entry.routing import DispatchSection

__all__ = [
    "build_request_reports",
    "build_running_views",
    "build_status_view",
    "build_upstream_views",
    "resident_memory_kib",
]

MS_PER_S = 1000
BYTES_PER_KIB = 1024
STATM_PATH = "/proc/self/statm"


def resident_memory_kib() -> int:
    """Return this process's resident memory in KiB; 0 if it cannot be read."""
    try:
        with open(STATM_PATH, encoding="ascii") as statm:
            pages = int(statm.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * getpagesize() // BYTES_PER_KIB


def build_status_view(
    config: DaemonConfig, board: Blackboard, mesh: Mesh, ready: bool
) -> StatusView:
    """Describe this process.

    Parameters
    ----------
    config : DaemonConfig
        Configuration of the process.
    board : Blackboard
        Sections of the process.
    mesh : Mesh
        Links to other processes.
    ready : bool
        Whether the process accepts new requests.

    Returns
    -------
    StatusView
        Status of the process.
    """
    is_entry = Role.ENTRY in config.roles
    known_upstreams = board.read(UpstreamsSection).upstreams if is_entry else ()
    linked = sorted(mesh.peers, key=lambda peer: peer.node)
    return StatusView(
        config.node,
        tuple(role.value for role in config.roles),
        config.data_centre,
        ready,
        board.read(SettingsSection).tree.revision,
        tuple(peer.node for peer in linked),
        len(known_upstreams),
        _control_view(config, board),
        _node_addresses(board, linked, is_entry),
        resident_memory_kib(),
        time.process_time(),
        *mesh.traffic_bytes,
    )


def _node_addresses(
    board: Blackboard, linked: list[Hello], is_entry: bool
) -> tuple[NodeAddress, ...]:
    addresses = {peer.node: peer.callers for peer in linked}
    if is_entry:
        # An entry host has links to only some of the other processes.
        peers = board.read(PeersSection).peers.values()
        addresses |= {
            peer.record.node: peer.record.callers
            for peer in peers
            if peer.record.state is not PeerState.LEFT
        }
    return tuple(NodeAddress(node, addresses[node]) for node in sorted(addresses))


def _control_view(config: DaemonConfig, board: Blackboard) -> ReplicaView | None:
    if Role.CONTROL not in config.roles:
        return None
    replica = board.read(ControlSection).replica
    return ReplicaView(
        replica.role.value,
        replica.term,
        replica.leader_node,
        replica.commit_index,
        replica.log.last_index,
        replica.voter_nodes,
    )


def build_upstream_views(board: Blackboard, now: float) -> list[UpstreamView]:
    """Describe the upstreams that an entry host knows.

    Parameters
    ----------
    board : Blackboard
        Sections of the entry host.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of UpstreamView
        One for each upstream, sorted by id.
    """
    tree = board.read(SettingsSection).tree
    dispatched = board.read(DispatchSection)
    known = board.read(UpstreamsSection).upstreams
    return [
        UpstreamView(
            one.record.upstream,
            one.record.service,
            one.record.data_centre,
            one.record.address,
            one.record.machine_class,
            one.record.incarnation,
            one.record.leaving,
            max(0, int((one.lease_ends_at() - now) * MS_PER_S)),
            one.record.load.running,
            one.record.load.queued,
            upstream_is_drained(tree, one.record.upstream),
            dispatched.in_flight.get(one.record.upstream, 0),
        )
        for _, one in sorted(known.items())
    ]


def build_running_views(records: RecordsSection) -> list[RunningView]:
    """Count the requests that run on this node by workspace and service.

    Parameters
    ----------
    records : RecordsSection
        Request records of this node.

    Returns
    -------
    list of RunningView
        One for each workspace and service with running requests.
    """
    counts = Counter(
        (record.request.workspace, record.request.service)
        for record in records.records.values()
        if record.state is RequestState.RUNNING
    )
    return [RunningView(*names, count) for names, count in sorted(counts.items())]


def build_request_reports(
    node: str, records: RecordsSection, workspace: WorkspaceId | None, key: RequestKey
) -> list[RequestReport]:
    """Describe the requests with a key that this node has records of.

    Parameters
    ----------
    node : str
        Name of this node.
    records : RecordsSection
        Request records of this node.
    workspace : WorkspaceId or None
        Workspace of the requests; None for all workspaces.
    key : RequestKey
        Key of the requests.

    Returns
    -------
    list of RequestReport
        One for each workspace that has used the key.
    """
    return [
        _request_report(node, record)
        for (owner, record_key), record in sorted(records.records.items())
        if record_key == key and workspace in (None, owner)
    ]


def _request_report(node: str, record: RequestRecord) -> RequestReport:
    request = record.request
    error = record.error
    return RequestReport(
        node,
        request.workspace,
        request.key,
        request.service,
        record.state.value,
        request.idempotent,
        len(record.events),
        error.kind.value if error else None,
        error.was_run.value if error else None,
        error.detail if error else None,
    )
