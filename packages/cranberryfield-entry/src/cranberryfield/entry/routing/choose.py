"""Two random choices among the fresh upstreams, the less loaded wins."""

from dataclasses import dataclass, field
from random import Random

from cranberryfield.core.ids import DataCentre, UpstreamId
from cranberryfield.entry.membership import KnownUpstream

__all__ = ["DispatchSection", "choose_upstream"]


@dataclass(slots=True)
class DispatchSection:
    """Section of the blackboard: this node's own runs on each upstream."""

    in_flight: dict[UpstreamId, int] = field(default_factory=dict)


def choose_upstream(
    candidates: list[KnownUpstream],
    dispatched: DispatchSection,
    own_data_centre: DataCentre,
    rng: Random,
) -> KnownUpstream | None:
    """Choose where the next attempt runs.

    Parameters
    ----------
    candidates : list of KnownUpstream
        Upstreams that may be given new work.
    dispatched : DispatchSection
        This node's own runs.
    own_data_centre : DataCentre
        Preferred among equally loaded upstreams.
    rng : random.Random
        Seeded generator.

    Returns
    -------
    KnownUpstream or None
        None without candidates.
    """
    if not candidates:
        return None
    pair = rng.sample(candidates, min(2, len(candidates)))

    def load(known: KnownUpstream) -> tuple[float, bool]:
        record = known.record
        own = dispatched.in_flight.get(record.upstream, 0)
        reported = record.load.running + record.load.queued
        return (
            max(own, reported) / record.capacity,
            record.data_centre != own_data_centre,
        )

    return min(pair, key=load)
