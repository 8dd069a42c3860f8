"""Background tasks that fail, in virtual time."""

import anyio
import pytest

from cranberryfield.core import supervision
from cranberryfield.core.errors import ErrorKind, StorageError
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.supervision import run_supervised, start_supervised


@pytest.fixture(autouse=True)
def _no_delay(monkeypatch):
    monkeypatch.setattr(supervision, "RESTART_MIN_S", 0.0)


async def fail_in_group():
    async with anyio.create_task_group():
        raise OverflowError


# Guards against LOST: an error in one record ended the process with all its requests.
@pytest.mark.parametrize("error", [KeyError("address"), OverflowError(), OSError()])
def test_a_failed_task_is_run_again(error):
    runs = []
    metrics = Metrics()

    async def run():
        runs.append(1)
        if len(runs) < 4:
            raise error

    anyio.run(run_supervised, "task", run, metrics)
    assert len(runs) == 4
    (row,) = metrics.snapshot().counters
    assert (row.name, row.value) == (supervision.TASK_FAILURES, 3)


def test_tasks_do_not_end_each_other():
    steady = []

    async def count():
        while len(steady) < 20:
            steady.append(1)
            await anyio.sleep(0)

    async def main():
        async with anyio.create_task_group() as tasks:
            start_supervised(tasks, {"failing": fail_in_group, "steady": count})
            while len(steady) < 20:
                await anyio.sleep(0)
            tasks.cancel_scope.cancel()

    anyio.run(main)


# Guards against a process that goes on without the folder that its promises are in.
def test_errors_of_the_data_folder_are_passed_on():
    async def run():
        async with anyio.create_task_group():
            raise StorageError(ErrorKind.CORRUPT_DATA, "segment 3")

    with pytest.raises(ExceptionGroup):
        anyio.run(run_supervised, "task", run)
