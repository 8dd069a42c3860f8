"""Outcomes of rollouts of drawn good and bad versions, in virtual time.

The bound on the exposure, the relays and the load are those of docs/work-plan.md.
"""

from collections import Counter
from random import Random

from bench.figures import Figure
from cranberryfield.control.rollouts.plan import ExposureBound
from cranberryfield.core.messages.rollouts import RolloutStage
from standins.rollout_loads import (
    BAD_KINDS,
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    draw_bad_fault,
    draw_disruption,
)
from standins.rollout_model import run_rollout

__all__ = ["measure", "measure_bad", "measure_good"]

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


def measure(count: int = 200) -> list[Figure]:
    """Measure `count` good and `count` bad versions of each service.

    Bad versions are measured also for relays that spread a small share over all
    upstreams of the target, none of which has its usual load then.
    """
    figures = []
    for name in SERVICES:
        good = measure_good(name, count)
        completed = good[RolloutStage.COMPLETED]
        target = 0.95 * count
        figures.append(
            Figure(f"{name}: good, completed", completed, "versions", target, True)
        )
        for is_concentrated in (True, False):
            bad = measure_bad(name, count, is_concentrated=is_concentrated)
            spread = "" if is_concentrated else ", share spread"
            ended = sum(one[RolloutStage.ROLLED_BACK] for one in bad.values())
            beyond = sum(one["beyond"] for one in bad.values())
            title = f"{name}{spread}: bad"
            figures += [
                Figure(f"{title}, rolled back", ended, "versions", target, True),
                Figure(f"{title}, beyond the bound", beyond, "versions", 0.0),
            ]
            for (what, where), stages in bad.items():
                note = f"{stages['beyond']} beyond the bound"
                kind = f"{title}, {what}, {where}: highest exposure"
                figures.append(
                    Figure(kind, stages["worst"], "% of the bound", note=note)
                )
    return figures
