"""The ``cranberryfield top`` command."""

import sys
from contextlib import nullcontext
from typing import Annotated

import anyio
from cyclopts import App, Parameter, validators
from rich.console import Group
from rich.live import Live
from rich.text import Text

from cranberryfield.client.histograms import (
    HistogramRow,
    MetricsByNode,
    merge_histograms,
)
from cranberryfield.client.nodes import discover_nodes, query_nodes
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
    end_metrics, unresponsive = await _read_metrics(target)
    if total:
        rows = _filter_by_workspace(
            merge_histograms(end_metrics, None, None), workspace
        )
        print_rows(rows, target.as_json)
        return
    is_interactive = sys.stdout.isatty() and not target.as_json
    with Live(auto_refresh=False) if is_interactive else nullcontext() as display:
        windows_shown = 0
        while count is None or windows_shown < count:
            await anyio.sleep(interval)
            start_metrics = end_metrics
            end_metrics, unresponsive = await _read_metrics(target)
            rows = _filter_by_workspace(
                merge_histograms(end_metrics, start_metrics, interval), workspace
            )
            if display is not None:
                display.update(
                    _render(rows, len(end_metrics), unresponsive), refresh=True
                )
            else:
                print_rows(rows, target.as_json)
            windows_shown += 1


async def _read_metrics(target: Target) -> tuple[MetricsByNode, list[str]]:
    statuses = await discover_nodes(target)
    nodes = [
        NodeAddress(reply.node, reply.address)
        for reply in statuses
        if reply.value is not None
    ]
    replies = await query_nodes(target, nodes, METRICS_PATH, MetricsView)
    metrics = {reply.node: reply.value for reply in replies if reply.value is not None}
    return metrics, sorted({reply.node for reply in statuses} - metrics.keys())


def _filter_by_workspace(
    rows: list[HistogramRow], workspace: str | None
) -> list[HistogramRow]:
    return [row for row in rows if workspace in (None, row.workspace)]


def _render(rows: list[HistogramRow], nodes: int, unresponsive: list[str]) -> Group:
    heading = f"{nodes} nodes answer"
    if unresponsive:
        heading += f"; no answer from {', '.join(unresponsive)}"
    body = build_table(rows) if rows else Text("no requests in this window")
    return Group(Text(heading), body)
