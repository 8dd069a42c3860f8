"""Runs benchmarks: ``python -m bench [TOPIC ...]``."""

import sys
from importlib import import_module
from pathlib import Path
from pkgutil import iter_modules

import msgspec
from cyclopts import App
from rich.console import Console
from rich.table import Table

from bench.figures import Figure

PREFIX = "measure_"
RESULTS = Path("out") / "bench.json"

app = App(name="bench")


def known_topics() -> list[str]:
    """Return the topics that have a module, in alphabetical order."""
    folder = str(Path(__file__).parent)
    names = [module.name for module in iter_modules([folder])]
    return sorted(
        name.removeprefix(PREFIX) for name in names if name.startswith(PREFIX)
    )


def print_figures(figures: list[Figure]) -> None:
    """Print a table of figures."""
    table = Table("figure", "value", "unit", "target", "met", "note")
    for figure in figures:
        met = {True: "yes", False: "NO", None: ""}[figure.meets_target]
        target = "" if figure.target is None else f"{figure.target:g}"
        value = f"{figure.value:.4g}"
        table.add_row(figure.name, value, figure.unit, target, met, figure.note)
    Console(width=140).print(table)


@app.default
def main(*topics: str) -> None:
    """Run the benchmarks of the given topics and write the figures as JSON.

    Parameters
    ----------
    topics : str
        Names of topics; all topics if none is given.
    """
    figures: list[Figure] = []
    for topic in topics or known_topics():
        print(f"measuring {topic}", file=sys.stderr)
        figures += import_module(f"bench.{PREFIX}{topic}").measure()
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(figures)))
    print_figures(figures)


if __name__ == "__main__":
    app()
