"""Many relays before few slots, in virtual time: with shared slots and without.

The load is that of docs/work-plan.md, part S: 78.5 requests a second of 45 ms, 4
upstreams of 6 slots, target 218 ms.
"""

from dataclasses import replace

import pytest

from standins.shared_slots import run_relays
from standins.shared_slots_load import LOADS, Load

RELAYS = [76, 360]
SEEDS = [1, 2]
DURATION_S = 10.0
FULL_BURST = (1.7, 2.0, 8.0)


def run(load, seed, is_shared):
    burst = FULL_BURST if load.burst[0] > 1.0 else load.burst
    load = replace(load, duration_s=DURATION_S, burst=burst)
    return run_relays(load, seed, is_shared)


# Load, smallest share within the target, and most attempts that upstreams refuse, as a
# fraction of the requests.
LOAD_ROWS = [
    ("usual", 0.999, 0.0),
    ("burst 1.7", 0.999, 0.0),
    ("hot workspace", 0.999, 0.0),
    # Upstreams with half of the slots that they state: one refusal now and then shows
    # that the slots are still taken.
    ("half the slots taken", 0.99, 0.01),
    ("one upstream left", 0.99, 0.0),
    # Beyond the room there is.
    ("one left, burst, repeating", 0.75, 0.0),
    ("one left, hot workspace", 0.85, 0.0),
]


# Guards against requests that miss their target, or are refused by full upstreams,
# while other upstreams have room.
@pytest.mark.parametrize("relays", RELAYS)
@pytest.mark.parametrize(("name", "share", "refused"), LOAD_ROWS)
def test_requests_meet_their_target_without_refusals(name, share, refused, relays):
    load = replace(LOADS[name], relays=relays)
    for seed in SEEDS:
        after, before = run(load, seed, True), run(load, seed, False)
        assert after.share >= max(share, before.share)
        assert after.refused_attempts <= refused * after.requests
        assert after.refused_attempts <= before.refused_attempts
        assert after.failed <= before.failed
        assert after.messages_each < 10.0
        assert after.overused == 0


# Guards against a table that today's choice would pass as well.
@pytest.mark.parametrize(("name", "share", "refused"), LOAD_ROWS[1:])
def test_the_loads_are_hard_for_todays_choice(name, share, refused):
    before = run(LOADS[name], 1, False)
    is_refused = before.refused_attempts > refused * before.requests
    assert is_refused or before.share < share


FAULTS = ["frozen", "cut off", "dead", "owner lost", "fewer slots", "more slots"]


# Guards against slots that are lent twice, or lost, by a fault of a host or its link.
@pytest.mark.parametrize("relays", RELAYS)
@pytest.mark.parametrize("fault", FAULTS)
def test_one_failure_at_a_time(fault, relays):
    load = Load(relays=relays, upstreams=2, fault=fault)
    for seed in SEEDS:
        after, before = run(load, seed, True), run(load, seed, False)
        assert after.overused == 0
        assert after.longest_fallback_s <= 0.1
        # What is on frozen relays waits for them, with either choice.
        assert after.share >= before.share - 0.01
        assert after.refused_attempts <= before.refused_attempts
        last_s = [one for one in after.answered_at if one > DURATION_S - 2.0]
        assert len(last_s) > 0.9 * 2.0 * load.rate_per_s


# Guards against a workspace, a class or a session that is starved by a hot one.
@pytest.mark.parametrize("relays", RELAYS)
@pytest.mark.parametrize(
    "load",
    [
        Load(upstreams=1, workspaces=(7.5, *(1.0,) * 11), repeating=0.3),
        Load(upstreams=1, workspaces=(7.5, *(1.0,) * 11), repeating=1.0),
        Load(upstreams=1, workspaces=(30.0, *(1.0,) * 11), repeating=0.3),
        Load(upstreams=1, rate_per_s=200.0, workspaces=(1.0,), hot_session=0.9),
    ],
    ids=["hot workspace", "all repeat", "hotter workspace", "hot session"],
)
def test_nobody_is_starved(load, relays):
    for seed in SEEDS:
        result = run(replace(load, relays=relays), seed, True)
        for workspace in [f"w{number}" for number in range(1, len(load.workspaces))]:
            assert result.fraction_served(("workspace", workspace)) > 0.9
        all_served = result.share
        for key in (("rank", 1), ("rank", 2), ("session", ""), ("workspace", "w0")):
            assert result.fraction_served(key) >= all_served / 4
