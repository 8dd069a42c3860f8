"""Moving averages of the demand for each service on this host."""

from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.reports import ServiceDemand

__all__ = [
    "DemandSection",
    "current_demand",
    "note_asked",
    "note_ended",
    "note_prefill",
]

#: Averaging window of the demand, in seconds.
AVERAGE_S = 2.0


@dataclass(slots=True)
class _Demand:
    tokens_per_s: float = 0.0
    at: float = 0.0
    running: int = 0
    in_flight: float = 0.0
    streams_per_s: float = 0.0
    paused_per_s: float = 0.0


@dataclass(slots=True)
class DemandSection:
    """Section of the blackboard: demand by service."""

    services: dict[ServiceName, _Demand] = field(default_factory=dict)


def _advance(demand: _Demand, now: float) -> None:
    weight = min(1.0, max(0.0, now - demand.at) / AVERAGE_S)
    demand.tokens_per_s *= 1.0 - weight
    demand.streams_per_s *= 1.0 - weight
    demand.paused_per_s *= 1.0 - weight
    demand.in_flight += (demand.running - demand.in_flight) * weight
    demand.at = now


def note_asked(section: DemandSection, service: ServiceName, now: float) -> None:
    """Count a request that has arrived."""
    demand = section.services.setdefault(service, _Demand(at=now))
    _advance(demand, now)
    demand.running += 1


def note_prefill(
    section: DemandSection, service: ServiceName, tokens: int, now: float
) -> None:
    """Count prompt tokens to prefill, also if no upstream accepts the request."""
    demand = section.services[service]
    _advance(demand, now)
    demand.tokens_per_s += tokens / AVERAGE_S


def note_streamed(
    section: DemandSection, service: ServiceName, has_paused: bool, now: float
) -> None:
    """Count a streamed response and whether a pause in it exceeded its target."""
    demand = section.services[service]
    _advance(demand, now)
    demand.streams_per_s += 1 / AVERAGE_S
    demand.paused_per_s += has_paused / AVERAGE_S


def note_ended(section: DemandSection, service: ServiceName, now: float) -> None:
    """Count a request that has ended."""
    demand = section.services[service]
    _advance(demand, now)
    demand.running -= 1


def current_demand(section: DemandSection, now: float) -> tuple[ServiceDemand, ...]:
    """Return the averages of all services at the given time."""
    found = []
    for service, demand in section.services.items():
        _advance(demand, now)
        found.append(
            ServiceDemand(
                service,
                round(demand.tokens_per_s, 1),
                round(demand.in_flight, 2),
                round(demand.streams_per_s, 2),
                round(demand.paused_per_s, 2),
            )
        )
    return tuple(found)
