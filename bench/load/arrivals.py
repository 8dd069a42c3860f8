"""Arrival times and contents of requests, drawn from the seed of a scenario."""

from random import Random

import msgspec

from bench.load.scenario import LoadKind, Scenario, ServiceLoad

__all__ = ["Arrival", "draw_arrivals"]

VOCABULARY = 5000


class Arrival(msgspec.Struct, frozen=True):
    """One planned request.

    Attributes
    ----------
    number : int
        Index in the run, from 0.
    at_s : float
        Intended arrival time, in seconds from the start of the run.
    service : ServiceLoad
        Requested service.
    workspace : str
        Workspace that sends the request.
    prompt : str
        Prompt for an engine, or body for a plain service.
    tokens : int
        Requested length of the response, in tokens.
    """

    number: int
    at_s: float
    service: ServiceLoad
    workspace: str
    prompt: str
    tokens: int


def draw_arrivals(scenario: Scenario) -> list[Arrival]:
    """Draw requests from a Poisson process.

    Parameters
    ----------
    scenario : Scenario
        Source of the seed, the rate and the traffic shares.

    Returns
    -------
    list of Arrival
        Sorted by time; identical for identical scenarios.
    """
    rng = Random(scenario.seed)
    arrivals: list[Arrival] = []
    at_s = rng.expovariate(_rate_at(scenario, 0.0))
    while at_s < scenario.duration_s:
        arrivals.append(_draw_arrival(scenario, rng, len(arrivals), at_s))
        at_s += rng.expovariate(_rate_at(scenario, at_s))
    return arrivals


def _rate_at(scenario: Scenario, at_s: float) -> float:
    is_second_half = at_s >= scenario.duration_s / 2
    if scenario.kind is LoadKind.OVERLOAD and is_second_half:
        return scenario.rate_per_s * scenario.overload_factor
    return scenario.rate_per_s


def _draw_arrival(scenario: Scenario, rng: Random, number: int, at_s: float) -> Arrival:
    service = rng.choices(
        scenario.services, [service_load.part for service_load in scenario.services]
    )[0]
    parts = [workspace_load.part for workspace_load in scenario.workspaces]
    workspace = rng.choices(scenario.workspaces, parts)[0].name
    return Arrival(
        number,
        at_s,
        service,
        workspace,
        _prompt(rng, workspace, service.prompt_words, number),
        rng.randint(*service.tokens),
    )


def _prompt(rng: Random, workspace: str, words: int, number: int) -> str:
    shared = [f"{workspace}-{place}" for place in range(words // 2)]
    unique = [f"n{number}"]
    unique += [f"x{rng.randrange(VOCABULARY)}" for _ in range(words - len(shared) - 1)]
    return " ".join(shared + unique)
