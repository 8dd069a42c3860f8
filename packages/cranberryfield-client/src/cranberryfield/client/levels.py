"""What the commands about services, workspaces and upstreams share."""

from uuid import uuid4

from cranberryfield.client.changes import ChangeReport, author_name, send_change
from cranberryfield.client.connection import connected
from cranberryfield.client.options import Target
from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.operators.views import (
    ChangeBody,
    EditBody,
    LevelView,
    SettingsView,
)
from cranberryfield.core.settings import SettingValue

__all__ = ["create_level", "read_levels", "refuse_unknown_level"]

NO_LEVEL = 0


async def read_levels(target: Target) -> dict[str, LevelView]:
    """Return all levels at which anything is set, by name."""
    async with connected(target) as connection:
        view = await connection.get("/operator/settings", SettingsView)
    return {level.level: level for level in view.levels}


async def create_level(
    target: Target,
    level: str,
    values: dict[str, SettingValue],
    wait: bool,
    timeout_s: float,
) -> ChangeReport:
    """Set the first values at a level.

    Parameters
    ----------
    target : Target
        The node and the key.
    level : str
        The level's name.
    values : dict
        Values by setting.
    wait : bool
        Whether to wait until every node has them.
    timeout_s : float
        Longest wait in seconds.

    Returns
    -------
    ChangeReport
        What became of the change.

    Raises
    ------
    ControlError
        Of kind ``stale_revision`` if the level has values already.
    """
    edit = EditBody(level, NO_LEVEL, values)
    body = ChangeBody(uuid4().hex, (edit,), author_name())
    return await send_change(target, body, wait, timeout_s)


async def refuse_unknown_level(target: Target, level: str) -> None:
    """Raise `ControlError` of kind ``unknown_path`` if nothing is set there."""
    if level not in await read_levels(target):
        raise ControlError(ErrorKind.UNKNOWN_PATH, f"nothing is set at {level}")
