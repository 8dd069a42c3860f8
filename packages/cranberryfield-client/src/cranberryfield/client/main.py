"""Command line of the operators' client."""

import sys
from typing import Annotated
from uuid import uuid4

import msgspec
import yaml
from cyclopts import App, Parameter
from rich.console import Console
from rich.table import Table

from cranberryfield.client.connection import Connection
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.operators.views import (
    ChangeBody,
    ChangeResult,
    EditBody,
    OriginView,
    SettingsView,
    StatusView,
    UpstreamView,
)

__all__ = ["main"]

app = App(name="cranberryfield", help="Operates a cranberryfield group.")
settings = App(name="settings", help="Reads and changes the settings tree.")
upstream = App(name="upstream", help="Shows upstreams.")
app.command(settings)
app.command(upstream)

Node = Annotated[
    str, Parameter(env_var="CRANBERRYFIELD_NODE", help="IP:PORT of a node")
]
Key = Annotated[str, Parameter(env_var="CRANBERRYFIELD_KEY", help="Operator key")]
AsJson = Annotated[bool, Parameter(name="--json", negative=(), help="Print JSON")]


@settings.command(name="get")
def get_settings(
    level: str | None = None,
    *,
    workspace: str | None = None,
    service: str | None = None,
    node: Node,
    key: Key,
    as_json: AsJson = False,
) -> None:
    """Show what stands at a level, or with --workspace/--service what is in force.

    Parameters
    ----------
    level : str, optional
        As ``service/redacteur``; all levels if left out.
    workspace, service : str, optional
        Show the values in force there, each with its origin.
    node, key, as_json
        Where to ask, with which key, and how to print.
    """
    connection = Connection.from_address(node, key)
    if workspace or service:
        names = {"workspace": workspace, "service": service}
        params = {name: value for name, value in names.items() if value}
        rows = connection.get(
            "/operator/settings/effective", list[OriginView], **params
        )
        _print(rows, as_json)
        return
    params = {"level": level} if level else {}
    view = connection.get("/operator/settings", SettingsView, **params)
    _print(view.levels, as_json)


@settings.command(name="set")
def set_settings(
    level: str,
    *assignments: str,
    revision: int | None = None,
    change_id: str | None = None,
    node: Node,
    key: Key,
    as_json: AsJson = False,
) -> None:
    """Set values at a level: NAME=VALUE, the value in YAML.

    Parameters
    ----------
    level : str
        As ``service/redacteur``.
    assignments : str
        As ``queue_limit=64``.
    revision : int, optional
        Revision that the level must have.
    change_id : str, optional
        Names the change, so that it can be resent.
    node, key, as_json
        Where to ask, with which key, and how to print.
    """
    values = {}
    for assignment in assignments:
        name, _, text = assignment.partition("=")
        values[name] = yaml.safe_load(text)
    edit = EditBody(level, revision, values)
    _change(edit, change_id, node, key, as_json)


@settings.command(name="unset")
def unset_settings(
    level: str,
    *names: str,
    revision: int | None = None,
    change_id: str | None = None,
    node: Node,
    key: Key,
    as_json: AsJson = False,
) -> None:
    """Remove values from a level, so that it inherits them.

    Parameters
    ----------
    level : str
        As ``service/redacteur``.
    names : str
        The settings.
    revision, change_id
        As for ``set``.
    node, key, as_json
        Where to ask, with which key, and how to print.
    """
    edit = EditBody(level, revision, unset=names)
    _change(edit, change_id, node, key, as_json)


def _change(
    edit: EditBody, change_id: str | None, node: str, key: str, as_json: bool
) -> None:
    body = ChangeBody(change_id or uuid4().hex, (edit,))
    connection = Connection.from_address(node, key)
    result = connection.post("/operator/settings", body, ChangeResult)
    _print([result], as_json)


@app.command
def status(*, node: Node, key: Key, as_json: AsJson = False) -> None:
    """Show one process.

    Parameters
    ----------
    node, key, as_json
        Where to ask, with which key, and how to print.
    """
    connection = Connection.from_address(node, key)
    _print([connection.get("/operator/status", StatusView)], as_json)


@upstream.command(name="list")
def list_upstreams(*, node: Node, key: Key, as_json: AsJson = False) -> None:
    """List upstreams as one node knows them.

    Parameters
    ----------
    node, key, as_json
        Where to ask, with which key, and how to print.
    """
    connection = Connection.from_address(node, key)
    _print(connection.get("/operator/upstreams", list[UpstreamView]), as_json)


def _print(rows: list, as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(rows).decode())
        return
    plain = msgspec.to_builtins(rows)
    if not plain:
        print("none")
        return
    table = Table(*plain[0])
    for row in plain:
        table.add_row(*(str(value) for value in row.values()))
    Console().print(table)


def main() -> None:
    """Run the command line; exit with the code of the error's kind."""
    try:
        app()
    except CranberryfieldError as error:
        print(f"cranberryfield: {error.detail}", file=sys.stderr)
        sys.exit(error.answer.exit_code)
