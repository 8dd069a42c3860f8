"""Requests that were in flight when upstreams crashed, and which are refused."""

from dataclasses import dataclass, field
from math import inf

from cranberryfield.core.ids import Incarnation, UpstreamId, UpstreamProcess

__all__ = [
    "Crash",
    "QuarantineSection",
    "clear_crash",
    "completed_recently",
    "count_crashes",
    "forget_expired",
    "is_quarantined",
    "must_be_isolated",
    "quarantine_ends_at",
    "record_completion",
    "record_crash",
]

#: Number of crashes with a request in flight after which it is refused. Innocent
#: requests may be in flight in two, beside crashing ones.
MAX_CRASHES = 3
#: Time after its last crash for which a request is remembered, in seconds.
RETENTION_S = 300.0
#: Time after its end for which a request is not suspected, in seconds.
COMPLETION_MEMORY_S = 30.0
#: Maximum numbers of fingerprints and of crashes that are remembered.
MAX_FINGERPRINTS = 10_000
MAX_KNOWN_CRASHES = 1_000
#: Latest crashes that are considered for a prompt part, and requests in each of them.
MAX_CRASHES_OF_PART = 16
MAX_REQUESTS_OF_PART = 8


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of an upstream process.

    Attributes
    ----------
    upstream, incarnation
        The process that crashed.
    at : float
        Monotonic time in seconds at which it was noticed.
    had_answered : bool
        Whether the run of the request had already begun its answer, which makes
        it less likely that the request caused the crash.
    prompt_parts : tuple of bytes
        Digests of the prompt parts, in order, that may have caused the crash; none
        if the run had got beyond its beginning.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    at: float
    had_answered: bool = False
    prompt_parts: tuple[bytes, ...] = ()

    @property
    def process(self) -> UpstreamProcess:
        """The process that crashed, which identifies the crash."""
        return self.upstream, self.incarnation


@dataclass(slots=True)
class QuarantineSection:
    """Section of the blackboard: crashes and the requests in flight in them.

    Attributes
    ----------
    crashes : dict
        By request fingerprint, the crashes that the request was in flight in;
        the request with the latest crash is last.
    completed_at : dict
        When requests last ran to their end on this host, by fingerprint, as
        monotonic time in seconds; the latest is last.
    cleared : dict
        Crashes that do not count for a request, as it ran to its end later, or for
        a prompt part, as a run with it got beyond its beginning: by fingerprint or
        digest and process, the monotonic time in seconds of that.
    crashed_at : dict
        Earliest time at which each crash was noticed, by process.
    part_crashes : dict
        By digest of a prompt part and by process, the fingerprints of the requests in
        `crashes` with which the part may have caused the crash. Crashes that do not
        count for the part are not in it, nor more than are needed to decide.
    part_refusals : dict
        By digest of a prompt part, until when requests with it are refused, as
        monotonic time in seconds; computed when asked for, until the next change.
    """

    crashes: dict[bytes, tuple[Crash, ...]] = field(default_factory=dict)
    completed_at: dict[bytes, float] = field(default_factory=dict)
    cleared: dict[tuple[bytes, UpstreamProcess], float] = field(default_factory=dict)
    crashed_at: dict[UpstreamProcess, float] = field(default_factory=dict)
    part_crashes: dict[bytes, dict[UpstreamProcess, set[bytes]]] = field(
        default_factory=dict
    )
    part_refusals: dict[bytes, float] = field(default_factory=dict)


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
    is_known = any(crash.process == one.process for one in known)
    if is_known or (fingerprint, crash.process) in section.cleared:
        return False
    section.crashes.pop(fingerprint, None)
    section.crashes[fingerprint] = (*known, crash)
    section.part_refusals.clear()
    for part in crash.prompt_parts:
        if (part, crash.process) not in section.cleared:
            _add_part_crash(section, part, fingerprint, crash)
    if len(section.crashes) > MAX_FINGERPRINTS:
        _remove_request(section, _least_suspected(section))
    return True


def _add_part_crash(
    section: QuarantineSection, part: bytes, fingerprint: bytes, crash: Crash
) -> None:
    processes = section.part_crashes.setdefault(part, {})
    requests = processes.setdefault(crash.process, set())
    if len(requests) < MAX_REQUESTS_OF_PART:
        requests.add(fingerprint)
    while len(processes) > MAX_CRASHES_OF_PART:
        del processes[next(iter(processes))]


def _remove_request(section: QuarantineSection, fingerprint: bytes) -> None:
    """Forget the crashes of a request."""
    section.part_refusals.clear()
    for crash in section.crashes.pop(fingerprint, ()):
        _remove_from_parts(section, fingerprint, crash)


def _remove_from_parts(
    section: QuarantineSection, fingerprint: bytes, crash: Crash
) -> None:
    """Remove a crash of a request from those of its prompt parts."""
    for part in crash.prompt_parts:
        requests = section.part_crashes.get(part, {}).get(crash.process, set())
        requests.discard(fingerprint)
        if not requests:
            _remove_part_crash(section, part, crash.process)


def _remove_part_crash(
    section: QuarantineSection, part: bytes, process: UpstreamProcess
) -> None:
    processes = section.part_crashes.get(part, {})
    processes.pop(process, None)
    if not processes:
        section.part_crashes.pop(part, None)


def _least_suspected(section: QuarantineSection) -> bytes:
    """Return the oldest fingerprint with a single crash, else the oldest of all."""
    for fingerprint, crashes in section.crashes.items():
        if len(crashes) == 1:
            return fingerprint
    return next(iter(section.crashes))


def record_completion(
    section: QuarantineSection, fingerprint: bytes, at: float
) -> bool:
    """Record that a request of this host ran to its end; its crashes do not count.

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
        Whether the request was suspected.
    """
    section.completed_at.pop(fingerprint, None)
    section.completed_at[fingerprint] = at
    _forget_completions(section, at)
    crashes = section.crashes.get(fingerprint, ())
    for crash in crashes:
        clear_crash(section, fingerprint, crash.process, at)
    return bool(crashes)


def _forget_completions(section: QuarantineSection, now: float) -> None:
    completed_at = section.completed_at
    while completed_at:
        oldest = next(iter(completed_at))
        is_expired = now - completed_at[oldest] >= COMPLETION_MEMORY_S
        if not is_expired and len(completed_at) <= MAX_FINGERPRINTS:
            return
        del completed_at[oldest]


def completed_recently(
    section: QuarantineSection, fingerprint: bytes, now: float
) -> bool:
    """Return whether an equal request ran to its end on this host not long ago.

    Callers may send many requests with the same content. Some of them are in flight
    in each crash, without being its cause.
    """
    return now - section.completed_at.get(fingerprint, -inf) < COMPLETION_MEMORY_S


def clear_crash(
    section: QuarantineSection,
    fingerprint: bytes,
    process: UpstreamProcess,
    at: float,
) -> bool:
    """Record that one crash does not count for a request or a prompt part.

    Parameters
    ----------
    section : QuarantineSection
        Changed in place.
    fingerprint : bytes
        Fingerprint of the request, or digest of the part.
    process : tuple
        The upstream that crashed and its incarnation.
    at : float
        Monotonic time in seconds at which the request ran to its end.

    Returns
    -------
    bool
        Whether this was not yet known.
    """
    _remove_part_crash(section, fingerprint, process)
    known = section.crashes.get(fingerprint, ())
    for crash in known:
        if crash.process == process:
            _remove_from_parts(section, fingerprint, crash)
    remaining = tuple(crash for crash in known if crash.process != process)
    if remaining:
        section.crashes[fingerprint] = remaining
    else:
        _remove_request(section, fingerprint)
    key = (fingerprint, process)
    if key in section.cleared:
        return False
    section.part_refusals.clear()
    section.cleared[key] = at
    while len(section.cleared) > MAX_FINGERPRINTS:
        del section.cleared[next(iter(section.cleared))]
    return True


def count_crashes(section: QuarantineSection, fingerprint: bytes) -> int:
    """Return the number of crashes that a request was in flight in."""
    return len(section.crashes.get(fingerprint, ()))


def is_quarantined(
    section: QuarantineSection, fingerprint: bytes, max_crashes: int = MAX_CRASHES
) -> bool:
    """Return whether a request is refused because it crashes upstreams.

    Examples
    --------
    >>> section = QuarantineSection()
    >>> for upstream in ("u1", "u2"):
    ...     is_new = record_crash(section, b"f", Crash(upstream, 1, 0.0))
    >>> is_quarantined(section, b"f"), is_quarantined(section, b"f", 2)
    (False, True)
    """
    return count_crashes(section, fingerprint) >= max_crashes


def must_be_isolated(section: QuarantineSection, fingerprint: bytes) -> bool:
    """Return whether the next crash decides whether a request is refused.

    Innocent requests that were in flight in the same crashes must not be in flight
    in that one too.
    """
    return count_crashes(section, fingerprint) == MAX_CRASHES - 1


def quarantine_ends_at(section: QuarantineSection, fingerprint: bytes) -> float:
    """Return the monotonic time in seconds at which a suspect is forgotten."""
    return max(crash.at for crash in section.crashes[fingerprint]) + RETENTION_S


def forget_expired(section: QuarantineSection, now: float) -> None:
    """Remove requests whose last crash, or completion, is `RETENTION_S` old."""
    for fingerprint in list(section.crashes):
        if quarantine_ends_at(section, fingerprint) <= now:
            _remove_request(section, fingerprint)
    for key, at in list(section.cleared.items()):
        if at + RETENTION_S <= now:
            del section.cleared[key]
