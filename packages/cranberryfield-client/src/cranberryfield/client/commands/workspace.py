"""The ``cranberryfield workspace`` commands."""

import secrets
from hashlib import sha256

import msgspec
from cyclopts import App

from cranberryfield.client.assignments import parse_assignments
from cranberryfield.client.changes import wait_until_in_force
from cranberryfield.client.commands.settings import (
    DEFAULT_WAIT_TIMEOUT_S,
    TimeoutOption,
    WaitOption,
)
from cranberryfield.client.connection import open_connection
from cranberryfield.client.drain import drain, running_request_counter
from cranberryfield.client.levels import (
    create_level,
    read_levels,
    require_level,
)
from cranberryfield.client.options import Target
from cranberryfield.client.output import print_rows, print_value
from cranberryfield.core.operators.views import EffectiveValueView
from cranberryfield.core.settings import parse_level
from cranberryfield.core.settings.levels import LevelKind

__all__ = ["app"]

LEVEL_PREFIX = "workspace/"
KEY_BYTES = 32
KEY_PREFIX = "cbf_"

app = App(
    name="workspace",
    help="List, show, create and drain workspaces.",
    help_epilogue="""Examples:

    cranberryfield workspace create releve share=2
    cranberryfield workspace show releve --service redacteur
    cranberryfield workspace drain releve --wait
""",
)


class WorkspaceRow(msgspec.Struct):
    """Summary of one workspace."""

    workspace: str
    keys: int
    drained: bool
    settings: int
    services: tuple[str, ...]


class CreatedWorkspace(msgspec.Struct):
    """A new workspace and its key, of which only a digest is stored."""

    workspace: str
    key: str
    revision: int


@app.command(name="list")
async def list_workspaces(*, target: Target) -> None:
    """List workspaces and the services for which they have their own settings."""
    rows: dict[str, WorkspaceRow] = {}
    for name, level in (await read_levels(target)).items():
        parsed = parse_level(name)
        if parsed.kind is LevelKind.WORKSPACE:
            values = level.values
            rows[parsed.workspace] = WorkspaceRow(
                parsed.workspace,
                len(values.get("key_hashes") or ()),
                bool(values.get("drained", False)),
                len(values),
                (),
            )
        elif parsed.kind is LevelKind.WORKSPACE_SERVICE:
            row = rows[parsed.workspace]
            row.services = (*row.services, parsed.service)
    print_rows(list(rows.values()), target.as_json)


@app.command(name="show")
async def show_workspace(
    name: str, /, *, service: str | None = None, target: Target
) -> None:
    """Show the settings in force for a workspace.

    Parameters
    ----------
    name : str
        The workspace.
    service : str, optional
        Show the settings in force for the workspace at this service.
    """
    await require_level(target, LEVEL_PREFIX + name)
    async with open_connection(target) as connection:
        rows = await connection.get(
            "/operator/settings/effective",
            list[EffectiveValueView],
            workspace=name,
            service=service,
        )
    print_rows(rows, target.as_json)


@app.command(name="create")
async def create_workspace(
    name: str,
    /,
    *assignments: str,
    wait: WaitOption = False,
    timeout: TimeoutOption = DEFAULT_WAIT_TIMEOUT_S,
    target: Target,
) -> None:
    """Create a workspace and print its key.

    Only a digest of the key is stored, so the key cannot be shown again. To
    replace a lost key, set the digest of a new one in ``key_hashes`` at the
    workspace's level.

    Parameters
    ----------
    name : str
        Name of the workspace.
    assignments : str
        Settings at the workspace's level, each as ``NAME=VALUE``.
    """
    level = LEVEL_PREFIX + name
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    digest = sha256(key.encode()).hexdigest()
    values = parse_assignments(level, (f"key_hashes=['{digest}']", *assignments))
    report = await create_level(target, level, values, False, timeout)
    # The key is not stored, so it is printed before the wait, which can fail.
    print_value(CreatedWorkspace(name, key, report.revision), target.as_json)
    if wait:
        await wait_until_in_force(target, report, timeout)


@app.command(name="drain")
async def drain_workspace(
    name: str,
    /,
    *,
    undo: bool = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = DEFAULT_WAIT_TIMEOUT_S,
    target: Target,
) -> None:
    """Drain a workspace: refuse new requests and let running ones finish.

    Parameters
    ----------
    name : str
        The workspace.
    undo : bool
        End the drain; accept new requests again.
    """
    await require_level(target, LEVEL_PREFIX + name)
    count = running_request_counter(target, None, name)
    report = await drain(target, LEVEL_PREFIX + name, undo, wait, timeout, count)
    print_value(report, target.as_json)
