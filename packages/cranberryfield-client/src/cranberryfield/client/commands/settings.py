"""The ``cranberryfield settings`` commands."""

from pathlib import Path
from typing import Annotated
from uuid import uuid4

from cyclopts import App, Parameter

from cranberryfield.client.assignments import parse_assignments
from cranberryfield.client.changes import ChangeReport, author_name, send_change
from cranberryfield.client.connection import open_connection
from cranberryfield.client.options import Target
from cranberryfield.client.output import print_progress, print_rows, print_value
from cranberryfield.client.settings_file import (
    SettingsFileDifference,
    build_change,
    compare_levels,
    read_settings_file,
)
from cranberryfield.core.errors import CallerError, ControlError, ErrorKind
from cranberryfield.core.operators.reference import SettingReference, list_settings
from cranberryfield.core.operators.views import (
    ChangeBody,
    DifferenceRow,
    EditBody,
    EffectiveValueView,
    HistoryRow,
    SettingsView,
)
from cranberryfield.core.settings import parse_level

__all__ = ["app"]

DEFAULT_WAIT_TIMEOUT_S = 30.0
SETTINGS_PATH = "/operator/settings"

WaitOption = Annotated[
    bool, Parameter(negative=(), help="Wait until the change is in force on every node")
]
TimeoutOption = Annotated[float, Parameter(help="Wait limit in seconds, with --wait")]
RevisionOption = Annotated[
    int | None,
    Parameter(help="Fail unless the level has this revision; 0 if it has no settings"),
]
ChangeIdOption = Annotated[
    str | None,
    Parameter(help="Id of the change; resending it with this id has no second effect"),
]

app = App(
    name="settings",
    help="Read and change settings.",
    help_epilogue="""Examples:

    cranberryfield settings get
    cranberryfield settings get --workspace releve --service redacteur
    cranberryfield settings set service/redacteur queue_limit=64 --wait
    cranberryfield settings apply fleet.yaml --dry-run
""",
)


@app.command(name="get")
async def get_settings(
    level: str | None = None,
    /,
    *,
    workspace: str | None = None,
    service: str | None = None,
    target: Target,
) -> None:
    """Show the settings at a level, or the settings in force with their origin.

    Parameters
    ----------
    level : str, optional
        Level, such as ``system`` or ``service/redacteur``; all levels by default.
    workspace, service : str, optional
        Show the values in force for this workspace or service, with their origin.
    """
    async with open_connection(target) as connection:
        if workspace is not None or service is not None:
            rows = await connection.get(
                f"{SETTINGS_PATH}/effective",
                list[EffectiveValueView],
                workspace=workspace,
                service=service,
            )
            print_rows(rows, target.as_json)
            return
        view = await connection.get(SETTINGS_PATH, SettingsView, level=level)
        print_rows(view.levels, target.as_json)


@app.command(name="set")
async def set_settings(
    level: str,
    /,
    *assignments: str,
    revision: RevisionOption = None,
    change_id: ChangeIdOption = None,
    wait: WaitOption = False,
    timeout: TimeoutOption = DEFAULT_WAIT_TIMEOUT_S,
    target: Target,
) -> None:
    """Set settings at a level.

    Parameters
    ----------
    level : str
        Level, such as ``system``, ``service/redacteur``, ``workspace/releve``,
        ``workspace/releve/service/redacteur`` or ``upstream/redacteur-1``.
    assignments : str
        Settings, each as ``NAME=VALUE`` with the value in YAML.
    """
    values = parse_assignments(level, assignments)
    edit = EditBody(level, revision, values)
    body = ChangeBody(change_id or uuid4().hex, (edit,), author_name())
    report = await send_change(target, body, wait, timeout)
    print_value(report, target.as_json)


@app.command(name="unset")
async def unset_settings(
    level: str,
    /,
    *names: str,
    revision: RevisionOption = None,
    change_id: ChangeIdOption = None,
    wait: WaitOption = False,
    timeout: TimeoutOption = DEFAULT_WAIT_TIMEOUT_S,
    target: Target,
) -> None:
    """Remove settings from a level, so that it inherits their values.

    Parameters
    ----------
    level : str
        Level, as for ``set``.
    names : str
        Names of the settings.
    """
    parse_level(level)
    if not names:
        raise ControlError(ErrorKind.INVALID_SETTING, "no setting name was given")
    known_names = {row.setting for row in list_settings()}
    unknown_names = [name for name in names if name not in known_names]
    if unknown_names:
        raise ControlError(
            ErrorKind.UNKNOWN_PATH, f"unknown settings: {', '.join(unknown_names)}"
        )
    edit = EditBody(level, revision, unset=names)
    body = ChangeBody(change_id or uuid4().hex, (edit,), author_name())
    report = await send_change(target, body, wait, timeout)
    print_value(report, target.as_json)


@app.command(name="diff")
async def diff_settings(
    file: Path | None = None,
    /,
    *,
    exact: bool = False,
    since: int | None = None,
    until: int | None = None,
    target: Target,
) -> None:
    """Show the differences between a file and the settings, or two revisions.

    Parameters
    ----------
    file : pathlib.Path, optional
        A YAML file that maps levels to settings.
    exact : bool
        Include settings that the file's levels have but the file does not.
    since, until : int, optional
        Instead of a file: the older and the newer revision to compare; the newer
        one defaults to the current revision.
    """
    if (file is None) == (since is None):
        raise CallerError(ErrorKind.BAD_REQUEST, "give either a file or --since")
    if file is None:
        await _diff_revisions(target, since, until)
        return
    wanted = read_settings_file(file)
    async with open_connection(target) as connection:
        view = await connection.get(SETTINGS_PATH, SettingsView)
    print_rows(compare_levels(view, wanted, exact), target.as_json)


async def _diff_revisions(target: Target, since: int, until: int | None) -> None:
    async with open_connection(target) as connection:
        if until is None:
            until = (await connection.get(SETTINGS_PATH, SettingsView)).revision
        rows = await connection.get(
            f"{SETTINGS_PATH}/difference",
            list[DifferenceRow],
            first=str(since),
            last=str(until),
        )
    print_rows(rows, target.as_json)


@app.command(name="history")
async def show_history(
    level: str | None = None, /, *, limit: int = 20, target: Target
) -> None:
    """Show the most recently accepted changes, newest first.

    Parameters
    ----------
    level : str, optional
        Show only changes of this level.
    limit : int
        Maximum number of changes to show.
    """
    async with open_connection(target) as connection:
        rows = await connection.get(
            f"{SETTINGS_PATH}/history",
            list[HistoryRow],
            level=level,
            limit=str(limit),
        )
    print_rows(rows, target.as_json)


@app.command(name="apply")
async def apply_settings(
    file: Path,
    /,
    *,
    exact: bool = False,
    dry_run: bool = False,
    wait: WaitOption = False,
    timeout: TimeoutOption = DEFAULT_WAIT_TIMEOUT_S,
    target: Target,
) -> None:
    """Apply a settings file in one change.

    Levels that are not in the file are not changed. Applying the same file again
    has no effect. If one of the file's levels is changed concurrently, the
    command fails without changing anything.

    Parameters
    ----------
    file : pathlib.Path
        A YAML file that maps levels to settings.
    exact : bool
        Also remove settings that the file's levels have but the file does not.
    dry_run : bool
        Validate the file and show the changes without applying them.
    """
    wanted = read_settings_file(file)
    async with open_connection(target) as connection:
        view = await connection.get(SETTINGS_PATH, SettingsView)
    differences = compare_levels(view, wanted, exact)
    if differences:
        body = build_change(view, wanted, differences, author_name())
    if dry_run:
        print_rows(differences, target.as_json)
        return
    if not differences:
        print_progress("nothing to change")
        print_value(ChangeReport("", view.revision), target.as_json)
        return
    _print_change_summary(differences)
    report = await send_change(target, body, wait, timeout)
    print_value(report, target.as_json)


def _print_change_summary(differences: list[SettingsFileDifference]) -> None:
    levels = len({difference.level for difference in differences})
    print_progress(f"changing {len(differences)} values at {levels} levels")


@app.command(name="describe")
def describe_settings(
    name: str | None = None,
    /,
    *,
    as_json: Annotated[bool, Parameter(name="--json", negative=())] = False,
) -> None:
    """List all settings with their types, defaults, levels and meanings.

    Parameters
    ----------
    name : str, optional
        Show only this setting.
    as_json : bool
        Print JSON instead of a table.
    """
    rows: list[SettingReference] = [
        row for row in list_settings() if name in (None, row.setting)
    ]
    if not rows:
        raise ControlError(ErrorKind.UNKNOWN_PATH, f"unknown setting {name!r}")
    print_rows(rows, as_json)
