"""Schema of a scenario's YAML file."""

from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec

__all__ = ["SCENARIOS", "LoadKind", "Scenario", "ServiceLoad", "WorkspaceLoad"]

#: Folder of the scenarios that come with the project.
SCENARIOS = Path(__file__).resolve().parent.parent / "scenarios"

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1, le=64)]


class LoadKind(Enum):
    """What happens during a run."""

    STEADY = "steady"
    RECLAIM_WAVE = "reclaim-wave"
    OVERLOAD = "overload"


class ServiceLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service, its runners and its part of the requests.

    Attributes
    ----------
    name : str
        The service.
    runners : int
        Upstreams, spread over the data centres in turn.
    part : float
        Weight among all requests.
    model : bool
        Whether engines answer it, or a plain service.
    step_ms, work_ms : float
        Time of an engine's step, or of a plain call, in milliseconds.
    capacity : int
        Requests that one engine runs at once.
    prompt_words : int
        Words of a prompt; half of them are the same for a workspace.
    tokens : tuple of int
        Least and greatest length of an answer, in tokens.
    machine_class : str
        Its price is that of the scenario's list.
    """

    name: str
    runners: Count
    part: Positive
    model: bool = True
    step_ms: Positive = 2.0
    work_ms: Positive = 20.0
    capacity: Count = 16
    prompt_words: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64
    tokens: tuple[int, int] = (32, 96)
    machine_class: str = "reclaimable"


class WorkspaceLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One workspace and its part of the requests."""

    name: str
    part: Positive


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run of one fleet.

    Attributes
    ----------
    name : str
        Names the results.
    kind : LoadKind
        What happens during the run.
    seed : int
        Of arrivals, prompts and lengths.
    duration_s : float
        Time over which requests arrive, in seconds.
    rate_per_s : float
        Mean arrivals a second; in an overload, those at the peak.
    overload_factor : float
        Multiplies the rate in the second half of an overload.
    budget_ms : int
        Deadline that callers give, in milliseconds.
    entry_hosts, control_hosts : int
        Processes of the system.
    data_centres : tuple of str
        Places, in turn for hosts and runners.
    services : tuple of ServiceLoad
        What runs behind the system.
    workspaces : tuple of WorkspaceLoad
        Who calls.
    prices_per_hour : dict
        Price of one host by machine class; ``entry`` for the system's own.
    reclaim_ms : int
        Notice before a reclaim, in milliseconds.
    first_token_target_ms, token_gap_target_ms : int
        Latency targets, in milliseconds.
    """

    name: str
    kind: LoadKind
    seed: int
    duration_s: Positive
    rate_per_s: Positive
    services: tuple[ServiceLoad, ...]
    workspaces: tuple[WorkspaceLoad, ...]
    data_centres: tuple[str, ...]
    prices_per_hour: dict[str, float]
    entry_hosts: Count = 3
    control_hosts: Count = 3
    overload_factor: Positive = 2.0
    budget_ms: int = 10_000
    reclaim_ms: int = 1000
    first_token_target_ms: int = 340
    token_gap_target_ms: int = 28

    @classmethod
    def from_file(cls, path: Path) -> "Scenario":
        """Read and check a scenario.

        Parameters
        ----------
        path : pathlib.Path
            A YAML file.

        Returns
        -------
        Scenario
            The checked scenario.
        """
        return msgspec.yaml.decode(path.read_bytes(), type=cls)
