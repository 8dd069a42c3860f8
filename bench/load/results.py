"""Summary statistics of one run."""

from collections import Counter

import msgspec
import numpy as np

from bench.load.generator import RequestResult
from bench.load.scenario import Scenario
from standins.journal import JournalEntry

__all__ = ["LoadResult", "Percentiles", "recomputed_by_cause", "summarise"]

MS_PER_S = 1000
S_PER_HOUR = 3600


class Percentiles(msgspec.Struct):
    """Median and 95th percentile, in milliseconds; NaN without a value."""

    p50_ms: float
    p95_ms: float

    @classmethod
    def from_seconds(cls, values: list[float]) -> "Percentiles":
        """Summarise times in seconds."""
        if not values:
            return cls(float("nan"), float("nan"))
        p50, p95 = np.percentile(values, [50, 95]) * MS_PER_S
        return cls(float(p50), float(p95))


class LoadResult(msgspec.Struct):
    """Summary statistics of one run.

    Attributes
    ----------
    scenario : str
        Name of the scenario.
    path : str
        ``system``, or ``direct`` for calls sent straight to the upstreams.
    requests, whole : int
        Number of requests sent, and of those answered completely.
    first_token, token_gap : Percentiles
        Time from the intended arrival to the first token, and between tokens.
    refusal : Percentiles
        Time from an attempt to its refusal.
    goodput_per_s : float
        Complete responses per second within the first-token target.
    tokens_per_s : float
        Tokens of complete responses per second.
    recomputed : dict
        Number of recomputed tokens, by cause.
    refusals : dict
        Number of refusals and connection errors, by kind.
    cost : float
        Price of all hosts for the duration of the run.
    cost_per_million_tokens : float
        `cost` per million tokens of complete responses.
    half_goodputs_per_s : tuple of float
        Goodput of the requests that arrived in each half of the run.
    """

    scenario: str
    path: str
    requests: int
    whole: int
    first_token: Percentiles
    token_gap: Percentiles
    refusal: Percentiles
    goodput_per_s: float
    tokens_per_s: float
    recomputed: dict[str, int]
    refusals: dict[str, int]
    cost: float
    cost_per_million_tokens: float
    half_goodputs_per_s: tuple[float, float]


def recomputed_by_cause(journal: list[JournalEntry]) -> dict[str, int]:
    """Sum the tokens that engines recomputed, by cause.

    Parameters
    ----------
    journal : list of Entry
        Journal entries of all upstreams, sorted by time.

    Returns
    -------
    dict
        Number of tokens by cause: ``reclaim`` if the previous upstream of the
        run had announced its departure, ``crash`` if it crashed, and ``other``
        otherwise.
    """
    causes: Counter[str] = Counter()
    departures: dict[tuple[str, int], str] = {}
    last_upstream: dict[str, tuple[str, int]] = {}
    for entry in journal:
        upstream_start = (entry.upstream, entry.incarnation)
        if entry.event == "leaving":
            departures[upstream_start] = "reclaim"
        elif entry.event == "crashed":
            departures[upstream_start] = "crash"
        elif entry.event in ("started", "resumed"):
            if entry.run in last_upstream:
                recomputed = entry.recomputed_tokens or (
                    entry.prefill_tokens if entry.event == "started" else 0
                )
                causes[departures.get(last_upstream[entry.run], "other")] += recomputed
            last_upstream[entry.run] = upstream_start
    return dict(causes)


def summarise(
    scenario: Scenario,
    path: str,
    results: list[RequestResult],
    journal: list[JournalEntry],
    billed_s: float,
) -> LoadResult:
    """Compute the summary statistics of one run.

    Parameters
    ----------
    scenario : Scenario
        Scenario that was run.
    path : str
        ``system`` or ``direct``.
    results : list of RequestResult
        Outcome of each request.
    journal : list of Entry
        Journal entries of all upstreams.
    billed_s : float
        Billed time of the hosts, in seconds.

    Returns
    -------
    LoadResult
        Summary statistics.
    """
    whole = [result for result in results if result.completed_at_s is not None]
    refusals = sum((result.refusals for result in results), Counter())
    tokens = sum(result.tokens for result in whole)
    cost = _price_per_s(scenario, with_system=path == "system") * billed_s
    half_s = scenario.duration_s / 2
    early = [result for result in results if result.arrival.at_s < half_s]
    late = [result for result in results if result.arrival.at_s >= half_s]
    first = [
        result.first_token_latency_s
        for result in results
        if result.first_token_latency_s is not None
    ]
    return LoadResult(
        scenario.name,
        path,
        len(results),
        len(whole),
        Percentiles.from_seconds(first),
        Percentiles.from_seconds([gap for one in results for gap in one.gaps_s]),
        Percentiles.from_seconds(
            [
                latency_s
                for result in results
                for latency_s in result.refusal_latencies_s
            ]
        ),
        _count_good(scenario, results) / scenario.duration_s,
        tokens / scenario.duration_s,
        recomputed_by_cause(journal),
        dict(refusals),
        cost,
        cost / tokens * 1e6 if tokens else float("nan"),
        (_count_good(scenario, early) / half_s, _count_good(scenario, late) / half_s),
    )


def _count_good(scenario: Scenario, results: list[RequestResult]) -> int:
    target_s = scenario.first_token_target_ms / MS_PER_S
    return sum(
        result.completed_at_s is not None and result.first_token_latency_s <= target_s
        for result in results
    )


def _price_per_s(scenario: Scenario, *, with_system: bool) -> float:
    prices = scenario.prices_per_hour
    hourly = sum(
        prices[service.machine_class] * service.runners for service in scenario.services
    )
    if with_system:
        hosts = scenario.entry_hosts + scenario.control_hosts
        hourly += prices["entry"] * hosts
    return hourly / S_PER_HOUR
