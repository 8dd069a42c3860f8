"""Load that upstreams state in their answers, and what follows from its age."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import exp, log
from statistics import median

from cranberryfield.core.ids import UpstreamProcess

__all__ = [
    "StatedLoad",
    "StatedLoads",
    "UpstreamSpeed",
    "choose_by_weight",
    "estimate_in_flight",
    "estimate_time_ratio",
    "forget_stated_loads",
    "record_stated_load",
    "relative_speeds",
]

#: Time after which a statement counts for 1/e of its weight, in seconds. With 0.3 s the
#: mean time to an answer was 4 to 16 % longer at three quarters of the room.
LOAD_DECAY_S = 1.0
TIME_DECAY_S = 1.0
#: Bounds of a stated or measured ratio of times, against statements that are wrong.
MIN_RATIO, MAX_RATIO = 0.25, 10.0
#: Weight of the latest answer in the measured time of an upstream, and the number of
#: answers from which the measurement counts.
SPEED_WEIGHT = 0.1
MIN_ANSWERS = 5
#: Difference of expected times, as a fraction of the least one, that makes an upstream
#: e times less likely. Hosts that hear the same statement choose at the same moment.
#: With 0.25 the mean was up to 17 % longer, with 1.0 the slowest 5 % took up to 1.7
#: times as long beside an upstream that slows down when nearly full.
SPREAD_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class StatedLoad:
    """Load of an upstream by its own words.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that run and wait, and how many can run.
    time_ratio : float or None
        How long work takes there now, as a fraction of the usual time; None if the
        upstream does not say.
    """

    running: int
    waiting: int
    slots: int
    time_ratio: float | None = None


@dataclass(slots=True)
class UpstreamSpeed:
    """What this host knows of one upstream process from its answers.

    Attributes
    ----------
    stated : StatedLoad
        The last statement.
    stated_at : float
        Monotonic time in seconds at which it arrived.
    others_in_flight : int
        Requests of other hosts among those that it counts.
    answer_s : float
        Moving average of the time until an answer begins, at usual speed and without
        waiting, in seconds.
    answer_count : int
        Answers that are in it.
    """

    stated: StatedLoad
    stated_at: float
    others_in_flight: int
    answer_s: float = 0.0
    answer_count: int = 0


@dataclass(slots=True)
class StatedLoads:
    """Section of the blackboard: what upstream processes state of their load."""

    speeds: dict[UpstreamProcess, UpstreamSpeed] = field(default_factory=dict)


def record_stated_load(
    section: StatedLoads,
    process: UpstreamProcess,
    stated: StatedLoad | None,
    own_in_flight: int,
    sent_at: float,
    now: float,
) -> bool:
    """Record what an answer says; return whether it is the first of its upstream.

    Parameters
    ----------
    section : StatedLoads
        Changed in place.
    process : UpstreamProcess
        Upstream that answered.
    stated : StatedLoad or None
        Its statement. Without the ratio of times it is ignored.
    own_in_flight : int
        Requests of this host at the upstream, with the one that was answered.
    sent_at, now : float
        Monotonic times in seconds at which the request was sent, and of its answer.
    """
    if stated is None or stated.time_ratio is None:
        return False
    ratio = min(MAX_RATIO, max(MIN_RATIO, stated.time_ratio))
    others = max(0, stated.running + stated.waiting - own_in_flight)
    rounds = 1.0 + stated.waiting / max(1, stated.slots)
    answer_s = max(0.0, now - sent_at) / (ratio * rounds)
    known = section.speeds.get(process)
    if known is None:
        section.speeds[process] = UpstreamSpeed(stated, now, others, answer_s, 1)
        return True
    known.stated, known.stated_at, known.others_in_flight = stated, now, others
    known.answer_count += 1
    weight = max(SPEED_WEIGHT, 1.0 / known.answer_count)
    known.answer_s += (answer_s - known.answer_s) * weight
    return False


def forget_stated_loads(
    section: StatedLoads, is_known: Callable[[UpstreamProcess], bool]
) -> None:
    """Remove upstream processes that are gone."""
    section.speeds = {
        process: speed for process, speed in section.speeds.items() if is_known(process)
    }


def estimate_in_flight(
    speed: UpstreamSpeed | None, own: int, remote: int, now: float
) -> float:
    """Return the expected number of requests at an upstream.

    Parameters
    ----------
    speed : UpstreamSpeed or None
        What it has stated, if anything.
    own, remote : int
        Requests of this host, and of others as they have reported.
    now : float
        Monotonic time in seconds.

    Examples
    --------
    >>> speed = UpstreamSpeed(StatedLoad(5, 0, 6, 1.0), 10.0, 4)
    >>> [estimate_in_flight(speed, 1, 0, now) for now in (10.0, 1000.0)]
    [5.0, 1.0]
    """
    if speed is None:
        return float(own + remote)
    weight = exp(-max(0.0, now - speed.stated_at) / LOAD_DECAY_S)
    return own + weight * speed.others_in_flight + (1.0 - weight) * remote


def estimate_time_ratio(speed: UpstreamSpeed | None, now: float) -> float:
    """Return how long work takes, as a fraction of the usual time; 1 if stale.

    Examples
    --------
    >>> speed = UpstreamSpeed(StatedLoad(5, 0, 6, 3.0), 10.0, 4)
    >>> [round(estimate_time_ratio(speed, now), 3) for now in (10.0, 11.0, 100.0)]
    [3.0, 1.736, 1.0]
    """
    if speed is None or speed.stated.time_ratio is None:
        return 1.0
    stated = min(MAX_RATIO, max(MIN_RATIO, speed.stated.time_ratio))
    return 1.0 + (stated - 1.0) * exp(-max(0.0, now - speed.stated_at) / TIME_DECAY_S)


def relative_speeds(
    speeds: Iterable[UpstreamSpeed | None],
) -> tuple[float, list[float]]:
    """Return the usual time to an answer, and each upstream's fraction of it.

    The time is in seconds. One that has answered too seldom has the fraction 1.

    Examples
    --------
    >>> def measured(answer_s):
    ...     return UpstreamSpeed(StatedLoad(0, 0, 6, 1.0), 0.0, 0, answer_s, 9)
    >>> relative_speeds([measured(0.25), measured(0.5), None])
    (0.375, [0.6666666666666666, 1.3333333333333333, 1.0])
    """
    measured = [
        one.answer_s if one is not None and one.answer_count >= MIN_ANSWERS else None
        for one in speeds
    ]
    known = [one for one in measured if one is not None]
    usual_s = median(known) if known else 0.0
    if not usual_s:
        return 0.0, [1.0] * len(measured)
    return usual_s, [
        1.0 if one is None else min(MAX_RATIO, max(MIN_RATIO, one / usual_s))
        for one in measured
    ]


def choose_by_weight(
    expected_s: list[float], draws: list[float], min_spread_s: float
) -> int:
    """Choose among upstreams, the sooner ones more often; return the number.

    Parameters
    ----------
    expected_s : list of float
        Expected time of each, in seconds.
    draws : list of float
        For each, a number above 0 and at most 1 that is spread evenly.
    min_spread_s : float
        Least difference that makes one e times less likely, in seconds.

    Examples
    --------
    >>> choose_by_weight([0.05, 0.05, 0.5], [0.2, 0.9, 0.99], 0.001)
    1
    """
    least_s = min(expected_s)
    scale_s = max(min_spread_s, SPREAD_FRACTION * least_s)
    # The least of -log(draw) / weight is each one with a probability by its weight.
    # Compared by its logarithm, as weights may be too small for a float.
    keys = [
        log(max(1e-300, -log(draw))) + (one - least_s) / scale_s
        for one, draw in zip(expected_s, draws, strict=True)
    ]
    return min(range(len(keys)), key=keys.__getitem__)
