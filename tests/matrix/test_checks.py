import pytest

from standins.journal import JournalEntry
from tests.matrix import checks
from tests.matrix.transcripts import (
    AcceptedChange,
    Attempt,
    AttemptEnd,
    Observation,
    PlannedStop,
    Transcript,
)

S = 1_000_000_000
WHOLE = Attempt("h", 1 * S, 9 * S, AttemptEnd.WHOLE, 200)
LOST = Attempt("h", 1 * S, 2 * S, AttemptEnd.CUT, error="ReadError")
UNKNOWN = Attempt(
    "h", 3 * S, 4 * S, AttemptEnd.REFUSED, 409, "outcome_unknown", "unknown"
)
NOT_RUN = Attempt("h", 3 * S, 4 * S, AttemptEnd.REFUSED, 503, "no_quorum", "no")
RESENT = Attempt("h", 5 * S, 6 * S, AttemptEnd.WHOLE, 200)


def caller(*attempts, text="a b", idempotent=False, violations=()):
    is_whole = attempts[-1].end is AttemptEnd.WHOLE
    return [
        Transcript(
            "k", idempotent, "a b", list(attempts), text, is_whole=is_whole,
            violations=list(violations),
        )
    ]  # fmt: skip


def run(event, at_s, upstream="u", detail="", key="k"):
    return JournalEntry(event, upstream, 1, "r", int(at_s * S), request=f"{key} x",
                 detail=detail)  # fmt: skip


def orders(*rows):
    return [
        run("order", at, upstream, f"id {number} load m")
        for at, upstream, number in rows
    ]


EXCUSED = {"may_be_unknown": True}
REFUSAL = {"refusal": "outcome_unknown"}
STOPPED = [PlannedStop("h", 2 * S, 10 * S, 0)]
ONE_CHANGE = [AcceptedChange(1, 1 * S)]


def seen(*rows):
    return [Observation(host, int(at * S), number) for host, at, number in rows]


CASES = [
    ("I1 whole", "whole", (caller(WHOLE),), {}, 0),
    ("I1 lost", "whole", (caller(LOST, text="a"),), {}, 1),
    ("I1 other answer", "whole", (caller(WHOLE, text="c"),), {}, 1),
    ("I1 fragment called whole", "whole", (caller(WHOLE, text="a"),), {}, 1),
    ("I1 unknown unexcused", "whole", (caller(UNKNOWN),), {}, 1),
    ("I1 unknown excused", "whole", (caller(UNKNOWN),), EXCUSED, 0),
    ("I1 idempotent unknown", "whole", (caller(UNKNOWN, idempotent=True),), EXCUSED,
     1),
    ("I1 refused for good", "whole", (caller(UNKNOWN),), REFUSAL, 0),
    ("I1 refusal due", "whole", (caller(WHOLE),), REFUSAL, 1),
    ("I2 prefix", "prefix", (caller(LOST, text="a"),), {}, 0),
    ("I2 foreign bytes", "prefix", (caller(LOST, text="b"),), {}, 1),
    ("I2 event twice", "prefix", (caller(WHOLE, violations=["event 2 after 2"]),), {},
     1),
    ("I3 true", "not_run", (caller(NOT_RUN), [run("started", 3, key="other")]), {}, 0),
    ("I3 ran before", "not_run", (caller(NOT_RUN), [run("started", 2)]), {}, 1),
    ("I3 ran after", "not_run", (caller(NOT_RUN), [run("resumed", 7)]), {}, 1),
    ("I3 ran by resend", "not_run", (caller(NOT_RUN, RESENT), [run("started", 5.5)]),
     {}, 0),
    ("I3 ran before resend", "not_run",
     (caller(NOT_RUN, RESENT), [run("started", 4.5)]), {}, 1),
    ("I4 once", "once", (caller(WHOLE), [run("started", 2)]), {}, 0),
    ("I4 twice", "once",
     (caller(WHOLE), [run("started", 2), run("started", 3, "v")]), {}, 1),
    ("I4 resumed", "once",
     (caller(WHOLE), [run("started", 2), run("resumed", 3, "v")]), {}, 1),
    ("I4 idempotent", "once",
     (caller(WHOLE, idempotent=True), [run("started", 2), run("started", 3)]), {}, 0),
    ("traced", "traced", (caller(WHOLE), [run("started", 2)]), {}, 0),
    ("not traced", "traced", (caller(WHOLE), [run("started", 2, key="kk")]), {}, 1),
    ("I5 in time", "leaving", ([run("leaving", 1), run("refused", 3.9)],), {}, 0),
    ("I5 late", "leaving", ([run("leaving", 1), run("started", 4.1)],), {}, 1),
    ("I5 late and refused", "leaving", ([run("leaving", 1), run("refused", 4.1)],), {},
     1),
    ("I6 clean", "planned_stop", (caller(WHOLE), STOPPED), {}, 0),
    ("I6 cut", "planned_stop",
     (caller(Attempt("h", S, 3 * S, AttemptEnd.CUT)), STOPPED), {}, 1),
    ("I6 refused unread", "planned_stop",
     (caller(Attempt("h", S, 3 * S, AttemptEnd.REFUSED, 503, "not_ready", "no")),
      STOPPED), {}, 0),
    ("I6 moved", "planned_stop",
     (caller(Attempt("h", S, 3 * S, AttemptEnd.MOVED)), STOPPED), {}, 1),
    ("I6 exit code", "planned_stop",
     (caller(WHOLE), [PlannedStop("h", S, 10 * S, 1)]), {}, 1),
    ("I7 in time", "changes", (ONE_CHANGE, seen(("h", 4.9, 0), ("h", 6, 1)), 6 * S), {},
     0),
    ("I7 late", "changes", (ONE_CHANGE, seen(("h", 5.1, 0)), 6 * S), {}, 1),
    ("I7 lost", "changes", (ONE_CHANGE, seen(("h", 2, 1), ("h", 6, 0)), 6 * S), {}, 2),
    ("I7 reverted early", "changes",
     (ONE_CHANGE, seen(("h", 2, 1), ("h", 3, 0)), 6 * S), {}, 1),
    ("I7 early end", "changes", (ONE_CHANGE, seen(("h", 2, 1), ("g", 2, 1)), 2 * S), {},
     0),
    ("I7 end too early", "changes", (ONE_CHANGE, seen(("h", 2, 1), ("g", 2, 0)), 2 * S),
     {}, 1),
    ("I7 not watched", "changes", (ONE_CHANGE, [], 2 * S), {}, 1),
    ("told when", "refusals",
     (caller(Attempt("h", S, 2 * S, AttemptEnd.REFUSED, 503, retry_after="1")),),
     {}, 0),
    ("not told when", "refusals",
     (caller(Attempt("h", S, 2 * S, AttemptEnd.REFUSED, 503)),), {}, 1),
    ("I8 in turn", "orders", (orders((1, "u", 3), (2, "v", 4), (3, "u", 4)),), {}, 0),
    ("I8 deposed, same engine", "orders", (orders((1, "u", 4), (2, "u", 3)),), {}, 1),
    ("I8 deposed, other engine", "orders", (orders((1, "u", 4), (2, "v", 3)),), {}, 1),
]  # fmt: skip


@pytest.mark.parametrize(
    ("check", "arguments", "options", "expected_count"),
    [row[1:] for row in CASES],
    ids=[row[0] for row in CASES],
)
def test_check_finds_what_is_wrong(check, arguments, options, expected_count):
    found = getattr(checks, f"check_{check}")(*arguments, **options)
    assert len(found) == expected_count, found
