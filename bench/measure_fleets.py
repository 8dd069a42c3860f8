"""Small load scenarios of both fleets: steady load, reclaim wave, overload."""

from math import isnan

from bench.figures import Figure
from bench.load.report import plot_results, print_results, write_results
from bench.load.results import LoadResult
from bench.load.run import run_scenario
from bench.load.scenario import SCENARIOS, LoadKind, Scenario

__all__ = ["measure"]

#: Minimum goodput under overload, as a fraction of the goodput at peak load.
TARGET_OVERLOAD_GOODPUT_RATIO = 0.9


def measure() -> list[Figure]:
    """Run the small scenarios of both fleets.

    Returns
    -------
    list of Figure
        Latency, goodput, recomputed tokens and cost of each scenario.
    """
    figures: list[Figure] = []
    results: list[LoadResult] = []
    for path in sorted(SCENARIOS.glob("*-small.yaml")):
        scenario = Scenario.from_file(path)
        direct, system = run_scenario(scenario)
        results += [direct, system]
        figures += _figures(scenario, direct, system)
    write_results(results)
    plot_results(results)
    print_results(results)
    return [figure for figure in figures if not isnan(figure.value)]


def _figures(
    scenario: Scenario, direct: LoadResult, system: LoadResult
) -> list[Figure]:
    name = f"fleets.{scenario.name.removesuffix('-small')}"
    note = f"{system.whole} of {system.requests} whole, seed {scenario.seed}"
    figures = [
        Figure(
            f"{name}.first_token_p95",
            system.first_token.p95_ms,
            "ms",
            scenario.first_token_target_ms,
            note=f"{note}; direct {direct.first_token.p95_ms:.0f} ms",
        ),
        Figure(
            f"{name}.token_gap_p95",
            system.token_gap.p95_ms,
            "ms",
            scenario.token_gap_target_ms,
            note=f"direct {direct.token_gap.p95_ms:.1f} ms",
        ),
        Figure(f"{name}.goodput", system.goodput_per_s, "answers/s", note=note),
        Figure(
            f"{name}.recomputed",
            sum(system.recomputed.values()),
            "tokens",
            note=str(system.recomputed),
        ),
        Figure(
            f"{name}.cost",
            system.cost_per_million_tokens,
            "price/Mtoken",
            note=f"direct {direct.cost_per_million_tokens:.2f}; stand-in prices",
        ),
    ]
    if scenario.kind is LoadKind.OVERLOAD:
        peak, overload = system.half_goodputs_per_s
        figures.append(
            Figure(
                f"{name}.goodput_kept",
                overload / peak if peak else 0.0,
                "ratio",
                TARGET_OVERLOAD_GOODPUT_RATIO,
                higher_is_better=True,
                note=f"{peak:.1f}/s at {scenario.rate_per_s:g}/s, {overload:.1f}/s at "
                f"{scenario.overload_factor:g} times that",
            )
        )
    return figures
