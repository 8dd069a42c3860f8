"""Levels of the settings tree and their names."""

import re
from dataclasses import dataclass
from enum import Enum

from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.ids import ServiceName, UpstreamId, WorkspaceId

__all__ = ["SYSTEM", "Level", "LevelKind", "parse_level"]

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class LevelKind(Enum):
    """Kinds of levels, from the least to the most specific."""

    SYSTEM = "system"
    SERVICE = "service"
    WORKSPACE = "workspace"
    WORKSPACE_SERVICE = "workspace at a service"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class Level:
    """One level of the settings tree.

    Attributes
    ----------
    kind : LevelKind
        Scope of the level.
    workspace, service, upstream : str or None
        Names of the objects that the level applies to; None for those that its
        kind does not include.
    """

    kind: LevelKind
    workspace: WorkspaceId | None = None
    service: ServiceName | None = None
    upstream: UpstreamId | None = None

    def __str__(self) -> str:
        if self.kind is LevelKind.SYSTEM:
            return "system"
        if self.kind is LevelKind.SERVICE:
            return f"service/{self.service}"
        if self.kind is LevelKind.WORKSPACE:
            return f"workspace/{self.workspace}"
        if self.kind is LevelKind.UPSTREAM:
            return f"upstream/{self.upstream}"
        return f"workspace/{self.workspace}/service/{self.service}"


SYSTEM = Level(LevelKind.SYSTEM)


def parse_level(text: str) -> Level:
    """Parse the name of a level.

    Parameters
    ----------
    text : str
        ``system``, ``service/S``, ``workspace/W``, ``workspace/W/service/S`` or
        ``upstream/U``.

    Returns
    -------
    Level
        The level; whether it exists is not checked.

    Raises
    ------
    ControlError
        Of kind ``unknown_path`` if the text is not a valid level name.

    Examples
    --------
    >>> str(parse_level("workspace/gare/service/archives"))
    'workspace/gare/service/archives'
    """
    match text.split("/"):
        case ["system"]:
            return SYSTEM
        case ["service", name] if _NAME_PATTERN.fullmatch(name):
            return Level(LevelKind.SERVICE, service=ServiceName(name))
        case ["workspace", name] if _NAME_PATTERN.fullmatch(name):
            return Level(LevelKind.WORKSPACE, workspace=WorkspaceId(name))
        case ["workspace", name, "service", service] if _NAME_PATTERN.fullmatch(
            name
        ) and _NAME_PATTERN.fullmatch(service):
            return Level(
                LevelKind.WORKSPACE_SERVICE,
                workspace=WorkspaceId(name),
                service=ServiceName(service),
            )
        case ["upstream", name] if _NAME_PATTERN.fullmatch(name):
            return Level(LevelKind.UPSTREAM, upstream=UpstreamId(name))
    raise ControlError(ErrorKind.UNKNOWN_PATH, f"no settings level is named {text!r}")
