"""Reports of scenario results: JSON with the commit, a table, and plots."""

import subprocess
from pathlib import Path

import matplotlib as mpl
import msgspec
import numpy as np
from rich.console import Console
from rich.table import Table

from bench.load.results import LoadResult

mpl.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

__all__ = ["commit_id", "plot_results", "print_results", "write_results"]

OUTPUT_FOLDER = Path("out")
FIGURE_SIZE_INCHES = (9, 4)


def commit_id() -> str:
    """Return the Git commit of this tree, or ``unknown`` outside a repository."""
    completed = subprocess.run(
        ["git", "rev-parse", "HEAD"],
        cwd=Path(__file__).parent,
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout.strip() or "unknown"


def write_results(results: list[LoadResult], folder: Path = OUTPUT_FOLDER) -> Path:
    """Write results as JSON and return the path of the file."""
    folder.mkdir(exist_ok=True)
    path = folder / "fleets.json"
    document = {"commit": commit_id(), "results": results}
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document)))
    return path


def print_results(results: list[LoadResult]) -> None:
    """Print a table with one row per result."""
    table = Table(
        "scenario", "path", "whole", "first p50/p95 ms", "gap p50/p95 ms",
        "good/s", "halves good/s", "tokens/s", "recomputed", "cost", "per Mtoken",
        "refusals", "refusal p95 ms",
    )  # fmt: skip
    for result in results:
        first, gap = result.first_token, result.token_gap
        table.add_row(
            result.scenario,
            result.path,
            f"{result.whole}/{result.requests}",
            f"{first.p50_ms:.0f}/{first.p95_ms:.0f}",
            f"{gap.p50_ms:.1f}/{gap.p95_ms:.1f}",
            f"{result.goodput_per_s:.1f}",
            "/".join(f"{half:.1f}" for half in result.half_goodputs_per_s),
            f"{result.tokens_per_s:.0f}",
            _format_counts(result.recomputed),
            f"{result.cost:.4f}",
            f"{result.cost_per_million_tokens:.2f}",
            _format_counts(result.refusals),
            f"{result.refusal.p95_ms:.0f}",
        )
    Console(width=180).print(table)


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))


def plot_results(results: list[LoadResult], folder: Path = OUTPUT_FOLDER) -> list[Path]:
    """Plot latency and goodput of all results; return the paths of the PNG files."""
    folder.mkdir(exist_ok=True)
    labels = [f"{result.scenario}\n{result.path}" for result in results]
    panels = [
        ("fleets-first-token", "first token, ms",
         [("p50", [result.first_token.p50_ms for result in results]),
          ("p95", [result.first_token.p95_ms for result in results])]),
        ("fleets-token-gap", "token gap, ms",
         [("p50", [result.token_gap.p50_ms for result in results]),
          ("p95", [result.token_gap.p95_ms for result in results])]),
        ("fleets-goodput", "good answers a second",
         [("first half", [result.half_goodputs_per_s[0] for result in results]),
          ("second half", [result.half_goodputs_per_s[1] for result in results])]),
    ]  # fmt: skip
    return [
        _plot(folder / f"{name}.png", labels, unit, series)
        for name, unit, series in panels
    ]


def _plot(
    path: Path, labels: list[str], unit: str, series: list[tuple[str, list[float]]]
) -> Path:
    figure, axes = plt.subplots(figsize=FIGURE_SIZE_INCHES)
    positions = np.arange(len(labels))
    width = 0.8 / len(series)
    for number, (name, values) in enumerate(series):
        axes.bar(positions + number * width, values, width, label=name)
    axes.set_xticks(positions + width / 2, labels, rotation=45, ha="right", fontsize=6)
    axes.set_ylabel(unit)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    plt.close(figure)
    return path
