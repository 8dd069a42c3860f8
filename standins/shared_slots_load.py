"""Loads of relays that share slots, and what came of them."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["LOADS", "Load", "SlotRun"]


@dataclass(frozen=True, slots=True)
class Load:
    """Load of the service, and what goes wrong.

    Attributes
    ----------
    relays : int
        Number of relays.
    rate_per_s, run_s : float
        Requests per second, and duration of an attempt in seconds.
    upstreams, stated, actual : int
        Number of upstreams, the slots that each states, and those that it has.
    workspaces : tuple of float
        Relative frequency of each workspace.
    burst : tuple of float
        Factor of the rate, and when it begins and ends, in seconds.
    repeating : float
        Fraction of callers that repeat refused requests at once.
    hot_session : float
        Fraction of the requests of the first workspace with the same session key.
    duration_s : float
        Time in which requests arrive, in seconds.
    fault : str
        ``frozen``, ``cut off``, ``dead`` for some relays, ``owner lost``, ``fewer
        slots``, ``more slots`` or none.
    """

    relays: int = 76
    rate_per_s: float = 78.5
    run_s: float = 0.045
    upstreams: int = 4
    stated: int = 6
    actual: int = 6
    workspaces: tuple[float, ...] = (1.0,) * 12
    burst: tuple[float, float, float] = (1.0, 0.0, 0.0)
    repeating: float = 0.0
    hot_session: float = 0.0
    duration_s: float = 20.0
    fault: str = ""


@dataclass(slots=True)
class SlotRun:
    """What has happened.

    Attributes
    ----------
    requests, in_target, late, failed : int
        Requests of callers, those answered within the target, answered later, and
        never answered.
    refused_attempts : int
        Attempts that upstreams have refused.
    messages, message_bytes : int
        Messages about slots, and their bytes as frames of their own.
    overused : int
        Times at which more leases of an upstream were valid than it states slots.
    late_grants, outlasted : int
        Grants that came too late to be used, and attempts that outlasted their lease.
    longest_fallback_s : float
        Longest time from an ask to an attempt that the relay chose by itself without
        waiting for room.
    slot_waits_s : list of float
        Time from each ask to the attempt, in seconds.
    answered_at : list of float
        Times of the answers, in seconds.
    served, asked : Counter
        Requests within the target, and all, by workspace, rank and session.
    """

    requests: int = 0
    in_target: int = 0
    late: int = 0
    failed: int = 0
    refused_attempts: int = 0
    messages: int = 0
    message_bytes: int = 0
    overused: int = 0
    late_grants: int = 0
    outlasted: int = 0
    longest_fallback_s: float = 0.0
    served: Counter = field(default_factory=Counter)
    asked: Counter = field(default_factory=Counter)
    answered_at: list[float] = field(default_factory=list)
    slot_waits_s: list[float] = field(default_factory=list)

    @property
    def share(self) -> float:
        """Fraction of the requests that were answered within the target."""
        return self.in_target / max(1, self.requests)

    @property
    def messages_each(self) -> float:
        """Messages for each request."""
        return self.messages / max(1, self.requests)

    def slot_wait_ms(self, fraction: float) -> float:
        """Return a quantile of the waits for a slot, in milliseconds."""
        waits_s = sorted(self.slot_waits_s) or [0.0]
        return 1000 * waits_s[int(fraction * (len(waits_s) - 1))]

    def fraction_served(self, key: tuple[str, object]) -> float:
        """Return the fraction of the requests with a key that met the target."""
        return self.served[key] / max(1, self.asked[key])


#: Loads of design note 0077.
LOADS = {
    "usual": Load(),
    "burst 1.7": Load(burst=(1.7, 5.0, 15.0)),
    "hot workspace": Load(workspaces=(7.5, *(1.0,) * 11)),
    "half the slots taken": Load(actual=3),
    "one upstream left": Load(upstreams=1),
    "one left, burst, repeating": Load(
        upstreams=1, burst=(1.7, 5.0, 15.0), repeating=0.3
    ),
    "one left, hot workspace": Load(
        upstreams=1, workspaces=(7.5, *(1.0,) * 11), repeating=0.3
    ),
}
