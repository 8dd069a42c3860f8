"""Background tasks that outlive the errors of single records and messages."""

from collections.abc import Awaitable, Callable

import anyio
import structlog
from anyio.abc import TaskGroup

from cranberryfield.core.errors import StorageError, find_cranberryfield_error
from cranberryfield.core.metrics import Metrics

__all__ = ["TASK_FAILURES", "run_supervised", "start_supervised"]

#: Counter of the failures of background tasks.
TASK_FAILURES = "background_task_failures"
RESTART_MIN_S = 0.1
RESTART_MAX_S = 5.0
#: Time without a failure after which the next restart is quick again, in seconds.
STEADY_S = 30.0

logger = structlog.get_logger(__name__)


async def run_supervised(
    name: str, run: Callable[[], Awaitable[None]], metrics: Metrics | None = None
) -> None:
    """Run a background task, and start it again after a failure.

    A failure is a fault of this program; it is logged and counted. An error of the
    data folder is passed on, as the process cannot keep its promises without it.

    Parameters
    ----------
    name : str
        Name of the task, for the log.
    run : callable
        The task. Its state must allow another run after a failure.
    metrics : Metrics, optional
        Counts the failures.

    Raises
    ------
    StorageError
        If the task raises it.
    """
    delay_s = RESTART_MIN_S
    while True:
        started_at = anyio.current_time()
        try:
            await run()
            return
        except Exception as error:
            if isinstance(find_cranberryfield_error(error), StorageError):
                raise
            if anyio.current_time() - started_at > STEADY_S:
                delay_s = RESTART_MIN_S
            logger.exception("background task failed", task=name, restart_in_s=delay_s)
            if metrics is not None:
                metrics.count(TASK_FAILURES)
        await anyio.sleep(delay_s)
        delay_s = min(2 * delay_s, RESTART_MAX_S)


def start_supervised(
    tasks: TaskGroup,
    named: dict[str, Callable[[], Awaitable[None]]],
    metrics: Metrics | None = None,
) -> None:
    """Start background tasks, by their names, with `run_supervised`."""
    for name, run in named.items():
        tasks.start_soon(run_supervised, name, run, metrics, name=name)
