"""Bodies that operators send and get."""

from typing import Annotated

import msgspec

from cranberryfield.core.settings import SettingValue

__all__ = [
    "ChangeBody",
    "ChangeResult",
    "ControlView",
    "EditBody",
    "LevelView",
    "NodeAddress",
    "OriginView",
    "RequestReport",
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
