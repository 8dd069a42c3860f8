"""Moving averages of the demand for each service on this host."""

from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.reports import ServiceDemand

__all__ = [
    "DemandSection",
    "current_demand",
    "record_arrival",
    "record_end",
    "record_prefill",
]

#: Averaging window of the demand, in seconds.
AVERAGING_WINDOW_S = 2.0


@dataclass(slots=True)
class _DemandAverages:
    prefill_tokens_per_s: float = 0.0
    updated_at: float = 0.0
    running_requests: int = 0
    mean_in_flight: float = 0.0
    streams_per_s: float = 0.0
    paused_streams_per_s: float = 0.0


@dataclass(slots=True)
class DemandSection:
    """Section of the blackboard: demand by service.

    Attributes
    ----------
    services : dict
        Averages of each service.
    arrived_at : float
        Monotonic time in seconds of the last request that has arrived.
    """

    services: dict[ServiceName, _DemandAverages] = field(default_factory=dict)
    arrived_at: float = float("-inf")


def _advance(demand: _DemandAverages, now: float) -> None:
    weight = min(1.0, max(0.0, now - demand.updated_at) / AVERAGING_WINDOW_S)
    demand.prefill_tokens_per_s *= 1.0 - weight
    demand.streams_per_s *= 1.0 - weight
    demand.paused_streams_per_s *= 1.0 - weight
    demand.mean_in_flight += (demand.running_requests - demand.mean_in_flight) * weight
    demand.updated_at = now


def record_arrival(section: DemandSection, service: ServiceName, now: float) -> None:
    """Count a request that has arrived."""
    demand = section.services.setdefault(service, _DemandAverages(updated_at=now))
    _advance(demand, now)
    demand.running_requests += 1
    section.arrived_at = now


def record_prefill(
    section: DemandSection, service: ServiceName, tokens: int, now: float
) -> None:
    """Count prompt tokens to prefill, also if no upstream accepts the request."""
    demand = section.services[service]
    _advance(demand, now)
    demand.prefill_tokens_per_s += tokens / AVERAGING_WINDOW_S


def record_stream(
    section: DemandSection, service: ServiceName, exceeded_target: bool, now: float
) -> None:
    """Count a streamed response and whether a pause in it exceeded its target."""
    demand = section.services[service]
    _advance(demand, now)
    demand.streams_per_s += 1 / AVERAGING_WINDOW_S
    demand.paused_streams_per_s += exceeded_target / AVERAGING_WINDOW_S


def record_end(section: DemandSection, service: ServiceName, now: float) -> None:
    """Count a request that has ended."""
    demand = section.services[service]
    _advance(demand, now)
    demand.running_requests -= 1


def current_demand(section: DemandSection, now: float) -> tuple[ServiceDemand, ...]:
    """Return the averages of all services at the given time."""
    averages = []
    for service, demand in section.services.items():
        _advance(demand, now)
        averages.append(
            ServiceDemand(
                service,
                round(demand.prefill_tokens_per_s, 1),
                round(demand.mean_in_flight, 2),
                round(demand.streams_per_s, 2),
                round(demand.paused_streams_per_s, 2),
            )
        )
    return tuple(averages)
