"""Prompt parts that crash the upstreams which begin to answer requests with them.

Requests with such a part may differ in all else, so that each is a new one to the
quarantine of requests. A part counts as the cause if nothing else explains the crashes:
they lie apart in time, no single request was in flight in all of them, no run with the
part has got beyond its beginning since, and no later part of the prompts explains them.
"""

from collections.abc import Collection, Iterable
from hashlib import blake2b
from math import inf

from cranberryfield.core.ids import ServiceName, UpstreamProcess
from cranberryfield.entry.quarantine.section import (
    RETENTION_S,
    Crash,
    QuarantineSection,
    clear_crash,
)

__all__ = [
    "RUN_SETTLED_S",
    "crashing_part",
    "digest_prompt_parts",
    "part_crashes",
    "record_settled_run",
    "refused_until",
]

#: Time from the beginning of an answer after which a run has not been ended by a part
#: of its prompt, in seconds. Crashes that lie closer together count as one, since
#: sound runs with the part had no time to show that it is not the cause.
RUN_SETTLED_S = 0.5
#: Number of crashes, apart in time, after which requests with a part are refused.
MAX_PART_CRASHES = 3
#: The same if this many upstreams crashed, as one request may crash several at once.
MAX_CRASHES_OF_MANY = 2
MANY_UPSTREAMS = 5
#: Time for which they are refused, in seconds, doubled with each crash that follows.
#: A part that is refused by mistake, or has been mended, is tried again after it.
PART_REFUSAL_S = 60.0
#: Parts of a prompt that are considered.
MAX_PARTS = 16
DIGEST_BYTES = 8


def digest_prompt_parts(
    service: ServiceName, parts: Iterable[str]
) -> tuple[bytes, ...]:
    """Return digests of 8 bytes of the prompt parts that requests may share.

    Parameters
    ----------
    service : ServiceName
        Service that prefills the prompt.
    parts : iterable of str
        Ids of the parts in order. The last one belongs to a single request or
        session, and is left out.
    """
    shared = list(parts)[:-1][:MAX_PARTS]
    return tuple(
        blake2b(f"{service}\n{part}".encode(), digest_size=DIGEST_BYTES).digest()
        for part in shared
    )


def part_crashes(
    section: QuarantineSection, part: bytes
) -> dict[UpstreamProcess, Crash]:
    """Return the crashes that only a part explains, by process.

    Parameters
    ----------
    section : QuarantineSection
        Known crashes.
    part : bytes
        Digest of the part.
    """
    return _unexplained_crashes(section, part, {})


def _unexplained_crashes(
    section: QuarantineSection,
    part: bytes,
    known: dict[bytes, dict[UpstreamProcess, Crash]],
) -> dict[UpstreamProcess, Crash]:
    """Return the crashes of a part; `known` keeps those of the parts behind it."""
    if part in known:
        return known[part]
    known[part] = {}
    crashes: dict[UpstreamProcess, Crash] = {}
    suspects: dict[bytes, set[UpstreamProcess]] = {}
    for process, fingerprints in section.part_crashes.get(part, {}).items():
        for fingerprint in fingerprints:
            crash = _crash_of(section, fingerprint, process)
            later = crash.prompt_parts[crash.prompt_parts.index(part) + 1 :]
            if any(
                _is_cause(_unexplained_crashes(section, one, known)) for one in later
            ):
                continue
            suspects.setdefault(fingerprint, set()).add(process)
            if process not in crashes or crash.at < crashes[process].at:
                crashes[process] = crash
    if any(len(processes) == len(crashes) for processes in suspects.values()):
        crashes = {}
    known[part] = crashes
    return crashes


def _crash_of(
    section: QuarantineSection, fingerprint: bytes, process: UpstreamProcess
) -> Crash:
    return next(
        crash for crash in section.crashes[fingerprint] if crash.process == process
    )


def _is_cause(crashes: dict[UpstreamProcess, Crash]) -> bool:
    """Return whether crashes that only a part explains are too many for chance."""
    moments = _count_moments(crashes.values())
    limit = MAX_PART_CRASHES if len(crashes) < MANY_UPSTREAMS else MAX_CRASHES_OF_MANY
    return moments >= limit


def _count_moments(crashes: Iterable[Crash]) -> int:
    """Return the number of crashes that lie at least `RUN_SETTLED_S` apart."""
    count, counted_at = 0, -inf
    for at in sorted(crash.at for crash in crashes):
        if at - counted_at >= RUN_SETTLED_S:
            count, counted_at = count + 1, at
    return count


def refused_until(section: QuarantineSection, part: bytes) -> float:
    """Return until when requests with a part are refused.

    Parameters
    ----------
    section : QuarantineSection
        Known crashes.
    part : bytes
        Digest of the part.

    Returns
    -------
    float
        Monotonic time in seconds; minus infinity if they never were.

    Examples
    --------
    >>> from cranberryfield.entry.quarantine.section import record_crash
    >>> section = QuarantineSection()
    >>> for number, at in enumerate((1.0, 2.0, 3.0)):
    ...     crash = Crash(f"u{number}", 1, at, prompt_parts=(b"p",))
    ...     is_new = record_crash(section, f"request {number}".encode(), crash)
    >>> refused_until(section, b"p")
    63.0
    """
    if part not in section.part_crashes:
        return -inf
    until = section.part_refusals.get(part)
    if until is None:
        until = section.part_refusals[part] = _compute_refusal(section, part)
    return until


def _compute_refusal(section: QuarantineSection, part: bytes) -> float:
    crashes = part_crashes(section, part)
    if not _is_cause(crashes):
        return -inf
    repeats = max(0, _count_moments(crashes.values()) - MAX_PART_CRASHES)
    last_at = max(crash.at for crash in crashes.values())
    return last_at + min(RETENTION_S, PART_REFUSAL_S * 2**repeats)


def crashing_part(
    section: QuarantineSection, parts: Collection[bytes], now: float
) -> bytes | None:
    """Return the part for which a request is refused now; None if there is none.

    Parameters
    ----------
    section : QuarantineSection
        Known crashes.
    parts : collection of bytes
        Digests of the request's prompt parts.
    now : float
        Monotonic time in seconds.
    """
    for part in parts:
        if refused_until(section, part) > now:
            return part
    return None


def record_settled_run(
    section: QuarantineSection, parts: Collection[bytes], began_at: float, now: float
) -> list[bytes]:
    """Record that a run has got beyond its beginning; crashes before do not count.

    Parameters
    ----------
    section : QuarantineSection
        Changed in place.
    parts : collection of bytes
        Digests of the prompt parts of its request.
    began_at : float
        Monotonic time in seconds at which its answer began.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of bytes
        The parts for which a crash does not count any more.
    """
    cleared = []
    for part in parts:
        processes = [
            process
            for process, fingerprints in section.part_crashes.get(part, {}).items()
            if any(
                _crash_of(section, fingerprint, process).at < began_at
                for fingerprint in fingerprints
            )
        ]
        for process in processes:
            clear_crash(section, part, process, now)
        if processes:
            cleared.append(part)
    return cleared
