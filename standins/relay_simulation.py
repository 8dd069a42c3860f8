"""Simulation of relay hosts that see each other's load with a delay."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cranberryfield.core.deployment import Route, RouteKind, WeightedService
from cranberryfield.core.http1 import RequestHead
from cranberryfield.core.ids import NodeId
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.reports import HostReport, LoadShare
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
from cranberryfield.entry.relay.stated_loads import StatedLoad, record_stated_load
from cranberryfield.entry.relay.upstream_selection import (
    RelayCostModel,
    choose_relay_upstream,
)
from cranberryfield.entry.reports.collector import (
    CollectedReports,
    loads_of_other_hosts,
    record_report,
)

__all__ = ["RequestClass", "SimulationResult", "SimulationSpec", "simulate"]

REPORT_INTERVAL_S = 0.25
#: Prompt tokens that an engine processes per second, and its minimum time to the
#: first event.
PREFILL_TOKENS_PER_S = 100_000.0
MIN_FIRST_EVENT_S = 0.005


@dataclass(frozen=True, slots=True)
class RequestClass:
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
    duration_s : float
        Time from the first event of a response to its end, in seconds.
    """

    share: float
    own_tokens: int
    shared_tokens: int
    subjects: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class SimulationSpec:
    """Parameters of a simulation.

    Attributes
    ----------
    hosts, engines : int
        Numbers of relay hosts and engines.
    rate_per_s : float
        Requests of all callers per second.
    duration_s : float
        Simulated time in seconds.
    classes : tuple of RequestClass
        Classes of requests.
    capacity : int
        Number of requests that an engine runs concurrently.
    time_factors : tuple of float
        How much longer work takes at each engine than usual; empty for no longer.
    states_load : bool
        Whether engines state their load with the first event.
    """

    hosts: int
    engines: int
    rate_per_s: float
    duration_s: float
    classes: tuple[RequestClass, ...]
    capacity: int = 32
    time_factors: tuple[float, ...] = ()
    states_load: bool = False


@dataclass(slots=True)
class SimulationResult:
    """Result of a simulation.

    Attributes
    ----------
    first_event_waits_s : list of float
        Time to the first event of each request, in seconds.
    prefilled_tokens : int
        Number of prompt tokens processed by engines.
    demand_per_s : list of float
        Estimated demand in prompt tokens per second at the end.
    """

    first_event_waits_s: list[float] = field(default_factory=list)
    prefilled_tokens: int = 0
    demand_per_s: list[float] = field(default_factory=list)

    def wait_quantile_s(self, fraction: float) -> float:
        """Return a quantile of the waits; `fraction` is between 0 and 1."""
        return sorted(self.first_event_waits_s)[
            int(fraction * (len(self.first_event_waits_s) - 1))
        ]


@dataclass(slots=True)
class _Engine:
    time_factor: float = 1.0
    prefill_free_at: float = 0.0
    end_times: list[float] = field(default_factory=list)
    cached_parts: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Simulation:
    spec: SimulationSpec
    rng: Random
    records: list[UpstreamRecord]
    engines: dict[str, _Engine]
    load_sections: list[LoadSection]
    demand: DemandSection = field(default_factory=DemandSection)
    events: list = field(default_factory=list)
    sequence: int = 0
    result: SimulationResult = field(default_factory=SimulationResult)
    reports: CollectedReports = field(default_factory=CollectedReports)

    def schedule(self, when: float, callback: Callable[[float], None]) -> None:
        """Schedule a callback at a simulated time."""
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, callback))


def simulate(spec: SimulationSpec, seed: int) -> SimulationResult:
    """Run a simulation with random arrivals.

    Parameters
    ----------
    spec : SimulationSpec
        Parameters of the simulation.
    seed : int
        Seed of the random numbers.

    Returns
    -------
    SimulationResult
        Waits and processed tokens.
    """
    simulation = _Simulation(
        spec,
        Random(seed),
        [
            _make_upstream_record(number, spec.capacity)
            for number in range(spec.engines)
        ],
        {
            f"u{number}": _Engine(factor)
            for number, factor in enumerate(spec.time_factors or (1.0,) * spec.engines)
        },
        [LoadSection() for _ in range(spec.hosts)],
    )
    when = 0.0
    while (
        when := when + simulation.rng.expovariate(spec.rate_per_s)
    ) < spec.duration_s:
        simulation.schedule(when, lambda now: _process_arrival(simulation, now))
    for host in range(spec.hosts):
        _schedule_reports(
            simulation, host, simulation.rng.uniform(0.0, REPORT_INTERVAL_S)
        )
    while simulation.events and simulation.events[0][0] < spec.duration_s:
        now, _, callback = heapq.heappop(simulation.events)
        callback(now)
    simulation.result.demand_per_s = [
        one.prefill_tokens_per_s
        for one in current_demand(simulation.demand, spec.duration_s)
    ]
    return simulation.result


def _make_upstream_record(number: int, capacity: int) -> UpstreamRecord:
    return UpstreamRecord(
        f"u{number}", 1, 1, "drafts", "d", "10.0.0.1:80", "on-demand", (), capacity, 0
    )


def _process_arrival(simulation: _Simulation, now: float) -> None:
    request = _make_request(simulation, now)
    loads = simulation.rng.choice(simulation.load_sections)
    record = choose_relay_upstream(
        simulation.records, loads, request, frozenset(), "d", now, RelayCostModel()
    )
    load = loads.load_of(record.upstream)
    uncached_tokens = uncached_prompt_tokens(request, load.prompt_parts)
    record_arrival(simulation.demand, request.service, now)
    record_prefill(simulation.demand, request.service, uncached_tokens, now)
    attempt = InFlightAttempt(uncached_tokens, 0)
    load.own_attempts[request.id] = attempt
    load.record_prompt_parts(tuple(part.id for part in request.prompt_parts))
    engine = simulation.engines[record.upstream]
    tokens = uncached_prompt_tokens(request, engine.cached_parts)
    engine.cached_parts.update(part.id for part in request.prompt_parts)
    simulation.result.prefilled_tokens += tokens
    while engine.end_times and engine.end_times[0] <= now:
        heapq.heappop(engine.end_times)
    admitted_at = now
    if len(engine.end_times) >= simulation.spec.capacity:
        admitted_at = heapq.heappop(engine.end_times)
    engine.prefill_free_at = (
        max(admitted_at, engine.prefill_free_at)
        + tokens / PREFILL_TOKENS_PER_S * engine.time_factor
    )
    first_at = engine.prefill_free_at + MIN_FIRST_EVENT_S * engine.time_factor
    simulation.result.first_event_waits_s.append(first_at - now)

    def on_first_event(first_at: float) -> None:
        attempt.prefill_tokens = 0
        if simulation.spec.states_load:
            running = sum(end > first_at for end in engine.end_times)
            stated = StatedLoad(running, 0, simulation.spec.capacity, 1.0)
            own = len(load.own_attempts)
            record_stated_load(loads.stated, record.process, stated, own, now, first_at)

    def on_end(now: float) -> None:
        load.own_attempts.pop(request.id)
        record_end(simulation.demand, request.service, now)

    heapq.heappush(engine.end_times, first_at + request.route.timeout_ms / 1000)
    simulation.schedule(first_at, on_first_event)
    simulation.schedule(first_at + request.route.timeout_ms / 1000, on_end)


def _make_request(simulation: _Simulation, now: float) -> RelayRequest:
    rng = simulation.rng
    weights = [one.share for one in simulation.spec.classes]
    number = rng.choices(range(len(weights)), weights)[0]
    request_class = simulation.spec.classes[number]
    subject = rng.randrange(request_class.subjects)
    route = Route(
        f"r{number}",
        "a.example",
        "/x/",
        RouteKind.STREAM,
        (WeightedService("drafts", 1),),
        request_class.duration_s * 1000,
        500.0,
    )
    own = round(rng.expovariate(1.0 / request_class.own_tokens))
    simulation.sequence += 1
    return RelayRequest(
        f"q{simulation.sequence}",
        RequestHead(b"POST", b"/x/", []),
        b"",
        route,
        "drafts",
        None,
        now,
        now + 10.0,
        (
            PromptPart(f"{number}-{subject}", request_class.shared_tokens),
            PromptPart(f"own-{simulation.sequence}", own),
        ),
        request_class.shared_tokens + own,
    )


def _schedule_reports(simulation: _Simulation, host: int, when: float) -> None:
    """Schedule periodic updates of a host with the load reported by other hosts."""

    def report(now: float) -> None:
        own = tuple(
            LoadShare(upstream, len(load.own_attempts), load.own_prefill_tokens)
            for upstream, load in simulation.load_sections[host].loads.items()
            if load.own_attempts
        )
        node = NodeId(f"host-{host}")
        record_report(simulation.reports, node, HostReport(1, own), now)
        others = {
            share.upstream: (share.in_flight, share.prefill_tokens)
            for share in loads_of_other_hosts(simulation.reports, node, now)
        }
        seen_at = now

        def apply_report(now: float) -> None:
            replace_remote_loads(simulation.load_sections[host], others, seen_at)

        simulation.schedule(now + REPORT_INTERVAL_S / 2, apply_report)
        simulation.schedule(now + REPORT_INTERVAL_S, report)

    simulation.schedule(when, report)
