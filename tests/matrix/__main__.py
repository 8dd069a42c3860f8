"""Run the fault matrix: ``python -m tests.matrix [PART_OF_ID ...]``."""

import logging
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated

import structlog
from cyclopts import App, Parameter

from standins.group import Group
from tests.known_red import find_entry, read_known_red
from tests.matrix.cells import CellResult, Scenario
from tests.matrix.context import matrix_group
from tests.matrix.table import all_scenarios

WORKERS = 3
PASS, FAIL = "pass", "FAIL"

app = App(name="tests.matrix")


def _run_scenario(scenario: Scenario, group: Group, index: int) -> list[CellResult]:
    try:
        return scenario.run(group, index)
    except Exception as error:
        failures = [f"{type(error).__name__}: {error}"]
        return [CellResult(cell, failures) for cell in scenario.cells]


def _run_worker_scenarios(scenarios: list[Scenario]) -> None:
    """Run one worker's scenarios, with a new group after each that broke its group."""
    pending = list(enumerate(scenarios))
    while pending:
        try:
            with matrix_group() as group:
                _run_until_broken(group, pending)
        except TimeoutError as error:
            _, scenario = pending.pop(0)
            for cell in scenario.cells:
                _print_result(CellResult(cell, [f"no group: {error}"]), 0.0)


def _run_until_broken(group: Group, pending: list[tuple[int, Scenario]]) -> None:
    while pending:
        index, scenario = pending.pop(0)
        started_s = time.monotonic()
        results = _run_scenario(scenario, group, index)
        for result in results:
            _print_result(result, time.monotonic() - started_s)
        is_broken = any("Error" in what for one in results for what in one.failures)
        if scenario.discards_group or is_broken:
            return


def _print_result(result: CellResult, duration_s: float) -> None:
    verdict = FAIL if result.failures else PASS
    why = f": {' | '.join(result.failures)[:600]}" if result.failures else ""
    print(f"{verdict} {result.cell} {duration_s:.1f} s{why}", flush=True)


def _run_worker_process(number: int, only: tuple[str, ...]) -> list[str]:
    """Run one worker process; print its output lines as they arrive and return them."""
    command = [sys.executable, "-m", "tests.matrix", "--share", str(number), *only]
    lines = []
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as child:
        for line in child.stdout:
            lines.append(line.rstrip())
            print(lines[-1], flush=True)
    return lines


@app.default
def main(
    *only: str,
    share: Annotated[int, Parameter(show=False)] = -1,
) -> int:
    """Run all cells, or those selected, and print one line for each.

    Parameters
    ----------
    only : str
        Substrings of cell ids; a scenario is run if any of its cells matches one.
    share : int
        Number of this worker process; negative in the parent process.
    """
    wanted = only or ("",)
    scenarios = [
        one
        for one in all_scenarios()
        if any(part in cell for cell in one.cells for part in wanted)
    ]
    if share >= 0:
        # ControlClient logs in this process; only its errors are of interest here.
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
        )
        _run_worker_scenarios(scenarios[share::WORKERS])
        return 0
    with ThreadPoolExecutor(WORKERS) as pool:
        outputs = pool.map(
            lambda number: _run_worker_process(number, only), range(WORKERS)
        )
        lines = [line for output in outputs for line in output]
    return _report_totals(scenarios, lines)


def _report_totals(scenarios: list[Scenario], lines: list[str]) -> int:
    verdicts = {}
    for line in lines:
        if line.startswith((f"{PASS} ", f"{FAIL} ")):
            verdict, cell, *_ = line.split(" ")
            verdicts[cell] = verdict
    entries = read_known_red()
    failed = 0
    for cell in (cell for scenario in scenarios for cell in scenario.cells):
        entry = find_entry(entries, cell)
        verdict = verdicts.get(cell)
        if verdict is None:
            print(f"{FAIL} {cell}: did not run")
        if verdict == PASS and entry is not None:
            print(f"passes, to be removed from KNOWN-RED.txt: {cell}")
        elif verdict != PASS and entry is not None:
            print(f"known red: {cell}: {entry.seen} ({entry.issue})")
        elif verdict != PASS:
            failed += 1
    passed = sum(verdict == PASS for verdict in verdicts.values())
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app())
