"""Which prompt parts are taken for the cause of crashes, without any I/O."""

import pytest

from cranberryfield.entry.quarantine.prompt_parts import (
    MAX_PARTS,
    PART_REFUSAL_S,
    RUN_SETTLED_S,
    crashing_part,
    digest_prompt_parts,
    record_settled_run,
    refused_until,
)
from cranberryfield.entry.quarantine.reports import make_full_report, merge_report
from cranberryfield.entry.quarantine.section import (
    MAX_CRASHES_OF_PART,
    MAX_FINGERPRINTS,
    RETENTION_S,
    Crash,
    QuarantineSection,
    forget_expired,
    record_completion,
    record_crash,
)

PARTS = ("first", "second", "third")
LATE = 10.0


def record_all(section, crashes):
    """Record crashes, each given as its time, upstream, request and prompt parts."""
    for at, upstream, request, parts in crashes:
        digests = tuple(part.encode() for part in parts.split())
        crash = Crash(upstream, 1, at, prompt_parts=digests)
        record_crash(section, request.encode(), crash)


def refused_parts(section, now=LATE):
    return [one for one in PARTS if crashing_part(section, [one.encode()], now)]


# Crashes as time, upstream, request and its prompt parts; beginnings of runs that got
# beyond them, as time and parts; and the parts that are refused then.
CASES = {
    "no crash": ([], [], []),
    "two crashes": (
        [(1, "a", "r1", "first second"), (2, "b", "r2", "first second")],
        [],
        [],
    ),
    "one part in common": (
        [
            (1, "a", "r1", "first second"),
            (2, "b", "r2", "other second"),
            (3, "c", "r3", "third second"),
        ],
        [],
        ["second"],
    ),
    "two parts in common, so the later one is the cause": (
        [(at, str(at), f"r{at}", "first second") for at in (1, 2, 3)],
        [],
        ["second"],
    ),
    "the first part is the cause, since the later ones differ": (
        [(at, str(at), f"r{at}", f"first x{at}") for at in (1, 2, 3)],
        [],
        ["first"],
    ),
    "a further crash that the later part does not explain": (
        [(at, str(at), f"r{at}", "first second") for at in (1, 2, 3)]
        + [(4, "4", "r4", "first third")],
        [],
        ["second"],
    ),
    "both are causes": (
        [(at, str(at), f"r{at}", "first second") for at in (1, 2, 3)]
        + [(at, str(at), f"r{at}", f"first x{at}") for at in (4, 5, 6)],
        [],
        ["first", "second"],
    ),
    "a single request explains all crashes": (
        [(at, str(at), "r1", "first second") for at in (1, 2, 3)]
        + [(2, "2", "r2", "first second")],
        [],
        [],
    ),
    "one request crashed three and another one the fourth": (
        [(at, str(at), "r1", "second") for at in (1, 2, 3)]
        + [(4, "4", "r2", "second")],
        [],
        ["second"],
    ),
    "several upstreams at the same moment": (
        [(1 + at / 20, str(at), f"r{at}", "first") for at in range(9)],
        [],
        [],
    ),
    "several upstreams at the same moment, and one later": (
        [(1 + at / 10, str(at), f"r{at}", "first") for at in range(4)]
        + [(2, "4", "r4", "first")],
        [],
        ["first"],
    ),
    "the same with a run in between": (
        [(1 + at / 10, str(at), f"r{at}", "first") for at in range(4)]
        + [(2, "4", "r4", "first")],
        [(1.5, "first")],
        [],
    ),
    "each crash counts once, by whichever host it is noticed": (
        [(at, "a", f"r{at}", "first") for at in (1, 2, 3)],
        [],
        [],
    ),
    "a run got beyond its beginning since": (
        [(at, str(at), f"r{at}", "first second") for at in (1, 2, 3)],
        [(2.5, "first other")],
        ["second"],
    ),
    "a run with the later part too": (
        [(at, str(at), f"r{at}", "first second") for at in (1, 2, 3)],
        [(2.5, "first second")],
        [],
    ),
    "it began before the crashes": (
        [(at, str(at), f"r{at}", "first second") for at in (1, 2, 3)],
        [(0.5, "first second")],
        ["second"],
    ),
    "three further crashes": (
        [(at, str(at), f"r{at}", "first second") for at in (1, 2, 3, 4, 5, 6)],
        [(3.5, "first second")],
        ["second"],
    ),
}


@pytest.mark.parametrize(
    ("crashes", "settled", "expected"), CASES.values(), ids=CASES.keys()
)
def test_which_parts_are_refused(crashes, settled, expected):
    section = QuarantineSection()
    record_all(section, crashes)
    for began_at, parts in settled:
        digests = [part.encode() for part in parts.split()]
        record_settled_run(section, digests, began_at, began_at + RUN_SETTLED_S)
    assert refused_parts(section) == expected


# Guards against hosts that decide differently since reports reach them late, twice or
# in another order.
@pytest.mark.parametrize(
    ("crashes", "settled", "expected"), CASES.values(), ids=CASES.keys()
)
def test_another_host_refuses_the_same_parts(crashes, settled, expected):
    section, other = QuarantineSection(), QuarantineSection()
    for began_at, parts in settled:
        record_all(section, [one for one in crashes if one[0] < began_at])
        digests = [part.encode() for part in parts.split()]
        record_settled_run(section, digests, began_at, began_at + RUN_SETTLED_S)
    for crash in reversed(crashes):
        record_all(section, [crash])
        report = make_full_report(section, LATE)
        merge_report(other, report, LATE)
    merge_report(other, make_full_report(section, LATE), LATE)
    assert refused_parts(section) == refused_parts(other) == expected


def repeated_crashes(times):
    section = QuarantineSection()
    record_all(section, [(at, str(at), f"r{at}", "first") for at in times])
    return section


# Times of crashes in seconds, and of the end of the refusal.
REFUSALS = [
    ((1.0, 2.0), float("-inf")),
    ((1.0, 2.0, 3.0), 3.0 + PART_REFUSAL_S),
    ((1.0, 2.0, 3.0, 64.0), 64.0 + 2 * PART_REFUSAL_S),
    ((1.0, 2.0, 3.0, 64.0, 190.0, 440.0), 440.0 + RETENTION_S),
]


# Guards against a part that was refused by mistake being refused for good, and against
# one that crashes each upstream on which it is tried again.
@pytest.mark.parametrize(("times", "until"), REFUSALS)
def test_how_long_a_part_is_refused(times, until):
    section = repeated_crashes(times)
    assert refused_until(section, b"first") == until
    assert refused_until(section, b"first") == until


def test_part_of_requests_that_ran_to_their_end_is_not_refused():
    section = repeated_crashes((1.0, 2.0, 3.0))
    assert refused_parts(section) == ["first"]
    record_completion(section, b"r2.0", 5.0)
    assert not refused_parts(section)


def test_parts_are_forgotten_with_their_requests():
    section = repeated_crashes((1.0, 2.0, 3.0))
    forget_expired(section, 3.0 + RETENTION_S)
    assert not section.part_crashes
    for number in range(MAX_FINGERPRINTS + 5):
        crash = Crash(str(number), 1, 1.0, prompt_parts=(b"p", b"%d" % number))
        record_crash(section, b"%d" % number, crash)
    assert len(section.part_crashes) == MAX_FINGERPRINTS + 1
    assert len(section.part_crashes[b"p"]) == MAX_CRASHES_OF_PART
    record_settled_run(section, [b"p"], 2.0, 2.5)
    assert b"p" not in section.part_crashes
    record_crash(section, b"late", Crash(str(number), 1, 1.0, prompt_parts=(b"p",)))
    assert b"p" not in section.part_crashes


# Ids of parts, and how many of them are considered.
PROMPTS = [([], 0), (["a"], 0), (["a", "b"], 1), (list("abcdefghijklmnopqrst"), 16)]


@pytest.mark.parametrize(("parts", "count"), PROMPTS)
def test_digests_of_shared_parts(parts, count):
    digests = digest_prompt_parts("drafts", parts)
    assert len(digests) == count <= MAX_PARTS
    assert digests == digest_prompt_parts("drafts", [*parts[:-1], "other"])[:count]
    assert not set(digests) & set(digest_prompt_parts("other service", parts))
