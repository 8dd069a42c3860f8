"""Quotas over several hosts: steady load, one hot workspace, large requests."""

import contextlib
from random import Random

import pytest

from cranberryfield.core.deployment import WorkspaceSpec
from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.messages.reports import QuotaRequest
from cranberryfield.entry.limits.tokens import KeeperTokens
from cranberryfield.entry.quota.client import (
    SILENT_S,
    Holding,
    QuotaClient,
    next_wish,
    note_refused,
    refill_locally,
)
from cranberryfield.entry.quota.keeper import QuotaLeeway, grant_quota

RATE = 10_000.0
SPEC = WorkspaceSpec("notary", rate_per_s=RATE, burst=RATE, counts_tokens=True)
DEBT = 50_000.0
LEEWAY = QuotaLeeway(debt=DEBT)
STEP_S = 0.01


def play(hosts, demand, sizes, seconds, seed=1):
    """Return by size what was asked and what was admitted, in requests."""
    rng = Random(seed)
    keeper = KeeperTokens(at=0.0)
    holdings = [Holding() for _ in range(hosts)]
    asked, admitted = dict.fromkeys(sizes, 0), dict.fromkeys(sizes, 0)
    now = 0.0
    chance = demand * RATE * STEP_S / (sum(sizes) / len(sizes))
    while now < seconds:
        now += STEP_S
        for _ in range(int(chance) + (rng.random() < chance % 1)):
            cost = rng.choice(sizes)
            holding = rng.choice(holdings)
            asked[cost] += 1
            if holding.amount < cost and now >= holding.none_until:
                wish = next_wish("notary", holding, cost, now)
                granted, next_ms = grant_quota(keeper, SPEC, wish, LEEWAY, now)
                holding.amount += granted
                holding.granted_at = now
                holding.none_until = now + min(0.3, next_ms / 1000)
            if holding.amount >= cost:
                holding.amount -= cost
                admitted[cost] += 1
    return asked, admitted


@pytest.mark.parametrize("hosts", [1, 9, 60])
def test_a_workspace_below_its_quota_is_not_refused(hosts):
    asked, admitted = play(hosts, 0.6, (400, 1_200), 20)
    assert sum(admitted.values()) >= 0.98 * sum(asked.values())


@pytest.mark.parametrize("hosts", [1, 9, 60])
@pytest.mark.parametrize("demand", [1.5, 8.0])
def test_a_hot_workspace_gets_its_quota_and_no_more(hosts, demand):
    seconds = 20
    _, admitted = play(hosts, demand, (400, 1_200), seconds)
    used = sum(size * count for size, count in admitted.items())
    assert 0.9 * RATE * seconds <= used <= RATE * (seconds + 1) + DEBT


@pytest.mark.parametrize("hosts", [1, 9])
def test_large_requests_are_admitted_as_often_as_small_ones(hosts):
    asked, admitted = play(hosts, 2.0, (500, 15_000), 60)
    small, large = (admitted[size] / asked[size] for size in (500, 15_000))
    assert large >= 0.5 * small


@pytest.mark.parametrize(("seconds", "hosts"), [(5.0, 9), (5.0, 1)])
def test_without_a_leader_all_hosts_together_stay_below_the_quota(seconds, hosts):
    used = 0.0
    for _ in range(hosts):
        holding = Holding()
        now = 0.0
        while now <= seconds:
            refill_locally(holding, SPEC, hosts, now)
            used, holding.amount = used + holding.amount, 0.0
            now += 0.1
    assert 0 < used <= RATE * seconds


@pytest.mark.parametrize("hosts", [1, 9])
@pytest.mark.parametrize("demand", [2.0, 4.0])
def test_those_who_return_do_not_take_the_place_of_requests_that_have_just_come(
    hosts, demand
):
    rng = Random(1)
    size, most_wait_s = 1_000.0, 3.3
    keeper = KeeperTokens(at=0.0)
    holdings = [Holding() for _ in range(hosts)]
    returns: list[float] = []
    admitted = {"fresh": 0, "returned": 0}
    for step in range(int(10.0 / STEP_S)):
        now = step * STEP_S
        fresh = int(rng.random() < demand * RATE * STEP_S / size)
        back = sum(at <= now for at in returns)
        returns = [at for at in returns if at > now]
        for kind in ["fresh"] * fresh + ["returned"] * back:
            holding = rng.choice(holdings)
            if holding.amount < size and now >= holding.none_until:
                wish = next_wish("notary", holding, size, now)
                granted, next_ms = grant_quota(keeper, SPEC, wish, QuotaLeeway(), now)
                holding.amount, holding.granted_at = holding.amount + granted, now
                holding.none_until = now + min(0.3, next_ms / 1000)
            if holding.amount >= size:
                holding.amount -= size
                admitted[kind] += 1
            else:
                wait_s = note_refused(holding, size, RATE / hosts, now)
                if kind == "fresh":
                    wait_s = min(most_wait_s, wait_s * rng.uniform(1.0, 1.5))
                    returns.append(now + wait_s)
    assert sum(admitted.values()) * size >= 0.9 * RATE * 10.0
    assert admitted["fresh"] >= 2.5 * admitted["returned"]


class SilentMesh:
    """Links to a leader that does not answer."""

    def __init__(self, clock):
        self.clock, self.asked = clock, 0

    async def request(self, peer, message, timeout_s):
        self.asked += 1
        self.clock.now += timeout_s
        raise UnavailableError(ErrorKind.NO_QUORUM, "no answer")


class SteppedClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.mark.anyio
@pytest.mark.parametrize(("hosts", "limited"), [(60, False), (9, False), (60, True)])
async def test_many_hosts_serve_an_ample_quota_on_while_there_is_no_leader(
    hosts, limited
):
    rng = Random(1)
    clock = SteppedClock()
    mesh = SilentMesh(clock)
    clients = [
        QuotaClient(mesh, lambda: None, lambda: hosts, clock, rng) for _ in range(hosts)
    ]
    if limited:
        for client in clients:
            client._holdings["notary"] = Holding(none_until=clock.now)
    size, seconds = 0.2 * RATE, 1.5
    asked = admitted = 0
    while clock.now < 100.0 + seconds:
        clock.now += size / (0.5 * RATE)
        asked += 1
        with contextlib.suppress(UnavailableError):
            await rng.choice(clients).admit(SPEC, size)
            admitted += 1
    if limited:
        assert admitted * size <= RATE * seconds
    else:
        assert admitted == asked


@pytest.mark.anyio
async def test_what_was_overdrawn_is_asked_of_the_next_leader():
    holding = Holding(-400.0, granted_at=90.0)
    assert next_wish("notary", holding, 300.0, 100.0) == QuotaRequest("notary", 700, 0)


@pytest.mark.anyio
@pytest.mark.parametrize("per_s", [10, 100])
async def test_requests_do_not_each_wait_for_a_leader_that_has_fallen_silent(per_s):
    clock = SteppedClock()
    mesh = SilentMesh(clock)
    client = QuotaClient(mesh, lambda: "core-1", lambda: 1, clock, Random(1))
    admitted = 0
    started = clock.now
    for _ in range(4 * per_s):
        clock.now += 1.0 / per_s
        with contextlib.suppress(UnavailableError):
            await client.admit(SPEC, 0.3 * RATE / per_s)
            admitted += 1
    assert mesh.asked <= 1 + (clock.now - started) / SILENT_S
    assert admitted >= 0.9 * 4 * per_s


def test_a_new_leader_starts_with_an_empty_bucket():
    keeper = KeeperTokens(at=100.0)
    wish = QuotaRequest("notary", 500, 0)
    assert grant_quota(keeper, SPEC, wish, LEEWAY, 100.0)[0] == 0
    assert grant_quota(keeper, SPEC, wish, LEEWAY, 100.1)[0] == 500


@pytest.mark.parametrize("tolerance", [0.0, 20_000.0, 140_000.0])
@pytest.mark.parametrize("overage", [0.0, 0.1])
def test_the_leeway_stays_within_what_is_tolerated_in_any_window(overage, tolerance):
    window_s = 8.0
    leeway = QuotaLeeway.from_tolerance(overage, tolerance)
    keeper = KeeperTokens(at=0.0)
    granted = []
    for step in range(4_000):
        now = step * STEP_S
        wish = QuotaRequest("notary", 700, 0)
        granted.append(grant_quota(keeper, SPEC, wish, leeway, now)[0])
    steps = int(window_s / STEP_S)
    most = max(
        sum(granted[start : start + steps]) for start in range(0, 4_000 - steps, 10)
    )
    allowed = (RATE * window_s + SPEC.burst) * (1 + overage) + tolerance
    assert most <= allowed
