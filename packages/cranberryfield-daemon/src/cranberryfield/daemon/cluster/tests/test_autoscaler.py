"""Orders over time: reclaim waves, changes of leader and returning callers."""

import anyio
import pytest

from cranberryfield.control.capacity.runners import (
    ON_DEMAND,
    RECLAIMABLE,
    Pool,
    RunnerCapacity,
    plan_runners,
)
from cranberryfield.core.deployment import (
    Deployment,
    EngineCapacity,
    ScalingSpec,
    ServiceSpec,
)
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.reports import HostReport, ServiceDemand
from cranberryfield.daemon.cluster import autoscaler
from cranberryfield.daemon.cluster.autoscaler import (
    SCALE_DOWN_DELAY_S,
    UpstreamAutoscaler,
    count_upstreams,
)
from cranberryfield.daemon.cluster.cloud import CallOutcome, CloudClient, FencingToken
from cranberryfield.entry.registry import RegistryTable, accept_record
from cranberryfield.entry.reports.collector import CollectedReports, record_report

PRICES = {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9}
SPEC = ServiceSpec(
    "drafts",
    engine=EngineCapacity(32, 600_000),
    scaling=ScalingSpec(1, 5, 4.0, 0.18, PRICES),
)
CAPACITY = RunnerCapacity()
TOKENS_PER_RUNNER = CAPACITY.prefill_tokens_per_s * CAPACITY.max_prefill_utilisation


class Simulation:
    """Simulated leader, cloud and clock."""

    def __init__(self, on_demand=(), is_exhausted=False):
        self.now = 100.0
        self.is_exhausted = is_exhausted
        self.table = RegistryTable()
        self.reports = CollectedReports()
        self.orders = []
        self.started = 0
        for centre in on_demand:
            self.start(Pool(centre, ON_DEMAND))
        cloud = CloudClient(None, self.order_upstreams)
        self.autoscaler = UpstreamAutoscaler(
            self.table,
            self.reports,
            self,
            cloud,
            lambda: Deployment(1, services=(SPEC,)),
            lambda: self.now,
        )

    def issue_token(self):
        return FencingToken("c1", 1)

    def on_token_rejected(self, token):
        raise AssertionError("no other leader exists in this simulation")

    def start(self, pool):
        self.started += 1
        record = UpstreamRecord(
            f"u{self.started}",
            1,
            1,
            "drafts",
            pool.data_centre,
            f"10.0.0.{self.started}:80",
            pool.machine_class,
            (),
            32,
            0,
        )
        accept_record(self.table, record, self.now)

    async def order_upstreams(self, token, service, pool, desired):
        self.orders.append((pool, desired))
        running = self.running(pool)
        is_increase = desired > running
        if self.is_exhausted and is_increase and pool.machine_class == RECLAIMABLE:
            return CallOutcome.REFUSED
        for _ in range(desired - running):
            self.start(pool)
        self.remove(pool, running - desired)
        return CallOutcome.DONE

    def remove(self, pool, count):
        """Remove up to `count` upstreams of a pool."""
        ids = [
            name
            for name, entry in self.table.entries.items()
            if (entry.record.data_centre, entry.record.machine_class)
            == (pool.data_centre, pool.machine_class)
        ]
        for name in ids[: max(0, count)]:
            del self.table.entries[name]

    def running(self, pool):
        pools = count_upstreams(self.table, "drafts", self.now)
        return pools[pool].running if pool in pools else 0

    def total_running(self):
        return sum(
            state.running
            for state in count_upstreams(self.table, "drafts", self.now).values()
        )

    def report_demand(self, runners):
        tokens = runners * TOKENS_PER_RUNNER - 1.0
        report = HostReport(1, (), (), (ServiceDemand("drafts", tokens, 1.0),))
        record_report(self.reports, "relay-1", report, self.now)

    def advance(self, seconds, runners=None):
        """Advance the clock, with demand for `runners` upstreams if given."""

        async def run_polls():
            for _ in range(int(seconds * 4)):
                self.now += 0.25
                for entry in self.table.entries.values():
                    entry.heard_at = self.now
                if runners is not None:
                    self.report_demand(runners)
                await self.autoscaler._scale_service(self.issue_token(), SPEC)

        anyio.run(run_polls)


def test_reclaimable_upstreams_replace_on_demand_upstreams_without_demand():
    simulation = Simulation(on_demand="aabbcccdd")
    simulation.advance(3)
    pools = count_upstreams(simulation.table, "drafts", simulation.now)
    assert all(pool.machine_class == RECLAIMABLE for pool in pools)
    assert simulation.total_running() >= 9


def test_a_plan_is_computed_only_when_its_inputs_have_changed(monkeypatch):
    computed = []

    def count_plans(*inputs):
        computed.append(inputs)
        return plan_runners(*inputs)

    monkeypatch.setattr(autoscaler, "plan_runners", count_plans)
    simulation = Simulation(on_demand="aabbcccdd")
    simulation.advance(2 * SCALE_DOWN_DELAY_S, runners=3)
    settled = len(computed)
    simulation.advance(10, runners=3)
    assert len(computed) == settled


@pytest.mark.parametrize("runners", [2, 5])
def test_steady_load_needs_few_upstreams(runners):
    simulation = Simulation(on_demand="aabbcccdd")
    simulation.advance(3)
    simulation.advance(2 * SCALE_DOWN_DELAY_S, runners)
    assert runners <= simulation.total_running() <= max(8, 3 * runners)


def test_new_leader_retains_upstreams_at_low_initial_demand():
    simulation = Simulation(on_demand="aabbcccdd")
    simulation.advance(0.5 * SCALE_DOWN_DELAY_S, runners=1)
    assert simulation.total_running() >= 9


def test_late_announcements_raise_the_initial_need():
    simulation = Simulation(on_demand="a")
    simulation.advance(0.25)
    for centre in "aaabbbbccccdddd":
        simulation.start(Pool(centre, ON_DEMAND))
    simulation.advance(0.5 * SCALE_DOWN_DELAY_S)
    assert simulation.total_running() >= 12


def test_reclaim_wave_without_replacements_is_covered_on_demand_at_once():
    simulation = Simulation()
    simulation.advance(2 * SCALE_DOWN_DELAY_S, runners=3)
    simulation.is_exhausted = True
    for centre in "ab":
        simulation.remove(Pool(centre, RECLAIMABLE), 9)
    simulation.advance(0.5, runners=3)
    on_demand = sum(simulation.running(Pool(centre, ON_DEMAND)) for centre in PRICES)
    assert on_demand >= 3
    ordered = len(simulation.orders)
    simulation.advance(1.5, runners=3)
    # Started upstreams are retained while no others are available.
    assert sum(simulation.running(Pool(one, ON_DEMAND)) for one in PRICES) >= on_demand
    assert len(simulation.orders) <= ordered + 4


def test_reclaimable_upstreams_replace_on_demand_upstreams_after_the_wave():
    simulation = Simulation()
    simulation.advance(2 * SCALE_DOWN_DELAY_S, runners=3)
    simulation.is_exhausted = True
    simulation.remove(Pool("a", RECLAIMABLE), 9)
    simulation.advance(2, runners=3)
    simulation.is_exhausted = False
    simulation.advance(2 * SCALE_DOWN_DELAY_S, runners=3)
    assert sum(simulation.running(Pool(one, ON_DEMAND)) for one in PRICES) == 0
    assert simulation.total_running() >= 4
