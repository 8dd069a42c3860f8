"""Keeps upstreams that fail if they have to refuse too many requests from doing so."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import xxhash

from cranberryfield.core.ids import NodeId, UpstreamId, UpstreamProcess
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.loads import LoadSection

__all__ = [
    "BrittleUpstreams",
    "forget_brittle",
    "record_brittle_answer",
    "record_brittle_refusal",
    "without_room_among",
]

#: Time for which hosts take turns at a brittle upstream with fewer slots than hosts, in
#: seconds.
TURN_S = 1.0
#: Shortest time for which a host sends nothing to a brittle upstream that has refused
#: one of its requests, in seconds.
MIN_REFUSAL_PAUSE_S = 1.0
#: Fraction of the refusals that an upstream bears which all hosts together may cause.
REFUSAL_FRACTION = 0.5


@dataclass(slots=True)
class BrittleUpstreams:
    """Section of the blackboard: upstreams that bear few refusals.

    Attributes
    ----------
    tolerated : dict
        By process, the requests per second that it can refuse without failing, and the
        monotonic time in seconds at which it last said so.
    refused_until : dict
        By process, the monotonic time in seconds until which this host sends it nothing
        because it has refused a request.
    """

    tolerated: dict[UpstreamProcess, tuple[float, float]] = field(default_factory=dict)
    refused_until: dict[UpstreamProcess, float] = field(default_factory=dict)


def record_brittle_answer(
    section: BrittleUpstreams,
    process: UpstreamProcess,
    refusals_per_s: float | None,
    sent_at: float,
    now: float,
) -> bool:
    """Record what an answer says of the refusals that its upstream bears.

    Parameters
    ----------
    section : BrittleUpstreams
        Changed in place.
    process : tuple
        The upstream that answered and its incarnation.
    refusals_per_s : float or None
        Requests per second that it can refuse; None if it does not say that it is
        brittle. That counts only in answers to requests sent after it last said so, as
        answers may overtake each other.
    sent_at, now : float
        When the request was sent, and the current time, monotonic, in seconds.

    Returns
    -------
    bool
        Whether the upstream has become brittle or has ceased to be.

    Examples
    --------
    >>> section, process = BrittleUpstreams(), ("engine-1", 1)
    >>> record_brittle_answer(section, process, 4.0, sent_at=1.0, now=2.0)
    True
    >>> record_brittle_answer(section, process, None, sent_at=1.5, now=2.5)
    False
    >>> record_brittle_answer(section, process, None, sent_at=3.0, now=3.5)
    True
    """
    known = section.tolerated.get(process)
    if refusals_per_s is not None:
        section.tolerated[process] = (refusals_per_s, now)
        return known is None
    if known is None or sent_at <= known[1]:
        return False
    del section.tolerated[process]
    section.refused_until.pop(process, None)
    return True


def record_brittle_refusal(
    section: BrittleUpstreams, process: UpstreamProcess, host_count: int, now: float
) -> None:
    """Record that an upstream has refused a request of this host for want of room.

    If it is brittle, this host sends it nothing for so long that all hosts together
    cause no more refusals than it bears.
    """
    known = section.tolerated.get(process)
    if known is None:
        return
    allowed_per_s = REFUSAL_FRACTION * max(1.0, known[0])
    pause_s = max(MIN_REFUSAL_PAUSE_S, host_count / allowed_per_s)
    section.refused_until[process] = now + pause_s


def without_room_among(
    section: BrittleUpstreams,
    candidates: Iterable[UpstreamRecord],
    loads: LoadSection,
    host: NodeId,
    host_count: int,
    now: float,
) -> frozenset[UpstreamId]:
    """Return the brittle upstreams that might refuse one more request of this host.

    Each host uses an equal part of the slots, as reports of the others' requests are
    late. With fewer slots than hosts, the hosts take turns.

    Parameters
    ----------
    section : BrittleUpstreams
        Which upstreams are brittle.
    candidates : iterable of UpstreamRecord
        Upstreams to check.
    loads : LoadSection
        Requests of this host in progress.
    host : NodeId
        This host.
    host_count : int
        Number of hosts that send them requests.
    now : float
        Monotonic time in seconds.
    """
    if not section.tolerated:
        return frozenset()
    return frozenset(
        one.upstream
        for one in candidates
        if one.process in section.tolerated
        and (
            len(loads.load_of(one.upstream).own_attempts)
            >= _part_of_slots(one, host, host_count, now)
            or section.refused_until.get(one.process, now) > now
        )
    )


def _part_of_slots(
    record: UpstreamRecord, host: NodeId, host_count: int, now: float
) -> int:
    slots, hosts = max(1, record.capacity), max(1, host_count)
    if slots >= hosts:
        return slots // hosts
    turns = math.ceil(hosts / slots)
    offset = xxhash.xxh64_intdigest(f"{host}\0{record.upstream}".encode())
    return 1 if (offset + int(now / TURN_S)) % turns == 0 else 0


def forget_brittle(
    section: BrittleUpstreams, is_live: Callable[[UpstreamProcess], bool]
) -> None:
    """Remove upstreams that are gone."""
    for process in [one for one in section.tolerated if not is_live(one)]:
        del section.tolerated[process]
        section.refused_until.pop(process, None)
