"""Which requests are refused after crashes of upstreams, without any I/O."""

import pytest

from cranberryfield.entry.quarantine.section import (
    COMPLETION_MEMORY_S,
    MAX_FINGERPRINTS,
    RETENTION_S,
    Crash,
    QuarantineSection,
    clear_crash,
    completed_recently,
    count_crashes,
    forget_expired,
    is_quarantined,
    must_be_isolated,
    quarantine_ends_at,
    record_completion,
    record_crash,
)

CULPRIT, OTHER = b"culprit", b"other"


def record_all(section, *crashes):
    """Record crashes, given as fingerprint, upstream and whether it had answered."""
    for at, (fingerprint, upstream, had_answered) in enumerate(crashes):
        record_crash(section, fingerprint, Crash(upstream, 1, at, had_answered))


def test_repeated_crash_report_counts_once():
    section = QuarantineSection()
    reports = [("u1", 1), ("u1", 1), ("u1", 2), ("u2", 1)]
    results = [record_crash(section, b"f", Crash(*crash, 5.0)) for crash in reports]
    assert (results, count_crashes(section, b"f")) == ([True, False, True, True], 3)
    record_crash(section, b"g", Crash("u1", 1, 4.0))
    assert section.crashed_at["u1", 1] == 4.0


# Crashes with a request in flight, whether its next run must be isolated, and whether
# it is refused.
CRASH_COUNTS = [
    (0, False, False),
    (1, False, False),
    (2, True, False),
    (3, False, True),
]


@pytest.mark.parametrize(("count", "is_isolated", "is_refused"), CRASH_COUNTS)
@pytest.mark.parametrize("had_answered", [False, True])
def test_who_is_refused_after_crashes(count, is_isolated, is_refused, had_answered):
    section = QuarantineSection()
    for upstream in "abc"[:count]:
        record_all(section, (CULPRIT, upstream, had_answered), (OTHER, "a", False))
    assert must_be_isolated(section, CULPRIT) is is_isolated
    assert is_quarantined(section, CULPRIT) is is_refused
    assert not is_quarantined(section, OTHER)


def test_a_request_that_ran_to_its_end_is_no_longer_suspected():
    section = QuarantineSection()
    record_all(section, (CULPRIT, "u1", False), (OTHER, "u1", False))
    record_all(section, (CULPRIT, "u2", False), (OTHER, "u2", False))
    assert record_completion(section, OTHER, 5.0)
    assert [count_crashes(section, one) for one in (CULPRIT, OTHER)] == [2, 0]


# Process of a crash that is reported after the request ran to its end following a
# crash of ("u1", 1), and how many count then.
LATE_REPORTS = [(("u1", 1), 0), (("u1", 2), 1), (("u2", 1), 1)]


@pytest.mark.parametrize(("process", "count"), LATE_REPORTS)
def test_crash_reported_after_a_completion(process, count):
    section = QuarantineSection()
    record_all(section, (OTHER, "u1", False))
    record_completion(section, OTHER, 5.0)
    record_crash(section, OTHER, Crash(*process, 4.0))
    assert count_crashes(section, OTHER) == count


# Guards against requests that many callers send with the same content, of which some
# are in flight in each crash: they would all be refused.
@pytest.mark.parametrize(
    ("after_s", "expected"), [(0.0, True), (COMPLETION_MEMORY_S, False)]
)
def test_request_that_ran_to_its_end_is_not_suspected_for_a_while(after_s, expected):
    section = QuarantineSection()
    record_completion(section, OTHER, 5.0)
    assert completed_recently(section, OTHER, 5.0 + after_s) is expected
    assert not completed_recently(section, CULPRIT, 5.0)


def test_old_completions_are_dropped():
    section = QuarantineSection()
    for at in (5.0, 6.0, 5.0 + COMPLETION_MEMORY_S):
        record_completion(section, str(at).encode(), at)
    assert list(section.completed_at.values()) == [6.0, 5.0 + COMPLETION_MEMORY_S]


def test_only_the_completion_of_a_suspect_is_recorded():
    section = QuarantineSection()
    assert not record_completion(section, OTHER, 5.0)
    assert not section.cleared
    results = [clear_crash(section, OTHER, ("u1", 1), at) for at in (5.0, 9.0)]
    assert results == [True, False]


# Guards against a flood of suspects that lets a quarantined request run again.
def test_fingerprints_are_bounded_and_the_quarantined_are_kept():
    section = QuarantineSection()
    record_all(section, *[(CULPRIT, upstream, False) for upstream in "abc"])
    for number in range(MAX_FINGERPRINTS + 5):
        record_crash(section, number.to_bytes(4), Crash("u3", number, 9.0))
        clear_crash(section, b"f", ("u3", number), 9.0)
        record_completion(section, b"c" + number.to_bytes(4), 9.0)
    assert len(section.crashes) == len(section.cleared) == MAX_FINGERPRINTS
    assert len(section.completed_at) == MAX_FINGERPRINTS
    assert count_crashes(section, (0).to_bytes(4)) == 0
    assert is_quarantined(section, CULPRIT)


def test_suspects_are_forgotten_after_the_retention_time():
    section = QuarantineSection()
    record_all(section, *[(CULPRIT, upstream, False) for upstream in "abc"])
    clear_crash(section, OTHER, ("u1", 1), 1.0)
    ends_at = quarantine_ends_at(section, CULPRIT)
    assert ends_at == 2.0 + RETENTION_S
    forget_expired(section, ends_at - 0.1)
    assert is_quarantined(section, CULPRIT)
    forget_expired(section, ends_at)
    assert not section.crashes
    assert not section.cleared
