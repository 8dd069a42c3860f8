"""Reports of suspected requests, and how a host merges them."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from cranberryfield.core.messages.quarantine import (
    CompletionMark,
    CrashMark,
    SuspectReport,
)
from cranberryfield.entry.quarantine.section import (
    RETENTION_S,
    Crash,
    QuarantineSection,
    record_completion,
    record_crash,
)

__all__ = [
    "MergedReport",
    "digest_suspects",
    "make_full_report",
    "make_report",
    "merge_report",
]

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class MergedReport:
    """What a host has learned from a report.

    Attributes
    ----------
    crashes : list of tuple
        Fingerprints with the crashes that were not yet known for them.
    completed : list of bytes
        Fingerprints of suspects of which a completion was not yet known.
    """

    crashes: list[tuple[bytes, Crash]]
    completed: list[bytes]


def digest_suspects(section: QuarantineSection) -> int:
    """Return a hash of all suspects and their crashes, regardless of order.

    Examples
    --------
    >>> digest_suspects(QuarantineSection())
    0
    """
    total = 0
    for fingerprint, crashes in section.crashes.items():
        for crash in crashes:
            text = f"{crash.upstream}\0{crash.incarnation}".encode()
            total += xxhash.xxh64_intdigest(fingerprint + text)
    return total % (1 << 64)


def make_report(
    section: QuarantineSection, fingerprints: Iterable[bytes], now: float
) -> SuspectReport:
    """Report what is known of some requests.

    Parameters
    ----------
    section : QuarantineSection
        Suspects known to this host.
    fingerprints : iterable of bytes
        Requests to report.
    now : float
        Monotonic time in seconds.
    """
    crashes, completions = [], []
    for fingerprint in fingerprints:
        completed_at = section.completed_at.get(fingerprint)
        if completed_at is not None:
            age_ms = int((now - completed_at) * MS_PER_S)
            completions.append(CompletionMark(fingerprint, age_ms))
        for crash in section.crashes.get(fingerprint, ()):
            age_ms = int((now - crash.at) * MS_PER_S)
            crashes.append(
                CrashMark(fingerprint, *crash.process, age_ms, crash.had_answered)
            )
    return SuspectReport(tuple(crashes), tuple(completions))


def make_full_report(section: QuarantineSection, now: float) -> SuspectReport:
    """Report all that a host knows, with its digest."""
    known = section.completed_at.keys() | section.crashes.keys()
    report = make_report(section, sorted(known), now)
    return SuspectReport(report.crashes, report.completions, digest_suspects(section))


def merge_report(
    section: QuarantineSection, report: SuspectReport, now: float
) -> MergedReport:
    """Merge the report of another host.

    Parameters
    ----------
    section : QuarantineSection
        Changed in place.
    report : SuspectReport
        What the other host knows. Reports may be lost, repeated and reordered.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    MergedReport
        What was not yet known, which other hosts may not know either.
    """
    completed = [
        mark.fingerprint
        for mark in report.completions
        if record_completion(section, mark.fingerprint, now - mark.age_ms / MS_PER_S)
    ]
    crashes = []
    for mark in report.crashes:
        age_s = mark.age_ms / MS_PER_S
        crash = Crash(mark.upstream, mark.incarnation, now - age_s, mark.had_answered)
        is_expired = age_s >= RETENTION_S
        if not is_expired and record_crash(section, mark.fingerprint, crash):
            crashes.append((mark.fingerprint, crash))
    return MergedReport(crashes, completed)
