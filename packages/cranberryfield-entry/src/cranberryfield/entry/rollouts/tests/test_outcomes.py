"""Counts of outcomes by route, data centre and version."""

from cranberryfield.core.messages.rollouts import VersionCounts
from cranberryfield.entry.rollouts.outcomes import (
    MAX_ROWS,
    Judgement,
    OutcomeTable,
    count_answer,
    count_end,
    make_version_counts,
)


def test_outcomes_are_counted_once():
    table = OutcomeTable()
    row = table.row_of("chat", "east", True)
    count_answer(row, 0.001)
    count_end(row, Judgement.SUCCESS, 4.0, has_answered=True)
    count_answer(row, 0.002)
    count_end(row, Judgement.FAILURE, 4.0, has_answered=True)
    count_end(row, Judgement.SUCCESS, 0.004, has_answered=False)
    count_end(row, Judgement.FAILURE, 4.0, has_answered=False)
    count_end(row, Judgement.UNJUDGED, 4.0, has_answered=False)
    count_end(row, Judgement.NOT_SENT, 4.0, has_answered=False)
    assert make_version_counts(table) == (
        VersionCounts("chat", "east", True, 5, 2, (1, 0, 1, 0, 1)),
    )


# Guards against reports that grow with the number of routes.
def test_number_of_rows_is_bounded():
    table = OutcomeTable()
    for number in range(2 * MAX_ROWS):
        count_end(
            table.row_of(f"r{number}", "east", number % 2 == 0),
            Judgement.FAILURE,
            0.1,
            has_answered=False,
        )
    rows = make_version_counts(table)
    assert len(rows) == MAX_ROWS + 2
    assert sum(one.failures for one in rows) == 2 * MAX_ROWS
