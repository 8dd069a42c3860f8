"""Output of values as tables or JSON."""

import sys
from collections.abc import Sequence

import msgspec
from rich.console import Console
from rich.table import Table
from rich.text import Text

__all__ = ["build_table", "print_progress", "print_rows", "print_value"]

PIPE_WIDTH = 200


def print_rows(rows: Sequence[msgspec.Struct], as_json: bool) -> None:
    """Print a list of rows.

    Parameters
    ----------
    rows : sequence of msgspec.Struct
        Rows, all of the same type.
    as_json : bool
        Whether to print JSON instead of a table.
    """
    if as_json:
        print(msgspec.json.encode(rows).decode())
        return
    if not rows:
        print("none")
        return
    _make_console().print(build_table(rows))


def print_value(value: msgspec.Struct, as_json: bool) -> None:
    """Print one value as a table with one row per field, or as JSON."""
    if as_json:
        print(msgspec.json.encode(value).decode())
        return
    table = Table(show_header=False)
    for name, field in msgspec.to_builtins(value).items():
        table.add_row(name.replace("_", " "), Text(_format_cell(field)))
    _make_console().print(table)


def build_table(rows: Sequence[msgspec.Struct], title: str | None = None) -> Table:
    """Build a table with one column per field of the row type.

    Parameters
    ----------
    rows : sequence of msgspec.Struct
        At least one row.
    title : str, optional
        Shown above the table.

    Returns
    -------
    rich.table.Table
        The table.
    """
    records = [msgspec.to_builtins(row) for row in rows]
    table = Table(*(name.replace("_", " ") for name in records[0]), title=title)
    for row in records:
        table.add_row(*(Text(_format_cell(value)) for value in row.values()))
    return table


def print_progress(text: str) -> None:
    """Print a progress message to standard error."""
    print(text, file=sys.stderr, flush=True)


def _make_console() -> Console:
    # Output to a file or a pipe is not wrapped at 80 columns.
    return Console(width=None if sys.stdout.isatty() else PIPE_WIDTH)


def _format_cell(value) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{name}={_format_cell(item)}" for name, item in value.items())
    if isinstance(value, (list, tuple)):
        return ", ".join(_format_cell(item) for item in value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    return "-" if value is None else str(value)
