"""Retries of all hosts together in any window, without I/O."""

from random import Random

import pytest

from cranberryfield.entry.relay import (
    WindowedRetryBudget,
    credit_request,
    spend_windowed_retry,
)

RATIO, ALLOWANCE, WINDOW_S, HOSTS = 0.2, 54.0, 10.0, 9
STEP_S = 0.05


def make_budget(started_at, hosts=HOSTS):
    return WindowedRetryBudget(RATIO, ALLOWANCE, WINDOW_S, lambda: hosts, started_at)


def test_total_retries_stay_within_window_limit():
    per_s = 4
    budgets = [make_budget(-WINDOW_S) for _ in range(HOSTS)]
    spent = 0
    for step in range(int(WINDOW_S * per_s)):
        now = step / per_s
        for budget in budgets:
            credit_request(budget, "drafts", now)
            spent += spend_windowed_retry(budget, "drafts", now)
    assert 0 < spent <= RATIO * HOSTS * WINDOW_S * per_s + ALLOWANCE


def simulate(seed, restarts_per_s):
    """Return requests and retries of all hosts per step, under a changing load."""
    rng = Random(seed)
    budgets = [make_budget(-WINDOW_S) for _ in range(HOSTS)]
    requests, retries = [], []
    demand = 40.0
    for step in range(int(6 * WINDOW_S / STEP_S)):
        now = step * STEP_S
        if rng.random() < 0.02:
            demand = rng.choice([0.0, 10.0, 40.0, 200.0])
        if rng.random() < restarts_per_s * STEP_S:
            budgets[rng.randrange(HOSTS)] = make_budget(now)
        count = int(demand * STEP_S) + (rng.random() < demand * STEP_S % 1)
        for _ in range(count):
            credit_request(rng.choice(budgets), "drafts", now)
        # Upstreams fail by turns: at times each host retries as much as it can.
        is_failing = rng.random() < 0.3
        spent = 0
        for budget in budgets if is_failing else ():
            while spend_windowed_retry(budget, "drafts", now):
                spent += 1
        requests.append(count)
        retries.append(spent)
    return requests, retries


# Guards against hosts that restart with a full share of the retries that they have
# spent before, and against saved retries that add up with those earned later.
@pytest.mark.parametrize("restarts_per_s", [0.0, 1.0, 4.0])
@pytest.mark.parametrize("seed", range(6))
def test_retries_in_any_window_stay_within_the_limit(seed, restarts_per_s):
    requests, retries = simulate(seed, restarts_per_s)
    steps = round(WINDOW_S / STEP_S)
    assert sum(retries) > 0
    for start in range(steps, len(retries) - steps + 1):
        permitted = max(
            sum(requests[first : first + steps])
            for first in (start, start - steps // 2, start - steps)
        )
        spent = sum(retries[start : start + steps])
        assert spent <= RATIO * permitted + ALLOWANCE


# Guards against requests beside a crash that fail for want of retries: an upstream
# with all its slots in use crashes, and soon after the one that most of its
# requests went to.
def test_two_crashes_in_a_row_cost_no_request_its_retry():
    budgets = [make_budget(-WINDOW_S) for _ in range(HOSTS)]
    for step in range(200):
        for budget in budgets:
            credit_request(budget, "drafts", step * STEP_S)
    per_host = 32 // HOSTS + 1
    for now in (10.0, 10.5):
        for budget in budgets:
            assert all(
                spend_windowed_retry(budget, "drafts", now) for _ in range(per_host)
            )
