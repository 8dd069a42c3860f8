"""Bounded counts of attempts, failures and durations, by route and version."""

from dataclasses import dataclass, field
from enum import Enum
from math import floor, log2

from cranberryfield.core.ids import DataCentre
from cranberryfield.core.messages.rollouts import VersionCounts

__all__ = [
    "DURATION_BUCKETS",
    "MAX_ROWS",
    "Judgement",
    "OutcomeTable",
    "count_answer",
    "count_end",
    "duration_bucket",
    "make_version_counts",
]

MS_PER_S = 1000
BUCKETS_PER_OCTAVE = 2
#: Number of buckets of durations; the last one begins at 46 s.
DURATION_BUCKETS = 32
#: Rows kept for a rollout. Attempts on further routes or data centres share two rows.
#: With 256 rows the report of 8 rollouts has 172 kB and takes 22 ms to encode, which is
#: longer than one step may hold the event loop.
MAX_ROWS = 64

_RowKey = tuple[str, DataCentre, bool]


class Judgement(Enum):
    """What the end of an attempt says about the upstream's version."""

    SUCCESS = "success"
    FAILURE = "failure"
    #: Sent, but the caller left or the upstream refused to run it.
    UNJUDGED = "unjudged"
    NOT_SENT = "not sent"


@dataclass(slots=True)
class _Row:
    attempts: int = 0
    failures: int = 0
    durations: list[int] = field(default_factory=lambda: [0] * DURATION_BUCKETS)


@dataclass(slots=True)
class OutcomeTable:
    """Outcomes of attempts since a rollout is known.

    Attributes
    ----------
    rows : dict
        Counts by route, data centre, and whether the version is the target.
    """

    rows: dict[_RowKey, _Row] = field(default_factory=dict)

    def row_of(self, route: str, data_centre: DataCentre, is_target: bool) -> _Row:
        """Return the row of an upstream; a shared one if there are too many."""
        key = (route, data_centre, is_target)
        if key not in self.rows and len(self.rows) >= MAX_ROWS:
            key = ("", DataCentre(""), is_target)
        return self.rows.setdefault(key, _Row())


def duration_bucket(seconds: float) -> int:
    """Return the bucket of a duration; bucket `i` begins at 2**(i/2) ms.

    Examples
    --------
    >>> [duration_bucket(one) for one in (0.0, 0.001, 0.00142, 0.002, 1.024, 1e6)]
    [0, 0, 1, 2, 20, 31]
    """
    ms = max(1.0, seconds * MS_PER_S)
    return min(DURATION_BUCKETS - 1, floor(BUCKETS_PER_OCTAVE * log2(ms)))


def count_answer(row: _Row, seconds: float) -> None:
    """Count an attempt whose first event has arrived after `seconds`."""
    row.attempts += 1
    row.durations[duration_bucket(seconds)] += 1


def count_end(
    row: _Row, judgement: Judgement, seconds: float, has_answered: bool
) -> None:
    """Count the end of an attempt.

    Parameters
    ----------
    row : _Row
        Changed in place.
    judgement : Judgement
        How it ended.
    seconds : float
        Time since it was sent.
    has_answered : bool
        Whether its first event was counted before. If it breaks off after that, it is
        among the failures and among the durations.
    """
    if judgement is Judgement.NOT_SENT:
        return
    if not has_answered:
        row.attempts += 1
        if judgement is Judgement.SUCCESS:
            row.durations[duration_bucket(seconds)] += 1
    if judgement is Judgement.FAILURE:
        row.failures += 1


def make_version_counts(table: OutcomeTable) -> tuple[VersionCounts, ...]:
    """Return the rows for a report, without the empty buckets at the end."""
    return tuple(
        VersionCounts(*key, row.attempts, row.failures, _trimmed(row.durations))
        for key, row in table.rows.items()
    )


def _trimmed(durations: list[int]) -> tuple[int, ...]:
    used = max((index + 1 for index, n in enumerate(durations) if n), default=0)
    return tuple(durations[:used])
