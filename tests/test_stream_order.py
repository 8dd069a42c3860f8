"""Streams on kept connections that are taken up at other relays, under faults."""

import pytest

from tests.stream_order import Profile, play

SECONDS = 10.0
#: Joined the text of failures to streams until relays checked what goes on with them.
SEEDS = [1, 4]


# Guards against ORDER and MIXED: runners that reset streams and fail requests, while
# relays and control hosts are killed, stopped, suspended and cut off.
@pytest.mark.parametrize("seed", SEEDS)
def test_events_of_streams_come_in_order(tmp_path, seed):
    outcome = play(tmp_path, seed, SECONDS, Profile())
    assert outcome.broken == [], outcome.faults
    assert outcome.whole
    assert outcome.played["resets"]
    assert outcome.played["fails"]
