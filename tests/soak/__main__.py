"""Soak test runner: ``python -m tests.soak --seeds 50 --seconds 20``."""

import shutil
import sys
import tempfile
from pathlib import Path

from cyclopts import App

from tests.soak.run import RUNNERS, run_seed

app = App(name="soak")


@app.default
def main(
    *, first: int = 1, seeds: int = 1, seconds: float = 20.0, runners: int = RUNNERS
) -> None:
    """Run seeds in sequence; the files of failed runs are kept.

    Parameters
    ----------
    first : int
        First seed.
    seeds : int
        Number of seeds.
    seconds : float
        Time for which faults are injected per seed.
    runners : int
        Number of runners per seed that crash and start again.
    """
    failed = 0
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            outcome = run_seed(folder, seed, seconds, runners)
        except TimeoutError as error:
            failed += 1
            print(f"seed {seed}: FAILED {error}; files in {folder}")
            continue
        print(
            f"seed {seed}: {len(outcome.faults)} faults, "
            f"{outcome.served} of {outcome.sent_count} served, "
            f"{len(outcome.broken)} promises broken",
            flush=True,
        )
        for line in outcome.broken[:10]:
            print(f"    {line}; files in {folder}")
        if outcome.broken:
            failed += 1
        else:
            shutil.rmtree(folder)
    print(f"{seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app()
