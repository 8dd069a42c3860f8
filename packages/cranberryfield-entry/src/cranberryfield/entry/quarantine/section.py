"""Requests that were in flight when upstreams crashed, and which are refused."""

from dataclasses import dataclass, field

from cranberryfield.core.ids import Incarnation, UpstreamId

__all__ = [
    "Crash",
    "QuarantineSection",
    "count_crashes",
    "forget_expired",
    "is_quarantined",
    "quarantine_ends_at",
    "record_completion",
    "record_crash",
]

#: Number of crashes with a request in flight after which it is refused.
MAX_CRASHES = 3
#: The same if no other request was in flight in all of these crashes.
MAX_UNSHARED_CRASHES = 2
#: Time after its last crash for which a request is remembered, in seconds.
RETENTION_S = 300.0
#: Maximum numbers of fingerprints and of crashes that are remembered.
MAX_FINGERPRINTS = 10_000
MAX_KNOWN_CRASHES = 1_000
#: Difference between the times at which hosts place one event, in seconds.
CLOCK_TOLERANCE_S = 0.5
#: Incarnation of upstreams that do not tell their starts apart.
UNKNOWN_INCARNATION = 0
#: Shortest time between two crashes of such an upstream, in seconds.
MIN_RESTART_S = 1.0


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of an upstream.

    Attributes
    ----------
    upstream, incarnation
        The process that crashed.
    at : float
        Monotonic time in seconds at which it was noticed.
    had_answered : bool
        Whether the run of the request had already begun its answer, which makes
        it less likely that the request caused the crash.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    at: float
    had_answered: bool = False

    @property
    def process(self) -> tuple[UpstreamId, Incarnation]:
        """The upstream and its incarnation."""
        return self.upstream, self.incarnation

    def is_same_as(self, other: "Crash") -> bool:
        """Return whether both describe one crash, noticed at different times."""
        if self.process != other.process:
            return False
        is_unique = self.incarnation != UNKNOWN_INCARNATION
        return is_unique or abs(self.at - other.at) < MIN_RESTART_S


@dataclass(slots=True)
class QuarantineSection:
    """Section of the blackboard: crashes and the requests in flight in them.

    Attributes
    ----------
    crashes : dict
        By request fingerprint, the crashes that the request was in flight in;
        the request with the latest crash is last.
    completed_at : dict
        By fingerprint, when a suspected request last ran to its end, as monotonic
        time in seconds. Its earlier crashes do not count.
    crashed_at : dict
        Earliest time at which each crash was noticed, by process.
    """

    crashes: dict[bytes, tuple[Crash, ...]] = field(default_factory=dict)
    completed_at: dict[bytes, float] = field(default_factory=dict)
    crashed_at: dict[tuple[UpstreamId, Incarnation], float] = field(
        default_factory=dict
    )


def record_crash(section: QuarantineSection, fingerprint: bytes, crash: Crash) -> bool:
    """Record that a request was in flight when an upstream crashed.

    Parameters
    ----------
    section : QuarantineSection
        Changed in place.
    fingerprint : bytes
        Fingerprint of the request.
    crash : Crash
        The crash; each counts once per request.

    Returns
    -------
    bool
        Whether the crash was not yet known for the request.
    """
    earliest_at = min(crash.at, section.crashed_at.pop(crash.process, crash.at))
    section.crashed_at[crash.process] = earliest_at
    while len(section.crashed_at) > MAX_KNOWN_CRASHES:
        del section.crashed_at[next(iter(section.crashed_at))]
    known = section.crashes.get(fingerprint, ())
    # A report of an earlier crash may arrive after that of the completion.
    is_cleared = crash.at <= section.completed_at.get(fingerprint, float("-inf"))
    if is_cleared or any(crash.is_same_as(one) for one in known):
        return False
    section.crashes.pop(fingerprint, None)
    section.crashes[fingerprint] = (*known, crash)
    if len(section.crashes) > MAX_FINGERPRINTS:
        del section.crashes[_least_suspected(section)]
    return True


def _least_suspected(section: QuarantineSection) -> bytes:
    """Return the oldest fingerprint with a single crash, else the oldest of all."""
    for fingerprint, crashes in section.crashes.items():
        if len(crashes) == 1:
            return fingerprint
    return next(iter(section.crashes))


def record_completion(
    section: QuarantineSection, fingerprint: bytes, at: float
) -> bool:
    """Record that a suspect ran to its end, so that its earlier crashes do not count.

    Parameters
    ----------
    section : QuarantineSection
        Changed in place.
    fingerprint : bytes
        Fingerprint of the request.
    at : float
        Monotonic time in seconds at which its run was complete.

    Returns
    -------
    bool
        Whether this was news. Hosts differ slightly in when they place the same
        completion, so one less than `CLOCK_TOLERANCE_S` later is not.
    """
    known = section.crashes.get(fingerprint, ())
    later = tuple(crash for crash in known if crash.at > at)
    if later:
        section.crashes[fingerprint] = later
    else:
        section.crashes.pop(fingerprint, None)
    known_at = section.completed_at.get(fingerprint, float("-inf"))
    is_later = at > known_at + CLOCK_TOLERANCE_S
    if is_later:
        section.completed_at.pop(fingerprint, None)
        section.completed_at[fingerprint] = at
    while len(section.completed_at) > MAX_FINGERPRINTS:
        del section.completed_at[next(iter(section.completed_at))]
    return is_later or len(later) < len(known)


def count_crashes(section: QuarantineSection, fingerprint: bytes) -> int:
    """Return the number of crashes that a request was in flight in."""
    return len(section.crashes.get(fingerprint, ()))


def is_quarantined(section: QuarantineSection, fingerprint: bytes) -> bool:
    """Return whether a request is refused because it crashes upstreams.

    After `MAX_CRASHES` crashes it always is. After `MAX_UNSHARED_CRASHES` before
    any answer it is unless another request was in flight in all of these: then
    either may be the cause, and both run once more.

    Examples
    --------
    >>> section = QuarantineSection()
    >>> def crash(fingerprint, upstream):
    ...     return record_crash(section, fingerprint, Crash(upstream, 1, 0.0))
    >>> [crash(one, "u1") for one in (b"a", b"b")]
    [True, True]
    >>> crash(b"a", "u2"), is_quarantined(section, b"a")
    (True, True)
    >>> crash(b"b", "u2"), is_quarantined(section, b"a")
    (True, False)
    """
    crashes = section.crashes.get(fingerprint, ())
    if len(crashes) >= MAX_CRASHES:
        return True
    processes = _processes_before_answer(crashes)
    if len(processes) < MAX_UNSHARED_CRASHES:
        return False
    return not any(
        processes <= _processes_before_answer(others)
        for other, others in section.crashes.items()
        if len(others) >= len(processes) and other != fingerprint
    )


def _processes_before_answer(
    crashes: tuple[Crash, ...],
) -> set[tuple[UpstreamId, Incarnation]]:
    return {crash.process for crash in crashes if not crash.had_answered}


def quarantine_ends_at(section: QuarantineSection, fingerprint: bytes) -> float:
    """Return the monotonic time in seconds at which a suspect is forgotten."""
    return max(crash.at for crash in section.crashes[fingerprint]) + RETENTION_S


def forget_expired(section: QuarantineSection, now: float) -> None:
    """Remove requests whose last crash, or completion, is `RETENTION_S` old."""
    for fingerprint in list(section.crashes):
        if quarantine_ends_at(section, fingerprint) <= now:
            del section.crashes[fingerprint]
    for fingerprint, at in list(section.completed_at.items()):
        if at + RETENTION_S <= now:
            del section.completed_at[fingerprint]
