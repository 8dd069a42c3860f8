"""The ``cranberryfield top`` command."""

import sys
from contextlib import nullcontext
from typing import Annotated

import anyio
from cyclopts import App, Parameter, validators
from rich.console import Group
from rich.live import Live
from rich.text import Text

from cranberryfield.client.group import ask_nodes, find_nodes
from cranberryfield.client.histograms import Readings, TopRow, join_histograms
from cranberryfield.client.options import Target
from cranberryfield.client.output import build_table, print_rows
from cranberryfield.core.metrics.views import MetricsView
from cranberryfield.core.operators.views import NodeAddress

__all__ = ["app"]

METRICS_PATH = "/metrics.json"

app = App(
    name="top",
    help="Show latency histograms of all nodes, per workspace and class.",
    help_epilogue="""Examples:

    cranberryfield top
    cranberryfield top --interval 5 --count 1 --json
    cranberryfield top --total
""",
)


@app.default
async def show_top(
    *,
    interval: Annotated[
        float,
        Parameter(
            help="Length of each window in seconds",
            validator=validators.Number(gte=0.1),
        ),
    ] = 2.0,
    count: Annotated[
        int | None, Parameter(help="Number of windows to show; unlimited by default")
    ] = None,
    total: Annotated[
        bool,
        Parameter(negative=(), help="Show totals since the start of each node, once"),
    ] = False,
    workspace: str | None = None,
    target: Target,
) -> None:
    """Show latency histograms of all nodes, per workspace and class.

    Parameters
    ----------
    workspace : str, optional
        Show only this workspace.
    """
    later, silent = await _read_all(target)
    if total:
        rows = _of_workspace(join_histograms(later, None, None), workspace)
        print_rows(rows, target.as_json)
        return
    live = sys.stdout.isatty() and not target.as_json
    with Live(auto_refresh=False) if live else nullcontext() as screen:
        shown = 0
        while count is None or shown < count:
            await anyio.sleep(interval)
            earlier = later
            later, silent = await _read_all(target)
            rows = _of_workspace(join_histograms(later, earlier, interval), workspace)
            if screen is not None:
                screen.update(_picture(rows, len(later), silent), refresh=True)
            else:
                print_rows(rows, target.as_json)
            shown += 1


async def _read_all(target: Target) -> tuple[Readings, list[str]]:
    found = await find_nodes(target)
    nodes = [
        NodeAddress(reply.node, reply.address)
        for reply in found
        if reply.value is not None
    ]
    replies = await ask_nodes(target, nodes, METRICS_PATH, MetricsView)
    readings = {reply.node: reply.value for reply in replies if reply.value is not None}
    return readings, sorted({reply.node for reply in found} - readings.keys())


def _of_workspace(rows: list[TopRow], workspace: str | None) -> list[TopRow]:
    return [row for row in rows if workspace in (None, row.workspace)]


def _picture(rows: list[TopRow], nodes: int, silent: list[str]) -> Group:
    heading = f"{nodes} nodes answer"
    if silent:
        heading += f"; no answer from {', '.join(silent)}"
    body = build_table(rows) if rows else Text("no requests in this window")
    return Group(Text(heading), body)
