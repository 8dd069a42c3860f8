"""Checks of the invariants I1 to I8 on journals of upstreams and callers' transcripts.

Each check returns one message for each violation, and an empty list if there is none.
"""

from itertools import pairwise

from standins.journal import JournalEntry
from tests.matrix.transcripts import (
    AcceptedChange,
    Attempt,
    AttemptEnd,
    Observation,
    PlannedStop,
    Transcript,
)

__all__ = [
    "check_changes",
    "check_leaving",
    "check_not_run",
    "check_once",
    "check_orders",
    "check_planned_stop",
    "check_prefix",
    "check_refusals",
    "check_traced",
    "check_whole",
]

NS_PER_S = 1_000_000_000
LEAVE_LIMIT_S = 3.0
CHANGE_LIMIT_S = 4.0
RUN_EVENTS = frozenset({"started", "resumed"})
DISPATCH_EVENTS = RUN_EVENTS | {"refused"}
OUTCOME_UNKNOWN = "outcome_unknown"
#: HTTP statuses of refusals that a caller should retry.
RETRY_STATUSES = frozenset({429, 503})


def _entries_of_key(journal: list[JournalEntry], key: str) -> list[JournalEntry]:
    return [entry for entry in journal if entry.request.startswith(f"{key} ")]


def check_whole(
    transcripts: list[Transcript],
    *,
    may_be_unknown: bool = False,
    refusal: str | None = None,
) -> list[str]:
    """I1: each accepted request ends in one complete answer.

    Parameters
    ----------
    transcripts : list of Transcript
        Transcripts of callers that retried until their final answer.
    may_be_unknown : bool
        Whether a non-idempotent request may end as ``outcome_unknown``, as it may
        after a loss without notice.
    refusal : str, optional
        Kind of the final refusal that is required instead of an answer.

    Returns
    -------
    list of str
        Violations.
    """
    violations = []
    for one in transcripts:
        if refusal is not None:
            if one.last_kind != refusal:
                violations.append(
                    f"I1 {one.key}: no {refusal}: {_summarize_attempts(one)}"
                )
            continue
        excused = may_be_unknown and not one.idempotent
        if excused and one.last_kind == OUTCOME_UNKNOWN:
            continue
        if not one.is_whole:
            violations.append(
                f"I1 {one.key}: no whole answer: {_summarize_attempts(one)}"
            )
        elif one.text != one.expected:
            violations.append(
                f"I1 {one.key}: the answer differs from the expected text"
            )
    return violations


def check_prefix(transcripts: list[Transcript]) -> list[str]:
    """I2: text received for a key is a prefix of the only correct answer."""
    violations = []
    for one in transcripts:
        violations += [f"I2 {one.key}: {violation}" for violation in one.violations]
        if not one.expected.startswith(one.text):
            violations.append(
                f"I2 {one.key}: received text is not a prefix of its answer"
            )
    return violations


def check_not_run(
    transcripts: list[Transcript], journal: list[JournalEntry]
) -> list[str]:
    """I3: ``was_run: no`` implies that no upstream has run the request.

    Runs that start after the caller's next attempt belong to that attempt.
    """
    violations = []
    for one in transcripts:
        starts = [
            entry for entry in _entries_of_key(journal, one.key) if _is_run_start(entry)
        ]
        for number, attempt in enumerate(one.attempts):
            if attempt.was_run != "no":
                continue
            later = [again.sent_ns for again in one.attempts[number + 1 :]]
            resent_ns = min(later, default=None)
            violations += [
                f"I3 {one.key}: {attempt.kind} from {attempt.host} says not run, "
                f"but {entry.upstream} {entry.event} it"
                for entry in starts
                if resent_ns is None or entry.at_ns < resent_ns
            ]
    return violations


def _is_run_start(entry: JournalEntry) -> bool:
    return entry.event in RUN_EVENTS


def check_once(transcripts: list[Transcript], journal: list[JournalEntry]) -> list[str]:
    """I4: upstreams run a non-idempotent request at most once in total."""
    violations = []
    for one in transcripts:
        runs = [
            entry for entry in _entries_of_key(journal, one.key) if _is_run_start(entry)
        ]
        if not one.idempotent and len(runs) > 1:
            run_events = ", ".join(f"{run.upstream} {run.event}" for run in runs)
            violations.append(f"I4 {one.key}: run {len(runs)} times: {run_events}")
    return violations


def check_traced(
    transcripts: list[Transcript], journal: list[JournalEntry]
) -> list[str]:
    """Check that a journal has a run for each answer; without it I3 and I4 are void."""
    return [
        f"traced {one.key}: an answer without a run in any journal"
        for one in transcripts
        if one.is_whole
        and not any(_is_run_start(entry) for entry in _entries_of_key(journal, one.key))
    ]


def check_leaving(journal: list[JournalEntry]) -> list[str]:
    """I5: an upstream gets no new request later than 3 s after it began to leave."""
    leave_times_ns = {
        (entry.upstream, entry.incarnation): entry.at_ns
        for entry in journal
        if entry.event == "leaving"
    }
    violations = []
    for entry in journal:
        left_ns = leave_times_ns.get((entry.upstream, entry.incarnation))
        if left_ns is None or entry.event not in DISPATCH_EVENTS:
            continue
        delay_s = (entry.at_ns - left_ns) / NS_PER_S
        if delay_s > LEAVE_LIMIT_S:
            violations.append(
                f"I5 {entry.upstream}: {entry.event} a request {delay_s:.1f} s "
                f"after it began to leave"
            )
    return violations


def check_planned_stop(
    transcripts: list[Transcript], stops: list[PlannedStop]
) -> list[str]:
    """I6: a planned stop interrupts no answer, and the process exits with code 0."""
    violations = []
    for stop in stops:
        if stop.exit_code != 0:
            violations.append(f"I6 {stop.host}: exit code {stop.exit_code}")
        for one in transcripts:
            violations += [
                f"I6 {stop.host}: {one.key} was {attempt.end.value}: {attempt.error}"
                for attempt in one.attempts
                if _was_in_progress(attempt, stop)
                and attempt.end is not AttemptEnd.WHOLE
            ]
    return violations


def _was_in_progress(attempt: Attempt, stop: PlannedStop) -> bool:
    if attempt.kind == "not_ready":
        return False
    during = attempt.sent_ns < stop.asked_ns < attempt.ended_ns
    return attempt.host == stop.host and during


def check_changes(
    changes: list[AcceptedChange], observations: list[Observation], end_ns: int
) -> list[str]:
    """I7: accepted changes are in force on all hosts within 4 s and never revert.

    Parameters
    ----------
    changes : list of AcceptedChange
        Changes reported as accepted.
    observations : list of Observation
        Observations of ready hosts, in order of time.
    end_ns : int
        End of the observation: 4 s after the change, or when all hosts had it.

    Returns
    -------
    list of str
        Violations.
    """
    violations = []
    for change in changes:
        due_ns = change.accepted_ns + CHANGE_LIMIT_S * NS_PER_S
        if due_ns > end_ns and not _is_in_force(change, observations):
            violations.append(
                f"I7 change {change.number}: observed for less than 4 s, "
                "and not in force on all hosts"
            )
        violations += [
            f"I7 {one.host}: change in force is {one.number}, more than 4 s after "
            f"acceptance of change {change.number}"
            for one in observations
            if one.at_ns > due_ns and one.number < change.number
        ]
    for host in sorted({one.host for one in observations}):
        seen = [one.number for one in observations if one.host == host]
        violations += [
            f"I7 {host}: went from {before} back to {after}"
            for before, after in pairwise(seen)
            if after < before
        ]
    return violations


def _is_in_force(change: AcceptedChange, observations: list[Observation]) -> bool:
    last = {one.host: one.number for one in observations}
    return bool(last) and min(last.values()) >= change.number


def check_refusals(transcripts: list[Transcript]) -> list[str]:
    """Check that refusals that a caller should retry have a ``Retry-After`` header."""
    return [
        f"refusal {one.key}: {attempt.kind} from {attempt.host} without Retry-After"
        for one in transcripts
        for attempt in one.attempts
        if attempt.status in RETRY_STATUSES and not attempt.retry_after
    ]


def check_orders(journal: list[JournalEntry]) -> list[str]:
    """I8: no order with a lower fencing number is executed after one with a higher."""
    violations = []
    highest = 0
    ordered = sorted(journal, key=lambda entry: entry.at_ns)
    for entry in ordered:
        if entry.event != "order":
            continue
        order_id, fencing = entry.detail.split()[:2]
        if int(fencing) < highest:
            violations.append(
                f"I8 {entry.upstream}: order {order_id} with fencing number {fencing} "
                f"after one with {highest}"
            )
        highest = max(highest, int(fencing))
    return violations


def _summarize_attempts(one: Transcript) -> str:
    parts = []
    for attempt in one.attempts:
        what = attempt.kind or attempt.error or attempt.end.value
        part = f"{attempt.host} {what}"
        if not parts or parts[-1] != part:
            parts.append(part)
    return "; ".join(parts[-8:])
