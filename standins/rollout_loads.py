"""Loads, drawn versions and disruptions of the model of rollouts."""

from dataclasses import dataclass, field
from random import Random

from cranberryfield.control.rollouts.plan import ExposureBound
from cranberryfield.core.messages.rollouts import RolloutStage

__all__ = [
    "BAD_KINDS",
    "DATA_CENTRES",
    "ENGINE_SERVICE",
    "PLAIN_SERVICE",
    "Disruption",
    "Fault",
    "Outcome",
    "Service",
    "draw_bad_fault",
    "draw_disruption",
]

DATA_CENTRES = ("fann", "glen", "moor")


@dataclass(frozen=True, slots=True)
class Service:
    """Load of a service.

    Attributes
    ----------
    routes : dict
        By route: requests per second, median time to the first event in ms, and the
        time of the events after it in ms.
    upstreams : int
        Upstreams of each version.
    """

    routes: dict[str, tuple[float, float, float]]
    upstreams: int

    @property
    def rate_per_s(self) -> float:
        """Requests per second on all routes."""
        return sum(rate for rate, _, _ in self.routes.values())


ENGINE_SERVICE = Service(
    {
        "drafts": (102.0, 420.0, 900.0),
        "chat": (75.0, 130.0, 600.0),
        "triage": (163.0, 160.0, 60.0),
    },
    30,
)
PLAIN_SERVICE = Service({"booking": (70.0, 55.0, 0.0), "lookup": (28.0, 55.0, 0.0)}, 4)

#: Kinds of bad versions: what is wrong, and where or when.
BAD_KINDS = tuple(
    (what, where)
    for what in ("fails", "slow")
    for where in ("at once", "later", "load", "route", "data centre")
)


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with the target version.

    Attributes
    ----------
    failures : float
        Part of the answers that are failures.
    slowness : float
        Factor of the duration.
    from_s : float
        Time since the order from which it is so.
    load : float
        Load of an upstream from which it is so, as a part of its load once all
        requests are sent to the target.
    route, data_centre : str or None
        Where it is so; None for everywhere.
    """

    failures: float = 0.0
    slowness: float = 1.0
    from_s: float = 0.0
    load: float = 0.0
    route: str | None = None
    data_centre: str | None = None


@dataclass(frozen=True, slots=True)
class Disruption:
    """A burst of failures in an interval.

    Attributes
    ----------
    begins_s, ends_s : float
        Interval since the order.
    failures : float
        Part of the answers that fail in it.
    is_target_only : bool
        Whether only the target version is hit, as by a crash of one upstream.
    data_centre : str or None
        Where; None for everywhere.
    """

    begins_s: float
    ends_s: float
    failures: float
    is_target_only: bool = False
    data_centre: str | None = None


def draw_bad_fault(rng: Random, kind: tuple[str, str], service: Service) -> Fault:
    """Draw a bad version of a kind from `BAD_KINDS`."""
    what, where = kind
    return Fault(
        failures=rng.uniform(0.15, 0.7) if what == "fails" else 0.0,
        slowness=rng.uniform(3.0, 6.0) if what == "slow" else 1.0,
        from_s=rng.uniform(2.0, 6.5) if where == "later" else 0.0,
        load=rng.uniform(0.15, 0.8) if where == "load" else 0.0,
        route=rng.choice(sorted(service.routes)) if where == "route" else None,
        data_centre=rng.choice(DATA_CENTRES) if where == "data centre" else None,
    )


def draw_disruption(rng: Random, service: Service) -> Disruption | None:
    """Draw a disruption that says nothing against the target version, or none."""
    begins_s = rng.uniform(2.0, 9.0)
    kind = rng.randrange(4)
    if kind == 0:
        return None
    if kind == 1:
        return Disruption(begins_s, begins_s + rng.uniform(0.3, 1.5), 0.4)
    if kind == 2:
        place = rng.choice(DATA_CENTRES)
        return Disruption(begins_s, begins_s + 1.5, 0.8, data_centre=place)
    return Disruption(begins_s, begins_s + 0.4, 1.0 / service.upstreams, True)


@dataclass(slots=True)
class Outcome:
    """Result of one run of the model.

    Attributes
    ----------
    stage : RolloutStage
        Stage at the deadline.
    ended_s : float or None
        Time of the end since the order.
    arrivals, exposed : int
        Requests by the deadline, and attempts at the target by then.
    bad_limit_at_s : float or None
        Time of the 50th bad answer.
    last_exposed_s : float
        Time of the last attempt at the target from a relay in touch.
    reason : str
        Reason of the last stage.
    killed : int
        Runs on old upstreams at completion.
    """

    stage: RolloutStage = RolloutStage.OBSERVING
    ended_s: float | None = None
    arrivals: int = 0
    exposed: int = 0
    bad_limit_at_s: float | None = None
    last_exposed_s: float = 0.0
    reason: str = ""
    killed: int = 0
    stages: list[tuple[float, int, str]] = field(default_factory=list)

    def exceeds(self, bound: ExposureBound, rollback_s: float = 5.0) -> bool:
        """Return whether a bad version got more than the bound allows."""
        is_more = self.exposed > bound.ratio * self.arrivals + bound.allowance
        is_late = (
            self.bad_limit_at_s is not None
            and self.last_exposed_s > self.bad_limit_at_s + rollback_s
        )
        return is_more or is_late
