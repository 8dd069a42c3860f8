"""Pauses that upstreams ask for: longest one counts, bounds, new starts, ends."""

import pytest

from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.upstream_pauses import (
    MAX_PAUSE_S,
    UpstreamPauses,
    forget_pauses,
    paused_among,
    record_pause,
    time_to_first_end_s,
)


def record(name, incarnation=1):
    return UpstreamRecord(name, incarnation, 1, "s", "d", f"{name}:1", "", (), 8, 0)


A, B = record("a"), record("b")

# Pauses recorded at time 10, the time of the question, and who is paused then.
CASES = [
    ("none", [], 10.0, ""),
    ("asked for", [(A, 2.0)], 11.9, "a"),
    ("over", [(A, 2.0)], 12.0, ""),
    ("nothing asked", [(A, 0.0)], 10.0, ""),
    ("a shorter one comes later", [(A, 2.0), (A, 0.5)], 11.0, "a"),
    ("a longer one comes later", [(A, 0.5), (A, 2.0)], 11.0, "a"),
    ("both", [(A, 2.0), (B, 1.0)], 10.5, "ab"),
    ("of a former start", [(record("a", 0), 2.0)], 10.5, ""),
    ("hours", [(A, 7200.0)], 10.0 + MAX_PAUSE_S - 0.1, "a"),
    ("hours, beyond the bound", [(A, 7200.0)], 10.0 + MAX_PAUSE_S, ""),
]


@pytest.mark.parametrize(
    ("asked", "at", "paused"), [row[1:] for row in CASES], ids=[row[0] for row in CASES]
)
def test_upstreams_are_paused_for_as_long_as_they_asked(asked, at, paused):
    section = UpstreamPauses()
    for one, pause_s in asked:
        record_pause(section, one.process, pause_s, 10.0)
    assert paused_among(section, [A, B], at) == frozenset(paused)


@pytest.mark.parametrize(
    ("pauses", "left_s"),
    [({}, None), ({"a": 12.0}, None), ({"a": 12.0, "b": 11.0}, 1.0)],
)
def test_time_to_the_first_end_is_known_if_all_are_paused(pauses, left_s):
    section = UpstreamPauses({(name, 1): until for name, until in pauses.items()})
    assert time_to_first_end_s(section, [A, B], 10.0) == left_s


def test_no_upstream_is_no_pause():
    assert time_to_first_end_s(UpstreamPauses(), [], 10.0) is None


def test_pauses_that_ended_and_those_of_gone_upstreams_are_forgotten():
    section = UpstreamPauses({("a", 1): 12.0, ("b", 1): 9.0, ("c", 1): 12.0})
    forget_pauses(section, lambda process: process[0] != "c", 10.0)
    assert set(section.paused_until) == {("a", 1)}
