"""Sequential test of a new software version against the old ones.

Outcomes of the new version are compared with those of the old versions on the same
route, in the same data centre and in the same time slice, so that a fault of both
shows in both.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import log

from cranberryfield.control.rollouts.counts import MAX_BUCKETS, Cell, Outcomes

__all__ = ["Evidence", "Finding", "Verdict", "current_verdict", "update_evidence"]

#: Log-likelihood ratio from which the new version is bad. The chance of a sound
#: version to reach it is at most e**-7 (0.0009) for each group and kind of fault from
#: one return of the score to zero to the next; about 20 of them are watched.
BAD_SCORE = 7.0
#: Log-likelihood ratio from which the new version is good: a bad one reaches it with
#: a chance of at most e**-4 (0.018) over all requests.
GOOD_SCORE = -4.0
#: The same for each single route, on which there are fewer requests.
GOOD_ROUTE_SCORE = -1.5
#: The same from which the share does not grow further.
DOUBT_SCORE = 2.0
DOUBT_BAD_OUTCOMES = 2
#: Score, with a number of bad outcomes, from which a decision without a verdict goes
#: against the new version. At 2.5 and 2, single crashes of upstreams shortly before
#: the deadline rolled back 10 of 100 good versions of a small service.
SUSPECT_SCORE = 5.0
SUSPECT_BAD_OUTCOMES = 4
#: Largest addition of one slice to a score, so that a single upstream that crashes
#: cannot decide: the failures of a crash fall into one or two slices.
MAX_SLICE_SCORE = 2.5
#: The same for slices with many outcomes, in which one upstream has a small part.
MAX_LARGE_SLICE_SCORE = 3.5
LARGE_SLICE_OUTCOMES = 20
#: Least number of bad outcomes, and of slices that speak against the version, for a
#: bad verdict.
MIN_BAD_OUTCOMES = 5
MIN_BAD_SLICES = 2
#: The same once nothing is left to compare with: 2 s, longer than most disruptions.
MIN_UNCOMPARED_BAD_SLICES = 10
#: Failure rate that is taken to be usual if nothing is known.
USUAL_FAILURES = 0.01
USUAL_SLOW = 0.06
#: A success is slow from this many half octaves above the old versions' median:
#: 2 to 2.8 times as long, as buckets are half an octave wide.
SLOW_BUCKETS = 3
#: Least number of old successes from which their median is used.
MIN_MEDIAN_COUNT = 5.0
#: Factor for old outcomes of earlier slices, about 2.5 s of slices of 0.25 s.
BASELINE_DECAY = 0.9
#: Number of slices whose failures of old versions count for the present one, as
#: failures of one cause are not counted at the same moment.
DISRUPTION_SLICES = 6
MAX_RATE = 0.9
#: Bounds on the groups of which scores are kept.
MAX_GROUPS = 600
#: Scores for good versions are bounded, so that later faults still count.
MIN_TOTAL = -20.0
#: Scores against it are bounded too, so that a disruption is soon forgotten.
MAX_UP = 12.0


class Finding(Enum):
    """What the test says of the new version."""

    GOOD = "good"
    BAD = "bad"
    UNDECIDED = "undecided"


class _Fault(Enum):
    """Kinds of fault, with the part of requests that it hits beyond the usual."""

    RARE_FAILURES = 0.05
    FAILURES = 0.15
    SLOW = 0.4


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of the test so far.

    Attributes
    ----------
    finding : Finding
        Whether the new version is good, bad, or not decided yet.
    is_suspect : bool
        Whether a decision without more outcomes should go against it.
    reason : str
        The figures that decided it.
    is_doubtful : bool
        Whether the share should not grow now.
    """

    finding: Finding
    is_suspect: bool
    reason: str
    is_doubtful: bool = False


@dataclass(slots=True)
class _Score:
    """Score of one group of cells for one kind of fault."""

    up: float = 0.0
    total: float = 0.0
    outcomes: int = 0
    bad_outcomes: int = 0
    bad_slices: int = 0


@dataclass(slots=True)
class _Baseline:
    """Outcomes of the old versions in a cell, earlier slices with less weight."""

    failures: float = 0.0
    attempts: float = 0.0
    durations: list[float] = field(default_factory=lambda: [0.0] * MAX_BUCKETS)
    recent_failure_rates: list[float] = field(default_factory=list)
    recent_slow_rates: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Evidence:
    """Scores and baselines of one rollout.

    Attributes
    ----------
    scores : dict
        By group (name of a route or data centre, or all) and kind of fault.
    baselines : dict
        By cell, and by route with an empty data centre, outcomes of old versions.
    outcomes : int
        Number of outcomes of the new version so far.
    """

    scores: dict[tuple[tuple[str, str], _Fault], _Score] = field(default_factory=dict)
    baselines: dict[Cell, _Baseline] = field(default_factory=dict)
    outcomes: int = 0


def update_evidence(
    evidence: Evidence, cells: Mapping[Cell, tuple[Outcomes, Outcomes]]
) -> None:
    """Add the outcomes of one time slice.

    Parameters
    ----------
    evidence : Evidence
        Changed in place.
    cells : mapping
        By cell, outcomes of the old versions and of the new one in the slice.
    """
    pooled: dict[Cell, list[Outcomes]] = {}
    for cell, (old, _) in cells.items():
        for pool in _pools_of(cell):
            pooled.setdefault(pool, []).append(old)
    for pool, outcomes in pooled.items():
        _update_baseline(evidence, pool, outcomes)
    additions: dict[tuple[tuple[str, str], _Fault], list[float]] = {}
    for cell, (_, new) in cells.items():
        count = new.failures + new.successes
        if count <= 0:
            continue
        evidence.outcomes += count
        for fault, bad, total, usual in _compare(evidence, cell, new):
            ratio = _log_ratio(bad, total, usual, fault.value)
            for group in (("", ""), ("route", cell[0]), ("data centre", cell[1])):
                sums = additions.setdefault((group, fault), [0.0, 0.0, 0.0])
                sums[0] += ratio
                sums[1] += total
                sums[2] += bad
    for key, (ratio, total, bad) in additions.items():
        _add_to_score(evidence, key, ratio, int(total), int(bad))


def _pools_of(cell: Cell) -> tuple[Cell, ...]:
    """Return the cell, its route, its data centre and all, for their usual rates."""
    return cell, (cell[0], ""), ("", cell[1]), ("", "")


def current_verdict(evidence: Evidence, is_compared: bool = True) -> Verdict:
    """Return what the test says so far.

    Parameters
    ----------
    evidence : Evidence
        Scores so far.
    is_compared : bool
        Whether old versions still get requests. Otherwise a disruption of both cannot
        be told from a fault of the new one, and a fault must last longer.
    """
    min_bad_slices = MIN_BAD_SLICES if is_compared else MIN_UNCOMPARED_BAD_SLICES
    worst_key, worst = max(
        evidence.scores.items(),
        key=lambda item: item[1].up,
        default=(None, _Score()),
    )
    for key, score in evidence.scores.items():
        if _is_bad(score, min_bad_slices):
            return Verdict(Finding.BAD, True, _describe(key, score), True)
    if worst.up >= DOUBT_SCORE and worst.bad_outcomes >= DOUBT_BAD_OUTCOMES:
        is_suspect = (
            worst.up >= SUSPECT_SCORE and worst.bad_outcomes >= SUSPECT_BAD_OUTCOMES
        )
        reason = f"suspect: {_describe(worst_key, worst)}"
        return Verdict(Finding.UNDECIDED, is_suspect, reason, True)
    open_groups = _open_groups(evidence)
    if evidence.outcomes and not open_groups:
        reason = f"no fault in {evidence.outcomes} outcomes"
        return Verdict(Finding.GOOD, False, reason)
    names = ", ".join(sorted(open_groups)[:5]) or "all"
    reason = f"sample too small: {evidence.outcomes} outcomes, open for {names}"
    return Verdict(Finding.UNDECIDED, False, reason)


def _is_bad(score: _Score, min_bad_slices: int) -> bool:
    return (
        score.up >= BAD_SCORE
        and score.bad_outcomes >= MIN_BAD_OUTCOMES
        and score.bad_slices >= min_bad_slices
    )


def _open_groups(evidence: Evidence) -> set[str]:
    """Return the groups for which the sample does not show a good version yet."""
    if not evidence.scores:
        return {"all"}
    found = set()
    for ((kind, name), fault), score in evidence.scores.items():
        if fault is _Fault.RARE_FAILURES or kind == "data centre":
            continue
        limit = GOOD_ROUTE_SCORE if kind else GOOD_SCORE
        if score.total > limit:
            found.add(name or "all")
    return found


def _describe(key, score: _Score) -> str:
    (kind, name), fault = key
    place = f"{kind} {name}" if kind else "all routes"
    what = "slow" if fault is _Fault.SLOW else "failed"
    return (
        f"{score.bad_outcomes} of {score.outcomes} {what} on {place}, "
        f"score {score.up:.1f}"
    )


def _update_baseline(
    evidence: Evidence, cell: Cell, outcomes: Sequence[Outcomes]
) -> None:
    failures = sum(one.failures for one in outcomes)
    columns = zip(*(one.durations for one in outcomes), strict=True)
    durations = [sum(column) for column in columns]
    attempts = failures + sum(durations)
    if attempts <= 0:
        return
    baseline = evidence.baselines.get(cell)
    if baseline is None:
        if len(evidence.baselines) >= MAX_GROUPS:
            return
        baseline = evidence.baselines[cell] = _Baseline()
    baseline.failures = BASELINE_DECAY * baseline.failures + failures
    baseline.attempts = BASELINE_DECAY * baseline.attempts + attempts
    baseline.durations = [
        BASELINE_DECAY * old + new
        for old, new in zip(baseline.durations, durations, strict=True)
    ]
    usual = _smooth(baseline.failures, baseline.attempts, USUAL_FAILURES, 5.0)
    rate = _smooth(failures, attempts, usual, 3.0)
    baseline.recent_failure_rates.append(rate)
    del baseline.recent_failure_rates[:-DISRUPTION_SLICES]
    limit = _slow_limit(baseline)
    if limit is not None:
        usual = _smooth(
            sum(baseline.durations[limit:]), sum(baseline.durations), USUAL_SLOW, 5.0
        )
        rate = _smooth(sum(durations[limit:]), sum(durations), usual, 3.0)
        baseline.recent_slow_rates.append(rate)
        del baseline.recent_slow_rates[:-DISRUPTION_SLICES]


def _smooth(bad: float, total: float, usual: float, weight: float) -> float:
    return (bad + weight * usual) / (total + weight)


def _slow_limit(baseline: _Baseline) -> int | None:
    """Return the first slow bucket; None if too little is known."""
    count = sum(baseline.durations)
    if count < MIN_MEDIAN_COUNT:
        return None
    below = 0.0
    for bucket, weight in enumerate(baseline.durations):
        below += weight
        if below >= count / 2:
            return bucket + SLOW_BUCKETS
    return None


def _compare(evidence: Evidence, cell: Cell, new: Outcomes):
    """Yield, for each kind of fault, bad and all outcomes and the usual bad rate."""
    pools = [
        evidence.baselines[pool]
        for pool in _pools_of(cell)
        if pool in evidence.baselines
    ]
    if not pools:
        # Without old outcomes there is nothing to compare with.
        return
    own = pools[0]
    # The highest of the rates, as a disruption may hit a route or a data centre and
    # the old outcomes of a cell in one slice are few.
    usual = max(
        USUAL_FAILURES,
        _smooth(own.failures, own.attempts, USUAL_FAILURES, 5.0),
        *(rate for pool in pools for rate in pool.recent_failure_rates),
    )
    count = new.failures + new.successes
    yield _Fault.RARE_FAILURES, new.failures, count, usual
    yield _Fault.FAILURES, new.failures, count, usual
    limit = _slow_limit(own)
    if limit is None or not new.successes:
        return
    slow = sum(own.durations[limit:])
    usual_slow = max(
        USUAL_SLOW,
        _smooth(slow, sum(own.durations), USUAL_SLOW, 5.0),
        *own.recent_slow_rates,
    )
    yield _Fault.SLOW, sum(new.durations[limit:]), new.successes, usual_slow


def _log_ratio(bad: int, total: int, usual: float, excess: float) -> float:
    """Return the log-likelihood ratio of a fault against the usual rate."""
    usual = min(usual, MAX_RATE)
    faulty = usual + excess * (1.0 - usual)
    sound = total - bad
    return bad * log(faulty / usual) + sound * log((1.0 - faulty) / (1.0 - usual))


def _add_to_score(evidence: Evidence, key, ratio: float, total: int, bad: int) -> None:
    score = evidence.scores.get(key)
    if score is None:
        if len(evidence.scores) >= 3 * MAX_GROUPS:
            return
        score = evidence.scores[key] = _Score()
    is_large = total >= LARGE_SLICE_OUTCOMES
    ratio = min(ratio, MAX_LARGE_SLICE_SCORE if is_large else MAX_SLICE_SCORE)
    score.up = min(MAX_UP, max(0.0, score.up + ratio))
    score.total = max(MIN_TOTAL, score.total + ratio)
    score.outcomes += total
    score.bad_outcomes += bad
    score.bad_slices += ratio > 0.0
    if not score.up:
        # A new sequence begins; earlier outcomes do not speak against the version.
        score.outcomes = score.bad_outcomes = score.bad_slices = 0
