"""Shared functions of the service, workspace and upstream commands."""

from uuid import uuid4

from cranberryfield.client.changes import ChangeReport, author_name, send_change
from cranberryfield.client.connection import open_connection
from cranberryfield.client.options import Target
from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.operators.views import (
    ChangeBody,
    EditBody,
    LevelView,
    SettingsView,
)
from cranberryfield.core.settings import SettingValue

__all__ = ["create_level", "read_levels", "require_level"]

ABSENT_LEVEL_REVISION = 0


async def read_levels(target: Target) -> dict[str, LevelView]:
    """Return all levels that have at least one setting, by name."""
    async with open_connection(target) as connection:
        view = await connection.get("/operator/settings", SettingsView)
    return {level.level: level for level in view.levels}


async def create_level(
    target: Target,
    level: str,
    values: dict[str, SettingValue],
    wait: bool,
    timeout_s: float,
) -> ChangeReport:
    """Create a level by setting its first values.

    Parameters
    ----------
    target : Target
        The node to call and the operator's key.
    level : str
        Name of the level.
    values : dict
        Values by setting name.
    wait : bool
        Whether to wait until the values are in force on every node.
    timeout_s : float
        Wait limit in seconds.

    Returns
    -------
    ChangeReport
        Result of the change.

    Raises
    ------
    ControlError
        Of kind ``stale_revision`` if the level already has settings.
    """
    edit = EditBody(level, ABSENT_LEVEL_REVISION, values)
    body = ChangeBody(uuid4().hex, (edit,), author_name())
    return await send_change(target, body, wait, timeout_s)


async def require_level(target: Target, level: str) -> None:
    """Raise `ControlError` of kind ``unknown_path`` if a level has no settings."""
    if level not in await read_levels(target):
        raise ControlError(ErrorKind.UNKNOWN_PATH, f"no settings at level {level}")
