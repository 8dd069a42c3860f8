"""Schema of the YAML file of a scenario."""

from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec

__all__ = ["SCENARIOS", "LoadKind", "Scenario", "ServiceLoad", "WorkspaceLoad"]

#: Folder of the bundled scenarios.
SCENARIOS = Path(__file__).resolve().parent.parent / "scenarios"

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1, le=64)]


class LoadKind(Enum):
    """Load pattern of a run."""

    STEADY = "steady"
    RECLAIM_WAVE = "reclaim-wave"
    OVERLOAD = "overload"


class ServiceLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service, its upstreams and its share of the requests.

    Attributes
    ----------
    name : str
        Name of the service.
    runners : int
        Number of upstreams, distributed round-robin over the data centres.
    part : float
        Relative weight of the service in the traffic.
    model : bool
        Whether the upstreams are model engines rather than a plain service.
    step_ms, work_ms : float
        Duration of an engine step or of a plain call, in milliseconds.
    capacity : int
        Number of requests that one engine runs concurrently.
    prompt_words : int
        Number of words in a prompt; half of them are shared within a workspace.
    tokens : tuple of int
        Minimum and maximum length of a response, in tokens.
    machine_class : str
        Key of the price in `Scenario.prices_per_hour`.
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
    """One workspace and its relative weight in the traffic."""

    name: str
    part: Positive


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load scenario of one fleet.

    Attributes
    ----------
    name : str
        Name of the scenario, used in the results.
    kind : LoadKind
        Load pattern of the run.
    seed : int
        Seed of arrivals, prompts and response lengths.
    duration_s : float
        Time over which requests arrive, in seconds.
    rate_per_s : float
        Mean arrival rate, in requests per second; for an overload, the rate of
        the first half.
    overload_factor : float
        Factor on the rate in the second half of an overload.
    budget_ms : int
        Request deadline set by callers, in milliseconds.
    entry_hosts, control_hosts : int
        Number of entry and control hosts.
    data_centres : tuple of str
        Data centres, assigned round-robin to hosts and upstreams.
    services : tuple of ServiceLoad
        Services behind the system.
    workspaces : tuple of WorkspaceLoad
        Workspaces that send requests.
    prices_per_hour : dict
        Price per host by machine class; ``entry`` for the entry and control
        hosts.
    reclaim_ms : int
        Notice period before a reclaim, in milliseconds.
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
        """Read and validate a scenario.

        Parameters
        ----------
        path : pathlib.Path
            Path of the YAML file.

        Returns
        -------
        Scenario
            Validated scenario.
        """
        return msgspec.yaml.decode(path.read_bytes(), type=cls)
