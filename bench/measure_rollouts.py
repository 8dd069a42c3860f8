"""Outcomes of rollouts of drawn good and bad versions, in virtual time.

The bound on the exposure, the relays and the load are those of docs/work-plan.md.
"""

import sys
from collections import Counter
from random import Random

from cranberryfield.control.rollouts.plan import ExposureBound
from cranberryfield.core.messages.rollouts import RolloutStage
from standins.rollout_model import (
    BAD_KINDS,
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    draw_bad_fault,
    draw_disruption,
    run_rollout,
)

__all__ = ["measure_bad", "measure_good", "run"]

BOUND = ExposureBound(0.1, 50.0)
SERVICES = {"engine": ENGINE_SERVICE, "plain": PLAIN_SERVICE}


def measure_good(name: str, count: int, first_seed: int = 1, **options) -> Counter:
    """Return how many of `count` good versions reach each stage by the deadline."""
    service, stages = SERVICES[name], Counter()
    for seed in range(first_seed, first_seed + count):
        disruption = draw_disruption(Random(seed), service)
        result = run_rollout(seed, service, None, disruption, bound=BOUND, **options)
        stages[result.stage] += 1
        stages["broken off"] += bool(result.killed)
    return stages


def measure_bad(name: str, count: int, first_seed: int = 1, **options) -> dict:
    """Return, by kind of bad version, stages and runs beyond the bound.

    The kinds of `BAD_KINDS` are drawn in turn.
    """
    service = SERVICES[name]
    found: dict[tuple[str, str], Counter] = {kind: Counter() for kind in BAD_KINDS}
    for number in range(count):
        seed = first_seed + number
        kind = BAD_KINDS[number % len(BAD_KINDS)]
        fault = draw_bad_fault(Random(seed), kind, service)
        result = run_rollout(seed, service, fault, bound=BOUND, **options)
        stages = found[kind]
        stages[result.stage] += 1
        stages["beyond"] += result.exceeds(BOUND)
        allowed = BOUND.ratio * result.arrivals + BOUND.allowance
        stages["worst"] = max(stages["worst"], round(100 * result.exposed / allowed))
    return found


def run(count: int = 200) -> None:
    """Print the outcomes of `count` good and `count` bad versions of each service.

    Versions that are bad under load only are shown also for relays that spread a small
    share over all upstreams of the target, none of which has its usual load then.
    """
    for name in SERVICES:
        good = measure_good(name, count)
        completed = good[RolloutStage.COMPLETED]
        print(f"{name}: {completed} of {count} good versions completed; {dict(good)}")
        _print_bad(name, count, measure_bad(name, count))
        spread = measure_bad(name, count, is_concentrated=False)
        _print_bad(f"{name}, share spread over all upstreams", count, spread)


def _print_bad(name: str, count: int, bad: dict) -> None:
    ended = sum(one[RolloutStage.ROLLED_BACK] for one in bad.values())
    beyond = sum(one["beyond"] for one in bad.values())
    print(f"{name}: {ended} of {count} bad versions rolled back, {beyond} beyond")
    for (what, where), stages in bad.items():
        print(
            f"  {what}, {where}: rolled back {stages[RolloutStage.ROLLED_BACK]}, "
            f"completed {stages[RolloutStage.COMPLETED]}, beyond "
            f"{stages['beyond']}, highest exposure {stages['worst']} % of the bound"
        )


if __name__ == "__main__":
    run(int(sys.argv[1]) if len(sys.argv) > 1 else 200)
