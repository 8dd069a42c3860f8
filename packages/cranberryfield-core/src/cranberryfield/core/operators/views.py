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
    "OriginView",
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


class ControlView(msgspec.Struct):
    """The node's replica of the log."""

    role: str
    term: int
    leader: str | None
    commit_index: int
    last_index: int
    voters: tuple[str, ...]


class StatusView(msgspec.Struct):
    """One process."""

    node: str
    roles: tuple[str, ...]
    data_centre: str
    ready: bool
    settings_revision: int
    peers: tuple[str, ...]
    upstreams: int
    control: ControlView | None = None
