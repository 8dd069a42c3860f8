"""Request and response bodies of the operators' HTTP interface."""

from typing import Annotated

import msgspec

from cranberryfield.core.settings import SettingValue

__all__ = [
    "ChangeBody",
    "ChangeResult",
    "ClaimRow",
    "DifferenceRow",
    "EditBody",
    "EffectiveValueView",
    "GroupReplacement",
    "HistoryRow",
    "HoldersRow",
    "HostRemoval",
    "LevelView",
    "MemberChange",
    "MembersView",
    "NodeAddress",
    "ReplicaView",
    "RequestReport",
    "RequestView",
    "RunningView",
    "SettingsView",
    "StatusView",
    "UpstreamView",
]

Identifier = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class EditBody(msgspec.Struct, forbid_unknown_fields=True):
    """Values that a change sets and unsets at one level."""

    level: str
    expected_revision: int | None = None
    set: dict[str, SettingValue] = msgspec.field(default_factory=dict)
    unset: tuple[str, ...] = ()


class ChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operator/settings``."""

    change_id: Identifier
    edits: Annotated[tuple[EditBody, ...], msgspec.Meta(min_length=1)]
    author: str = "operator"


class ChangeResult(msgspec.Struct):
    """Response to an accepted change: the new revision of the settings."""

    revision: int


class LevelView(msgspec.Struct):
    """Values that one level sets, and its revision."""

    level: str
    revision: int
    values: dict[str, SettingValue]


class SettingsView(msgspec.Struct):
    """The settings tree as known to the queried node."""

    revision: int
    levels: list[LevelView]


class EffectiveValueView(msgspec.Struct):
    """The effective value of a setting, and the level that sets it."""

    name: str
    value: SettingValue
    level: str


class UpstreamView(msgspec.Struct):
    """State of one upstream as known to the queried node."""

    upstream: str
    service: str
    data_centre: str
    address: str
    machine_class: str
    incarnation: int
    leaving: bool
    lease_left_ms: int
    running: int
    queued: int
    drained: bool = False
    in_flight: int = 0


class RunningView(msgspec.Struct):
    """Number of a workspace's requests to a service that one node is running."""

    workspace: str
    service: str
    running: int


class RequestReport(msgspec.Struct):
    """State of a request according to one node's record.

    Attributes
    ----------
    node : str
        Node that has the record.
    workspace, key, service : str
        Workspace, idempotency key and service of the request.
    state : str
        State of the request.
    idempotent : bool
        Whether it may run more than once.
    events : int
        Number of events of the response so far.
    kind, was_run, detail : str or None
        Error of the request; None if it has not failed.
    """

    node: str
    workspace: str
    key: str
    service: str
    state: str
    idempotent: bool
    events: int = 0
    kind: str | None = None
    was_run: str | None = None
    detail: str | None = None


class ClaimRow(msgspec.Struct):
    """Claim of a non-idempotent request in the replicated log.

    Attributes
    ----------
    state : str
        ``claimed``, ``dispatched``, ``answered``, ``unknown`` or ``released``.
    attempt : int
        Number of times that the request has been claimed.
    node : str
        Node that holds the claim.
    status : int
        HTTP status of the response; 0 if there is none.
    """

    state: str
    attempt: int
    node: str
    status: int


class RequestView(msgspec.Struct):
    """Claim and records of a request, collected from all nodes.

    Attributes
    ----------
    claim : ClaimRow or None
        Claim of the request, if it is non-idempotent and the query names a
        workspace.
    records : list of RequestReport
        State of the request on each node that has a record of it.
    silent : tuple of str
        Nodes that did not respond.
    """

    claim: ClaimRow | None
    records: list[RequestReport]
    silent: tuple[str, ...]


class ReplicaView(msgspec.Struct):
    """State of the node's replica of the log."""

    role: str
    term: int
    leader: str | None
    commit_index: int
    last_index: int
    voters: tuple[str, ...]


class NodeAddress(msgspec.Struct, frozen=True):
    """A node and the ``IP:PORT`` of its operators' interface."""

    node: str
    address: str


class StatusView(msgspec.Struct):
    """State of one process.

    Attributes
    ----------
    node : str
        Id of the process.
    roles : tuple of str
        Roles of the process.
    data_centre : str
        Data centre that the process runs in.
    ready : bool
        Whether it accepts new requests.
    settings_revision : int
        Revision of the settings in force.
    peers : tuple of str
        Nodes that it has links to.
    upstreams : int
        Number of known upstreams.
    control : ReplicaView or None
        State of its replica of the log; None without the control role.
    addresses : tuple of NodeAddress
        Addresses of its peers' operator interfaces.
    resident_kib : int
        Resident memory of the process, in KiB.
    cpu_s : float
        CPU time of the process since its start, in seconds.
    mesh_sent_bytes, mesh_received_bytes : int
        Payload bytes on its links to other processes since its start.
    """

    node: str
    roles: tuple[str, ...]
    data_centre: str
    ready: bool
    settings_revision: int
    peers: tuple[str, ...]
    upstreams: int
    control: ReplicaView | None = None
    addresses: tuple[NodeAddress, ...] = ()
    resident_kib: int = 0
    cpu_s: float = 0.0
    mesh_sent_bytes: int = 0
    mesh_received_bytes: int = 0


class HistoryRow(msgspec.Struct):
    """One value that an accepted change set or removed.

    Attributes
    ----------
    revision : int
        Revision of the settings tree after the change.
    author, change_id : str
        Author and id of the change.
    level, setting : str
        Level and name of the setting.
    before, after : object
        Value before and after the change; None if the level did not set it.
    """

    revision: int
    author: str
    change_id: str
    level: str
    setting: str
    before: SettingValue
    after: SettingValue


class DifferenceRow(msgspec.Struct):
    """A setting that differs between two revisions; an unset value is None."""

    level: str
    setting: str
    before: SettingValue
    after: SettingValue


class HoldersRow(msgspec.Struct):
    """Entry hosts by whether a settings revision is in force there.

    The leader reports what it knows of them.

    Attributes
    ----------
    revision : int
        The revision in question.
    holders : tuple of str
        Hosts that have the revision in force.
    lagging : tuple of str
        Hosts that do not have it yet.
    silent : tuple of str
        Hosts not heard from recently, which therefore do not serve.
    """

    revision: int
    holders: tuple[str, ...]
    lagging: tuple[str, ...]
    silent: tuple[str, ...]


class MembersView(msgspec.Struct):
    """Members and leader of the control group.

    Attributes
    ----------
    voters, learners : tuple of str
        Members of the group, with and without a vote.
    leader : str or None
        Leader of the group; None if unknown.
    generation : int
        Number of times that the group was replaced.
    term : int
        Current election term.
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...]
    leader: str | None
    generation: int
    term: int


class MemberChange(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operator/control/members``: a host to add or remove."""

    add: str | None = None
    remove: str | None = None


class GroupReplacement(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operator/control/replace``: the host that is called."""

    node: str


class HostRemoval(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operator/hosts/forget``: the entry host to remove."""

    node: str
