"""Runs load scenarios: ``python -m bench.load [NAME ...]``."""

import sys

from cyclopts import App

from bench.load.report import plot_results, print_results, write_results
from bench.load.run import run_scenario
from bench.load.scenario import SCENARIOS, Scenario

app = App(name="bench.load")


@app.default
def main(*names: str) -> None:
    """Run scenarios, print a table and write JSON and plots to ``out/``.

    Parameters
    ----------
    names : str
        Names of scenarios; all full-size scenarios by default.
    """
    chosen = names or sorted(path.stem for path in SCENARIOS.glob("*-full.yaml"))
    results = []
    for name in chosen:
        print(f"running {name}", file=sys.stderr)
        results += run_scenario(Scenario.from_file(SCENARIOS / f"{name}.yaml"))
    write_results(results)
    plot_results(results)
    print_results(results)


if __name__ == "__main__":
    app()
