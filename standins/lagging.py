"""Simulation of relay hosts that see each other's load with a delay."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cranberryfield.core.deployment import Route, RouteKind, WeightedService
from cranberryfield.core.http1 import RequestHead
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.demand import (
    DemandSection,
    current_demand,
    record_arrival,
    record_end,
    record_prefill,
)
from cranberryfield.entry.relay.loads import (
    InFlightAttempt,
    LoadSection,
    replace_remote_loads,
)
from cranberryfield.entry.relay.request import (
    PromptPart,
    RelayRequest,
    uncached_prompt_tokens,
)
from cranberryfield.entry.relay.upstream_selection import (
    RelayCostModel,
    choose_relay_upstream,
)

__all__ = ["LaggingSpec", "PromptClass", "Served", "play"]

REPORT_S = 0.25
#: Prompt tokens that an engine processes per second, and its minimum time to the
#: first event.
READS_PER_S = 100_000.0
FIRST_S = 0.005


@dataclass(frozen=True, slots=True)
class PromptClass:
    """A class of requests.

    Attributes
    ----------
    share : float
        Relative frequency among all requests.
    own_tokens : int
        Mean number of prompt tokens unique to a request.
    shared_tokens : int
        Number of prompt tokens shared by all requests of a subject.
    subjects : int
        Number of subjects.
    lasts_s : float
        Time from the first event of a response to its end, in seconds.
    """

    share: float
    own_tokens: int
    shared_tokens: int
    subjects: int
    lasts_s: float


@dataclass(frozen=True, slots=True)
class LaggingSpec:
    """Parameters of a simulation.

    Attributes
    ----------
    hosts, engines : int
        Numbers of relay hosts and engines.
    rate_per_s : float
        Requests of all callers per second.
    lasts_s : float
        Simulated time in seconds.
    classes : tuple of PromptClass
        Classes of requests.
    places : int
        Number of requests that an engine runs concurrently.
    """

    hosts: int
    engines: int
    rate_per_s: float
    lasts_s: float
    classes: tuple[PromptClass, ...]
    places: int = 32


@dataclass(slots=True)
class Served:
    """Result of a simulation.

    Attributes
    ----------
    waits_s : list of float
        Time to the first event of each request, in seconds.
    read_tokens : int
        Number of prompt tokens processed by engines.
    demand_per_s : list of float
        Estimated demand in prompt tokens per second at the end.
    """

    waits_s: list[float] = field(default_factory=list)
    read_tokens: int = 0
    demand_per_s: list[float] = field(default_factory=list)

    def quantile(self, part: float) -> float:
        """Return a quantile of the waits; `part` is between 0 and 1."""
        return sorted(self.waits_s)[int(part * (len(self.waits_s) - 1))]


@dataclass(slots=True)
class _Engine:
    free_at: float = 0.0
    ends: list[float] = field(default_factory=list)
    parts: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _World:
    spec: LaggingSpec
    rng: Random
    records: list[UpstreamRecord]
    engines: dict[str, _Engine]
    views: list[LoadSection]
    demand: DemandSection = field(default_factory=DemandSection)
    events: list = field(default_factory=list)
    serial: int = 0
    served: Served = field(default_factory=Served)

    def at(self, when: float, act: Callable[[float], None]) -> None:
        """Schedule a callback at a simulated time."""
        self.serial += 1
        heapq.heappush(self.events, (when, self.serial, act))


def play(spec: LaggingSpec, seed: int) -> Served:
    """Run a simulation with random arrivals.

    Parameters
    ----------
    spec : LaggingSpec
        Parameters of the simulation.
    seed : int
        Seed of the random numbers.

    Returns
    -------
    Served
        Waits and processed tokens.
    """
    world = _World(
        spec,
        Random(seed),
        [_record(number, spec.places) for number in range(spec.engines)],
        {f"u{number}": _Engine() for number in range(spec.engines)},
        [LoadSection() for _ in range(spec.hosts)],
    )
    when = 0.0
    while (when := when + world.rng.expovariate(spec.rate_per_s)) < spec.lasts_s:
        world.at(when, lambda now: _arrive(world, now))
    for host in range(spec.hosts):
        _report_from(world, host, world.rng.uniform(0.0, REPORT_S))
    while world.events and world.events[0][0] < spec.lasts_s:
        now, _, act = heapq.heappop(world.events)
        act(now)
    world.served.demand_per_s = [
        one.prefill_tokens_per_s for one in current_demand(world.demand, spec.lasts_s)
    ]
    return world.served


def _record(number: int, places: int) -> UpstreamRecord:
    return UpstreamRecord(
        f"u{number}", 1, 1, "drafts", "d", "10.0.0.1:80", "on-demand", (), places, 0
    )


def _arrive(world: _World, now: float) -> None:
    request = _request(world, now)
    loads = world.rng.choice(world.views)
    record = choose_relay_upstream(
        world.records, loads, request, frozenset(), "d", now, RelayCostModel()
    )
    load = loads.load_of(record.upstream)
    unread = uncached_prompt_tokens(request, load.prompt_parts)
    record_arrival(world.demand, request.service, now)
    record_prefill(world.demand, request.service, unread, now)
    flight = InFlightAttempt(unread, 0)
    load.own_attempts[request.id] = flight
    load.record_prompt_parts(tuple(part.id for part in request.prompt_parts))
    engine = world.engines[record.upstream]
    tokens = uncached_prompt_tokens(request, engine.parts)
    engine.parts.update(part.id for part in request.prompt_parts)
    world.served.read_tokens += tokens
    while engine.ends and engine.ends[0] <= now:
        heapq.heappop(engine.ends)
    admitted_at = now
    if len(engine.ends) >= world.spec.places:
        admitted_at = heapq.heappop(engine.ends)
    engine.free_at = max(admitted_at, engine.free_at) + tokens / READS_PER_S
    first_at = engine.free_at + FIRST_S
    world.served.waits_s.append(first_at - now)

    def first(_: float) -> None:
        flight.prefill_tokens = 0

    def end(now: float) -> None:
        load.own_attempts.pop(request.id)
        record_end(world.demand, request.service, now)

    heapq.heappush(engine.ends, first_at + request.route.timeout_ms / 1000)
    world.at(first_at, first)
    world.at(first_at + request.route.timeout_ms / 1000, end)


def _request(world: _World, now: float) -> RelayRequest:
    rng = world.rng
    weights = [one.share for one in world.spec.classes]
    number = rng.choices(range(len(weights)), weights)[0]
    kind = world.spec.classes[number]
    subject = rng.randrange(kind.subjects)
    route = Route(
        f"r{number}",
        "a.example",
        "/x/",
        RouteKind.STREAM,
        (WeightedService("drafts", 1),),
        kind.lasts_s * 1000,
        500.0,
    )
    own = round(rng.expovariate(1.0 / kind.own_tokens))
    world.serial += 1
    return RelayRequest(
        f"q{world.serial}",
        RequestHead(b"POST", b"/x/", []),
        b"",
        route,
        "drafts",
        None,
        now,
        now + 10.0,
        (
            PromptPart(f"{number}-{subject}", kind.shared_tokens),
            PromptPart(f"own-{world.serial}", own),
        ),
        kind.shared_tokens + own,
    )


def _report_from(world: _World, host: int, when: float) -> None:
    """Schedule periodic updates of a host with the load reported by other hosts."""

    def report(now: float) -> None:
        others: dict[str, tuple[int, int]] = {}
        for number, loads in enumerate(world.views):
            if number == host:
                continue
            for upstream, load in loads.loads.items():
                runs, tokens = others.get(upstream, (0, 0))
                own = load.own_prefill_tokens
                others[upstream] = (runs + len(load.own_attempts), tokens + own)
        seen_at = now

        def take(now: float) -> None:
            replace_remote_loads(world.views[host], others, seen_at)

        world.at(now + REPORT_S / 2, take)
        world.at(now + REPORT_S, report)

    world.at(when, report)
