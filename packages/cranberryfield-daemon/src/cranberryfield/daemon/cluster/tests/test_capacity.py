"""Orders over time: reclaim waves, changes of leader and returning callers."""

import anyio
import pytest

from cranberryfield.control.capacity.runners import (
    ON_DEMAND,
    RECLAIMABLE,
    Pool,
    RunnerCapacity,
)
from cranberryfield.core.deployment import (
    Deployment,
    EngineTraits,
    PriceOfRunners,
    ServiceSpec,
)
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.reports import HostReport, ServiceDemand
from cranberryfield.daemon.cluster.capacity import (
    SHRINK_AFTER_S,
    CapacityKeeper,
    count_pools,
)
from cranberryfield.daemon.cluster.duties import CloudCalls, DutyEnd, Fence
from cranberryfield.entry.registry import RegistryTable, accept_record
from cranberryfield.entry.reports.collector import CollectedReports, _ReceivedReport

PRICES = {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9}
SPEC = ServiceSpec(
    "drafts",
    engine=EngineTraits(32, 600_000),
    scaling=PriceOfRunners(1, 5, 4.0, 0.18, PRICES),
)
MODEL = RunnerCapacity()
TOKENS_PER_RUNNER = MODEL.prefill_tokens_per_s * MODEL.max_prefill_utilisation


class Scene:
    """Simulated leader, cloud and clock."""

    def __init__(self, on_demand=(), refuses=False):
        self.now = 100.0
        self.refuses = refuses
        self.table = RegistryTable()
        self.reports = CollectedReports()
        self.orders = []
        self.numbers = 0
        for centre in on_demand:
            self.start(Pool(centre, ON_DEMAND))
        calls = CloudCalls(None, self.order)
        self.keeper = CapacityKeeper(
            self.table,
            self.reports,
            self,
            calls,
            lambda: Deployment(1, services=(SPEC,)),
            lambda: self.now,
        )

    def fence(self):
        return Fence("c1", 1)

    def note_fenced(self, fence):
        raise AssertionError("no other leader exists in this simulation")

    def start(self, pool):
        self.numbers += 1
        record = UpstreamRecord(
            f"u{self.numbers}",
            1,
            1,
            "drafts",
            pool.data_centre,
            f"10.0.0.{self.numbers}:80",
            pool.machine_class,
            (),
            32,
            0,
        )
        accept_record(self.table, record, self.now)

    async def order(self, fence, service, pool, desired):
        self.orders.append((pool, desired))
        running = self.running(pool)
        is_more = desired > running
        if self.refuses and is_more and pool.machine_class == RECLAIMABLE:
            return DutyEnd.REFUSED
        for _ in range(desired - running):
            self.start(pool)
        self.take(pool, running - desired)
        return DutyEnd.DONE

    def take(self, pool, count):
        """Remove up to `count` upstreams of a pool."""
        found = [
            name
            for name, entry in self.table.entries.items()
            if (entry.record.data_centre, entry.record.machine_class)
            == (pool.data_centre, pool.machine_class)
        ]
        for name in found[: max(0, count)]:
            del self.table.entries[name]

    def running(self, pool):
        pools = count_pools(self.table, "drafts", self.now)
        return pools[pool].running if pool in pools else 0

    def total(self):
        return sum(
            state.running
            for state in count_pools(self.table, "drafts", self.now).values()
        )

    def demand(self, runners):
        tokens = runners * TOKENS_PER_RUNNER - 1.0
        report = HostReport(1, (), (), (ServiceDemand("drafts", tokens, 1.0),))
        self.reports.hosts["relay-1"] = _ReceivedReport(report, self.now)

    def play(self, seconds, runners=None):
        """Advance the clock, with demand for `runners` upstreams if given."""

        async def keep():
            for _ in range(int(seconds * 4)):
                self.now += 0.25
                for entry in self.table.entries.values():
                    entry.heard_at = self.now
                if runners is not None:
                    self.demand(runners)
                await self.keeper._keep(self.fence(), SPEC)

        anyio.run(keep)


def test_reclaimable_upstreams_replace_those_on_demand_before_callers_come():
    scene = Scene(on_demand="aabbcccdd")
    scene.play(3)
    pools = count_pools(scene.table, "drafts", scene.now)
    assert all(pool.machine_class == RECLAIMABLE for pool in pools)
    assert scene.total() >= 9


@pytest.mark.parametrize("runners", [2, 5])
def test_calm_load_is_carried_by_few_upstreams(runners):
    scene = Scene(on_demand="aabbcccdd")
    scene.play(3)
    scene.play(2 * SHRINK_AFTER_S, runners)
    assert runners <= scene.total() <= max(8, 3 * runners)


def test_callers_who_come_back_to_a_new_leader_find_what_there_was():
    scene = Scene(on_demand="aabbcccdd")
    scene.play(0.5 * SHRINK_AFTER_S, runners=1)
    assert scene.total() >= 9


def test_upstreams_that_a_leader_hears_of_later_count_for_what_was_needed():
    scene = Scene(on_demand="a")
    scene.play(0.25)
    for centre in "aaabbbbccccdddd":
        scene.start(Pool(centre, ON_DEMAND))
    scene.play(0.5 * SHRINK_AFTER_S)
    assert scene.total() >= 12


def test_a_wave_with_none_to_be_had_is_made_up_on_demand_at_once():
    scene = Scene()
    scene.play(2 * SHRINK_AFTER_S, runners=3)
    scene.refuses = True
    for centre in "ab":
        scene.take(Pool(centre, RECLAIMABLE), 9)
    scene.play(0.5, runners=3)
    on_demand = sum(scene.running(Pool(centre, ON_DEMAND)) for centre in PRICES)
    assert on_demand >= 3
    ordered = len(scene.orders)
    scene.play(1.5, runners=3)
    # Started upstreams are retained while no others are available.
    assert sum(scene.running(Pool(one, ON_DEMAND)) for one in PRICES) >= on_demand
    assert len(scene.orders) <= ordered + 4


def test_after_the_wave_reclaimable_upstreams_take_over_again():
    scene = Scene()
    scene.play(2 * SHRINK_AFTER_S, runners=3)
    scene.refuses = True
    scene.take(Pool("a", RECLAIMABLE), 9)
    scene.play(2, runners=3)
    scene.refuses = False
    scene.play(2 * SHRINK_AFTER_S, runners=3)
    assert sum(scene.running(Pool(one, ON_DEMAND)) for one in PRICES) == 0
    assert scene.total() >= 4
