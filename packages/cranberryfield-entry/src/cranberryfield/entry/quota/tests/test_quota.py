"""Quota grants over several hosts: steady load, overload, large requests, no leader."""

import contextlib
from random import Random

import pytest

from cranberryfield.core.deployment import WorkspaceSpec
from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.messages.reports import QuotaRequest
from cranberryfield.entry.limits.refusal_backlog import record_refusal
from cranberryfield.entry.limits.token_bucket import TokenBucket
from cranberryfield.entry.quota.client import (
    LEADER_RETRY_S,
    QuotaBalance,
    QuotaClient,
    make_quota_request,
    refill_locally,
)
from cranberryfield.entry.quota.server import QuotaLeeway, grant_quota

RATE = 10_000.0
SPEC = WorkspaceSpec("notary", rate_per_s=RATE, burst=RATE, counts_tokens=True)
DEBT = 50_000.0
LEEWAY = QuotaLeeway(max_debt=DEBT)
STEP_S = 0.01
#: A rank that is not the most urgent one.
RANK = 1


def simulate(hosts, demand, sizes, seconds, seed=1):
    """Return the numbers of requested and of admitted requests by size."""
    rng = Random(seed)
    bucket = TokenBucket(refilled_at=0.0)
    balances = [QuotaBalance() for _ in range(hosts)]
    requested, admitted = dict.fromkeys(sizes, 0), dict.fromkeys(sizes, 0)
    now = 0.0
    chance = demand * RATE * STEP_S / (sum(sizes) / len(sizes))
    while now < seconds:
        now += STEP_S
        for _ in range(int(chance) + (rng.random() < chance % 1)):
            cost = rng.choice(sizes)
            balance = rng.choice(balances)
            requested[cost] += 1
            if balance.available < cost and now >= balance.empty_until:
                quota_request = make_quota_request("notary", balance, cost, now)
                granted, next_ms = grant_quota(bucket, SPEC, quota_request, LEEWAY, now)
                balance.available += granted
                balance.granted_at = now
                balance.empty_until = now + min(0.3, next_ms / 1000)
            if balance.available >= cost:
                balance.available -= cost
                admitted[cost] += 1
    return requested, admitted


@pytest.mark.parametrize("hosts", [1, 9, 60])
def test_a_workspace_below_its_quota_is_not_refused(hosts):
    requested, admitted = simulate(hosts, 0.6, (400, 1_200), 20)
    assert sum(admitted.values()) >= 0.98 * sum(requested.values())


@pytest.mark.parametrize("hosts", [1, 9, 60])
@pytest.mark.parametrize("demand", [1.5, 8.0])
def test_a_hot_workspace_gets_its_quota_and_no_more(hosts, demand):
    seconds = 20
    _, admitted = simulate(hosts, demand, (400, 1_200), seconds)
    used = sum(size * count for size, count in admitted.items())
    assert 0.9 * RATE * seconds <= used <= RATE * (seconds + 1) + DEBT


@pytest.mark.parametrize("hosts", [1, 9])
def test_large_requests_are_admitted_as_often_as_small_ones(hosts):
    requested, admitted = simulate(hosts, 2.0, (500, 15_000), 60)
    small, large = (admitted[size] / requested[size] for size in (500, 15_000))
    assert large >= 0.5 * small


@pytest.mark.parametrize(("seconds", "hosts"), [(5.0, 9), (5.0, 1)])
def test_without_a_leader_all_hosts_together_stay_below_the_quota(seconds, hosts):
    used = 0.0
    for _ in range(hosts):
        balance = QuotaBalance()
        now = 0.0
        while now <= seconds:
            refill_locally(balance, SPEC, hosts, now)
            used, balance.available = used + balance.available, 0.0
            now += 0.1
    assert 0 < used <= RATE * seconds


@pytest.mark.parametrize("hosts", [1, 9])
@pytest.mark.parametrize("demand", [2.0, 4.0])
def test_retries_do_not_displace_new_requests(hosts, demand):
    rng = Random(1)
    size, max_wait_s = 1_000.0, 3.3
    bucket = TokenBucket(refilled_at=0.0)
    balances = [QuotaBalance() for _ in range(hosts)]
    retry_times: list[float] = []
    admitted = {"fresh": 0, "retried": 0}
    for step in range(int(10.0 / STEP_S)):
        now = step * STEP_S
        fresh = int(rng.random() < demand * RATE * STEP_S / size)
        retries = sum(at <= now for at in retry_times)
        retry_times = [at for at in retry_times if at > now]
        for kind in ["fresh"] * fresh + ["retried"] * retries:
            balance = rng.choice(balances)
            if balance.available < size and now >= balance.empty_until:
                quota_request = make_quota_request("notary", balance, size, now)
                granted, next_ms = grant_quota(
                    bucket, SPEC, quota_request, QuotaLeeway(), now
                )
                balance.available, balance.granted_at = balance.available + granted, now
                balance.empty_until = now + min(0.3, next_ms / 1000)
            if balance.available >= size:
                balance.available -= size
                admitted[kind] += 1
            else:
                wait_s = record_refusal(balance.backlog, size, RATE / hosts, now)
                if kind == "fresh":
                    wait_s = min(max_wait_s, wait_s * rng.uniform(1.0, 1.5))
                    retry_times.append(now + wait_s)
    assert sum(admitted.values()) * size >= 0.9 * RATE * 10.0
    assert admitted["fresh"] >= 2.5 * admitted["retried"]


class UnresponsiveMesh:
    """Mesh with a leader that does not reply."""

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
async def test_many_hosts_serve_an_ample_quota_without_a_leader(hosts, limited):
    rng = Random(1)
    clock = SteppedClock()
    mesh = UnresponsiveMesh(clock)
    clients = [
        QuotaClient(mesh, lambda: None, lambda: hosts, clock, rng) for _ in range(hosts)
    ]
    if limited:
        for client in clients:
            client._balances["notary"] = QuotaBalance(empty_until=clock.now)
    size, seconds = 0.2 * RATE, 1.5
    asked = admitted = 0
    while clock.now < 100.0 + seconds:
        clock.now += size / (0.5 * RATE)
        asked += 1
        with contextlib.suppress(UnavailableError):
            await rng.choice(clients).admit(SPEC, size, RANK)
            admitted += 1
    if limited:
        assert admitted * size <= RATE * seconds
    else:
        assert admitted == asked


@pytest.mark.anyio
async def test_overdraft_is_requested_from_the_next_leader():
    balance = QuotaBalance(-400.0, granted_at=90.0)
    assert make_quota_request("notary", balance, 300.0, 100.0) == QuotaRequest(
        "notary", 700, 0
    )


@pytest.mark.anyio
@pytest.mark.parametrize("per_s", [10, 100])
async def test_unresponsive_leader_is_not_asked_for_each_request(per_s):
    clock = SteppedClock()
    mesh = UnresponsiveMesh(clock)
    client = QuotaClient(mesh, lambda: "core-1", lambda: 1, clock, Random(1))
    admitted = 0
    started = clock.now
    for _ in range(4 * per_s):
        clock.now += 1.0 / per_s
        with contextlib.suppress(UnavailableError):
            await client.admit(SPEC, 0.3 * RATE / per_s, RANK)
            admitted += 1
    assert mesh.asked <= 1 + (clock.now - started) / LEADER_RETRY_S
    assert admitted >= 0.9 * 4 * per_s


def test_a_new_leader_starts_with_an_empty_bucket():
    bucket = TokenBucket(refilled_at=100.0)
    quota_request = QuotaRequest("notary", 500, 0)
    assert grant_quota(bucket, SPEC, quota_request, LEEWAY, 100.0)[0] == 0
    assert grant_quota(bucket, SPEC, quota_request, LEEWAY, 100.1)[0] == 500


@pytest.mark.parametrize("tolerance", [0.0, 20_000.0, 140_000.0])
@pytest.mark.parametrize("overage", [0.0, 0.1])
def test_leeway_stays_within_the_tolerance_in_any_window(overage, tolerance):
    window_s = 8.0
    leeway = QuotaLeeway.from_tolerance(overage, tolerance)
    bucket = TokenBucket(refilled_at=0.0)
    granted = []
    for step in range(4_000):
        now = step * STEP_S
        quota_request = QuotaRequest("notary", 700, 0)
        granted.append(grant_quota(bucket, SPEC, quota_request, leeway, now)[0])
    steps = int(window_s / STEP_S)
    max_granted = max(
        sum(granted[start : start + steps]) for start in range(0, 4_000 - steps, 10)
    )
    allowed = (RATE * window_s + SPEC.burst) * (1 + overage) + tolerance
    assert max_granted <= allowed
