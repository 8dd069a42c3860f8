"""Reports of suspected requests, and how a host merges them."""

from collections.abc import Collection
from dataclasses import dataclass

import xxhash

from cranberryfield.core.messages.quarantine import (
    ClearedCrash,
    CrashMark,
    SuspectReport,
)
from cranberryfield.entry.quarantine.section import (
    RETENTION_S,
    Crash,
    QuarantineSection,
    clear_crash,
    record_crash,
)

__all__ = [
    "MergedReport",
    "answer_comparison",
    "digest_suspects",
    "make_full_report",
    "make_report",
    "merge_report",
]

MS_PER_S = 1000
#: Age from which a crash is not learned any more, in seconds. Hosts forget it at
#: slightly different times, and would learn it from each other again.
MAX_LEARNED_AGE_S = RETENTION_S - 10.0


@dataclass(frozen=True, slots=True)
class MergedReport:
    """What a host has learned from a report.

    Attributes
    ----------
    crashes : list of tuple
        Fingerprints with the crashes that were not yet known for them.
    cleared : list of bytes
        Fingerprints and digests for which a crash was not yet known not to count.
    """

    crashes: list[tuple[bytes, Crash]]
    cleared: list[bytes]


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
    section: QuarantineSection, fingerprints: Collection[bytes], now: float
) -> SuspectReport:
    """Report what is known of some requests.

    Parameters
    ----------
    section : QuarantineSection
        Suspects known to this host.
    fingerprints : collection of bytes
        Requests, and prompt parts with cleared crashes, to report.
    now : float
        Monotonic time in seconds.
    """

    def age_ms(at: float) -> int:
        return int((now - at) * MS_PER_S)

    crashes = tuple(
        CrashMark(
            fingerprint,
            *one.process,
            age_ms(one.at),
            one.had_answered,
            one.prompt_parts,
        )
        for fingerprint in fingerprints
        for one in section.crashes.get(fingerprint, ())
    )
    cleared = tuple(
        ClearedCrash(fingerprint, *process, age_ms(at))
        for (fingerprint, process), at in section.cleared.items()
        if fingerprint in fingerprints
    )
    return SuspectReport(crashes, cleared)


def make_full_report(section: QuarantineSection, now: float) -> SuspectReport:
    """Report all that a host knows, with its digest."""
    known = section.crashes.keys() | {fingerprint for fingerprint, _ in section.cleared}
    report = make_report(section, known, now)
    return SuspectReport(report.crashes, report.cleared, digest_suspects(section))


def answer_comparison(
    section: QuarantineSection, digest: int, now: float
) -> SuspectReport:
    """Report all that a host knows, or only its digest if that is `digest`."""
    own_digest = digest_suspects(section)
    if digest == own_digest:
        return SuspectReport(digest=own_digest)
    return make_full_report(section, now)


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
    cleared = []
    for mark in report.cleared:
        at, process = now - mark.age_ms / MS_PER_S, (mark.upstream, mark.incarnation)
        if clear_crash(section, mark.fingerprint, process, at):
            cleared.append(mark.fingerprint)
    crashes = []
    for mark in report.crashes:
        age_s = mark.age_ms / MS_PER_S
        crash = Crash(
            mark.upstream,
            mark.incarnation,
            now - age_s,
            mark.had_answered,
            mark.prompt_parts,
        )
        is_recent = age_s < MAX_LEARNED_AGE_S
        if is_recent and record_crash(section, mark.fingerprint, crash):
            crashes.append((mark.fingerprint, crash))
    return MergedReport(crashes, cleared)
