"""Bodies that operators send and get."""

from typing import Annotated

import msgspec

from cranberryfield.core.settings import SettingValue

__all__ = [
    "ChangeBody",
    "ChangeResult",
    "ClaimRow",
    "ControlView",
    "DifferenceRow",
    "EditBody",
    "GroupReplacement",
    "HistoryRow",
    "HoldersRow",
    "HostRemoval",
    "LevelView",
    "MemberChange",
    "MembersView",
    "NodeAddress",
    "OriginView",
    "RequestReport",
    "RequestView",
    "RunningView",
    "SettingsView",
    "StatusView",
    "UpstreamView",
]

Identifier = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class EditBody(msgspec.Struct, forbid_unknown_fields=True):
    """What a change does to one level."""

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
    """Answer to an accepted change."""

    revision: int


class LevelView(msgspec.Struct):
    """One level as it stands."""

    level: str
    revision: int
    values: dict[str, SettingValue]


class SettingsView(msgspec.Struct):
    """The tree as this node has it."""

    revision: int
    levels: list[LevelView]


class OriginView(msgspec.Struct):
    """A value in force and where it comes from."""

    name: str
    value: SettingValue
    level: str


class UpstreamView(msgspec.Struct):
    """One upstream as this node knows it."""

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
    """Requests of a workspace at a service that run on one node now."""

    workspace: str
    service: str
    running: int


class RequestReport(msgspec.Struct):
    """What one node's record says of a request.

    Attributes
    ----------
    node : str
        The node.
    workspace, key, service : str
        The request.
    state : str
        Where it stands.
    idempotent : bool
        Whether it may run more than once.
    events : int
        Events of the answer so far.
    kind, was_run, detail : str or None
        How it failed, if it did.
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
    """A non-idempotent request's claim in the replicated log.

    Attributes
    ----------
    state : str
        ``claimed``, ``dispatched``, ``answered``, ``unknown`` or ``released``.
    attempt : int
        Counts the claimers.
    node : str
        The claimer.
    status : int
        HTTP status of the answer; 0 without one.
    """

    state: str
    attempt: int
    node: str
    status: int


class RequestView(msgspec.Struct):
    """What the group knows of a request.

    Attributes
    ----------
    claim : ClaimRow or None
        Its claim, if it is non-idempotent and a workspace was named.
    records : list of RequestReport
        What nodes have a record of.
    silent : tuple of str
        Nodes that did not answer.
    """

    claim: ClaimRow | None
    records: list[RequestReport]
    silent: tuple[str, ...]


class ControlView(msgspec.Struct):
    """The node's replica of the log."""

    role: str
    term: int
    leader: str | None
    commit_index: int
    last_index: int
    voters: tuple[str, ...]


class NodeAddress(msgspec.Struct, frozen=True):
    """A node and where it answers operators, ``IP:PORT``."""

    node: str
    address: str


class StatusView(msgspec.Struct):
    """One process.

    Attributes
    ----------
    node : str
        Its id.
    roles : tuple of str
        What it does.
    data_centre : str
        Where it runs.
    ready : bool
        Whether it takes new requests.
    settings_revision : int
        Revision of the settings in force.
    peers : tuple of str
        Nodes that it has links to.
    upstreams : int
        Upstreams that it knows.
    control : ControlView or None
        Its replica of the log, with the control role.
    addresses : tuple of NodeAddress
        Where its peers answer operators.
    resident_kib : int
        Memory of the process, in KiB.
    cpu_s : float
        Processor time of the process since its start, in seconds.
    mesh_sent_bytes, mesh_received_bytes : int
        Payload on its links to other processes since its start.
    """

    node: str
    roles: tuple[str, ...]
    data_centre: str
    ready: bool
    settings_revision: int
    peers: tuple[str, ...]
    upstreams: int
    control: ControlView | None = None
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
        Revision of the tree after the change.
    author, change_id : str
        Who asked, and under which id.
    level, setting : str
        Where.
    before, after : object
        Its values; None where nothing stood.
    """

    revision: int
    author: str
    change_id: str
    level: str
    setting: str
    before: SettingValue
    after: SettingValue


class DifferenceRow(msgspec.Struct):
    """One setting that differs between two revisions; None for nothing."""

    level: str
    setting: str
    before: SettingValue
    after: SettingValue


class HoldersRow(msgspec.Struct):
    """Which entry hosts have a revision in force, as the leader knows.

    Attributes
    ----------
    revision : int
        The revision asked about.
    holders, lagging, silent : tuple of str
        Hosts that have it; that do not yet; that have not been heard lately,
        and so do not serve.
    """

    revision: int
    holders: tuple[str, ...]
    lagging: tuple[str, ...]
    silent: tuple[str, ...]


class MembersView(msgspec.Struct):
    """The control group.

    Attributes
    ----------
    voters, learners : tuple of str
        Its members.
    leader : str or None
        The leader, if known.
    generation : int
        Counts how often the group was replaced.
    term : int
        The election term.
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...]
    leader: str | None
    generation: int
    term: int


class MemberChange(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operator/control/members``: one host to add or remove."""

    add: str | None = None
    remove: str | None = None


class GroupReplacement(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operator/control/replace``; names the asked host."""

    node: str


class HostRemoval(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operator/hosts/forget``; names an entry host."""

    node: str
