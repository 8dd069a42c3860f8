"""Runs one scenario on one group, both through the system and directly."""

import tempfile
import time
from collections.abc import Callable
from hashlib import sha256
from pathlib import Path

import anyio

from bench.load.arrivals import Arrival, draw_arrivals
from bench.load.generator import RequestResult, Target, send_all
from bench.load.results import LoadResult, summarise
from bench.load.scenario import LoadKind, Scenario
from standins.group import Group, HostSpec, running_group

__all__ = ["run_scenario"]

#: Start of the reclaim wave, as a fraction of the run.
RECLAIM_WAVE_START = 0.4
NS_PER_S = 1_000_000_000
#: Pause between two runs, for late journal entries and cancelled requests.
SETTLE_S = 0.5


def run_scenario(scenario: Scenario) -> list[LoadResult]:
    """Run a scenario and its baseline with the same requests.

    Parameters
    ----------
    scenario : Scenario
        Scenario to run.

    Returns
    -------
    list of LoadResult
        Results of direct calls to the upstreams and of calls through the system.
    """
    arrivals = draw_arrivals(scenario)
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), _host_plans(scenario)) as group,
    ):
        revision = group.change_settings(_settings(scenario), "load", "entry-1")
        group.wait_for_revision(revision)
        _start_upstreams(scenario, group)
        group.wait_for_upstreams(len(group.upstreams))
        direct = _run_path(scenario, group, "direct", arrivals, _direct_target(group))
        time.sleep(SETTLE_S)
        system = _run_path(
            scenario, group, "system", arrivals, _system_target(scenario, group)
        )
    return [direct, system]


def _host_plans(scenario: Scenario) -> list[HostSpec]:
    data_centres = scenario.data_centres
    plans = [
        HostSpec(
            f"control-{number + 1}",
            data_centres[number % len(data_centres)],
            ("control",),
        )
        for number in range(scenario.control_hosts)
    ]
    plans += [
        HostSpec(f"entry-{number + 1}", data_centres[number % len(data_centres)])
        for number in range(scenario.entry_hosts)
    ]
    return plans


def _settings(scenario: Scenario) -> list[dict]:
    edits = [
        {
            "level": f"workspace/{workspace.name}",
            "set": {"key_hashes": [sha256(_key(workspace.name).encode()).hexdigest()]},
        }
        for workspace in scenario.workspaces
    ]
    for service in scenario.services:
        values = {"kind": "model"}
        if not service.model:
            values = {"kind": "plain", "idempotent": False}
        edits.append({"level": f"service/{service.name}", "set": values})
    return edits


def _key(workspace: str) -> str:
    return f"{workspace}-key"


def _start_upstreams(scenario: Scenario, group: Group) -> None:
    for service in scenario.services:
        for number in range(service.runners):
            data_centre = scenario.data_centres[number % len(scenario.data_centres)]
            name = f"{service.name}-{number + 1}"
            if service.model:
                group.add_engine(
                    name,
                    service.name,
                    data_centre,
                    step_ms=service.step_ms,
                    capacity=service.capacity,
                    machine_class=service.machine_class,
                    reclaim_ms=scenario.reclaim_ms,
                )
            else:
                group.add_service(
                    name,
                    service.name,
                    data_centre,
                    work_ms=service.work_ms,
                    reclaim_ms=scenario.reclaim_ms,
                )


def _system_target(scenario: Scenario, group: Group) -> Target:
    hosts = group.entry_addresses

    def headers(arrival: Arrival) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {_key(arrival.workspace)}",
            "Idempotency-Key": f"{scenario.name}-{arrival.number}",
            "Cranberryfield-Deadline-Ms": str(scenario.budget_ms),
        }

    def path(arrival: Arrival) -> str:
        if arrival.service.model:
            return "/v1/completions"
        return f"/services/{arrival.service.name}/appointments"

    return Target(lambda arrival: hosts, headers, path)


def _direct_target(group: Group) -> Target:
    def hosts(arrival: Arrival) -> list[str]:
        return group.upstream_addresses(arrival.service.name)

    def headers(arrival: Arrival) -> dict[str, str]:
        return {"Cranberryfield-Run": f"direct-{arrival.number}"}

    def path(arrival: Arrival) -> str:
        return "/v1/completions" if arrival.service.model else "/appointments"

    return Target(hosts, headers, path)


def _run_path(
    scenario: Scenario,
    group: Group,
    path: str,
    arrivals: list[Arrival],
    target: Target,
) -> LoadResult:
    started = time.monotonic()
    since_ns = time.time_ns()
    reclaim_wave = None
    if scenario.kind is LoadKind.RECLAIM_WAVE and path == "system":
        reclaim_wave = _reclaim_wave(scenario, group)
    results = anyio.run(_send_load, arrivals, target, reclaim_wave)
    journal = [entry for entry in group.journal() if entry.at_ns >= since_ns]
    return summarise(scenario, path, results, journal, time.monotonic() - started)


async def _send_load(
    arrivals: list[Arrival], target: Target, reclaim_wave: Callable | None
) -> list[RequestResult]:
    results: list[RequestResult] = []
    async with anyio.create_task_group() as tasks:
        if reclaim_wave is not None:
            tasks.start_soon(reclaim_wave)
        results = await send_all(arrivals, target)
        tasks.cancel_scope.cancel()
    return results


def _reclaim_wave(scenario: Scenario, group: Group) -> Callable:
    """Return a task that reclaims half of the upstreams of one data centre at once."""
    data_centre = scenario.data_centres[0]
    names = [
        name for name in group.upstreams if group.data_centre_of(name) == data_centre
    ]
    reclaimed = names[: max(1, (len(names) + 1) // 2)]

    async def run() -> None:
        await anyio.sleep(RECLAIM_WAVE_START * scenario.duration_s)
        for name in reclaimed:
            group.upstreams[name].terminate()

    return run
