"""Retry policy after the end of an attempt; no I/O."""

from dataclasses import dataclass
from enum import Enum

from cranberryfield.core.errors import ErrorKind, WasRun

__all__ = [
    "AttemptEnd",
    "AttemptResult",
    "Finish",
    "GiveUp",
    "NextStep",
    "Retry",
    "decide_next_step",
]

MAX_ATTEMPTS = 8


class AttemptResult(Enum):
    """Result of an attempt.

    ``NOT_RUN`` is proved: the connection was refused, no byte of the request
    was written, or the upstream refused before it started. ``MOVED`` continues
    on another upstream or over another connection.
    """

    FINISHED = "finished"
    NOT_RUN = "not run"
    BROKEN = "broken"
    MOVED = "moved"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """End of one attempt; `detail` is used in logs and error answers."""

    result: AttemptResult
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Finish:
    """The answer is complete."""


@dataclass(frozen=True, slots=True)
class Retry:
    """Make another attempt, on another upstream if there is one."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Fail the request with an error of the given kind."""

    kind: ErrorKind
    was_run: WasRun
    detail: str


NextStep = Finish | Retry | GiveUp


def decide_next_step(
    end: AttemptEnd,
    *,
    idempotent: bool,
    attempts: int,
    ran_before: bool,
    deadline_passed: bool,
) -> NextStep:
    """Decide the next step after an attempt.

    Parameters
    ----------
    end : AttemptEnd
        End of the attempt.
    idempotent : bool
        Whether the request may run more than once.
    attempts : int
        Number of attempts so far, including this one.
    ran_before : bool
        Whether any attempt may have run.
    deadline_passed : bool
        Whether the request's deadline has passed.

    Returns
    -------
    NextStep
        Next step.

    Examples
    --------
    >>> end = AttemptEnd(AttemptResult.BROKEN, "reset")
    >>> decide_next_step(
    ...     end, idempotent=False, attempts=1, ran_before=True, deadline_passed=False
    ... ).kind.value
    'outcome_unknown'
    """
    if end.result is AttemptResult.FINISHED:
        return Finish()
    if end.result is AttemptResult.BROKEN and not idempotent:
        return GiveUp(ErrorKind.OUTCOME_UNKNOWN, WasRun.UNKNOWN, end.detail)
    was_run = WasRun.UNKNOWN if ran_before else WasRun.NO
    if deadline_passed:
        return GiveUp(ErrorKind.DEADLINE_EXCEEDED, was_run, end.detail)
    if attempts >= MAX_ATTEMPTS:
        return GiveUp(ErrorKind.UPSTREAM_FAILED, was_run, end.detail)
    return Retry()
