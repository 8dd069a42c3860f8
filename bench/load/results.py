"""What one run gave, as figures."""

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
    """Figures of one run.

    Attributes
    ----------
    scenario : str
        Its name.
    path : str
        ``system``, or ``direct`` for calls to the engines without it.
    requests, whole : int
        Requests that arrived, and that were answered whole.
    first_token, token_gap : Percentiles
        Latency from the intended arrival, and between tokens.
    refusal : Percentiles
        Time from asking to a refusal.
    goodput_per_s : float
        Whole answers a second that met the target of the first token.
    tokens_per_s : float
        Tokens of whole answers a second.
    recomputed : dict
        Tokens computed again, by cause.
    refusals : dict
        By kind.
    cost : float
        Price of all hosts for the run's time.
    cost_per_million_tokens : float
        The same for a million tokens of whole answers.
    half_goodputs_per_s : tuple of float
        Goodput of the requests of each half of the run.
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
    """Add up the tokens that engines computed again, by what made them.

    Parameters
    ----------
    journal : list of JournalEntry
        Of all upstreams, in order of time.

    Returns
    -------
    dict
        ``reclaim`` if the run's earlier upstream had announced that it leaves,
        ``crash`` if it ended itself, ``other`` otherwise.
    """
    causes: Counter[str] = Counter()
    gone: dict[tuple[str, int], str] = {}
    place: dict[str, tuple[str, int]] = {}
    for entry in journal:
        start = (entry.upstream, entry.incarnation)
        if entry.event == "leaving":
            gone[start] = "reclaim"
        elif entry.event == "crashed":
            gone[start] = "crash"
        elif entry.event in ("started", "resumed"):
            if entry.run in place:
                again = entry.recomputed_tokens or (
                    entry.prefill_tokens if entry.event == "started" else 0
                )
                causes[gone.get(place[entry.run], "other")] += again
            place[entry.run] = start
    return dict(causes)


def summarise(
    scenario: Scenario,
    path: str,
    results: list[RequestResult],
    journal: list[JournalEntry],
    spent_s: float,
) -> LoadResult:
    """Turn what became of all requests into figures.

    Parameters
    ----------
    scenario : Scenario
        What was run.
    path : str
        ``system`` or ``direct``.
    results : list of RequestResult
        One for each request.
    journal : list of JournalEntry
        Of all upstreams.
    spent_s : float
        Time for which hosts are paid, in seconds.

    Returns
    -------
    LoadResult
        The figures.
    """
    whole = [one for one in results if one.ended_s is not None]
    refusals = sum((one.refusals for one in results), Counter())
    tokens = sum(one.tokens for one in whole)
    cost = _price_per_s(scenario, with_system=path == "system") * spent_s
    half_s = scenario.duration_s / 2
    early = [one for one in results if one.arrival.at_s < half_s]
    late = [one for one in results if one.arrival.at_s >= half_s]
    first = [one.first_token_s for one in results if one.first_token_s is not None]
    return LoadResult(
        scenario.name,
        path,
        len(results),
        len(whole),
        Percentiles.from_seconds(first),
        Percentiles.from_seconds([gap for one in results for gap in one.gaps_s]),
        Percentiles.from_seconds([took for one in results for took in one.refused_s]),
        _good(scenario, results) / scenario.duration_s,
        tokens / scenario.duration_s,
        recomputed_by_cause(journal),
        dict(refusals),
        cost,
        cost / tokens * 1e6 if tokens else float("nan"),
        (_good(scenario, early) / half_s, _good(scenario, late) / half_s),
    )


def _good(scenario: Scenario, results: list[RequestResult]) -> int:
    target_s = scenario.first_token_target_ms / MS_PER_S
    return sum(
        one.ended_s is not None and one.first_token_s <= target_s for one in results
    )


def _price_per_s(scenario: Scenario, *, with_system: bool) -> float:
    prices = scenario.prices_per_hour
    hourly = sum(prices[one.machine_class] * one.runners for one in scenario.services)
    if with_system:
        hosts = scenario.entry_hosts + scenario.control_hosts
        hourly += prices["entry"] * hosts
    return hourly / S_PER_HOUR
