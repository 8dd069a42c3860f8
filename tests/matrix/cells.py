"""Scenarios about requests: each combination of step, fault and kind of request."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.matrix.callers import Caller, RequestKind
from tests.matrix.checks import (
    check_leaving,
    check_not_run,
    check_once,
    check_orders,
    check_planned_stop,
    check_prefix,
    check_refusals,
    check_traced,
    check_whole,
)
from tests.matrix.faults import FAULTS, Fault
from tests.matrix.scene import FRONTS, Scene
from tests.matrix.steps import STEPS, Step

__all__ = ["CellResult", "Scenario", "join_all", "request_scenarios"]

CALLERS_TIMEOUT_S = 20.0
THAW_AFTER_S = 6.0
#: Steps at which pairs of faults are injected too.
STEPS_OF_PAIRS = ("claimed", "dispatched", "mid-answer", "last-token")


@dataclass(slots=True)
class CellResult:
    """Failures found in one cell; none if it passed."""

    cell: str
    wrong: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Cells that are run together: one step and one fault.

    Attributes
    ----------
    name : str
        Name of the form ``STEP/FAULT``.
    cells : tuple of str
        Ids of the cells.
    run : callable
        Function that runs the cells in a group and returns their results. Its second
        argument is an index that selects the front host.
    own_group : bool
        Whether the group cannot be used for other scenarios afterwards.
    """

    name: str
    cells: tuple[str, ...]
    run: Callable
    own_group: bool = False


def request_scenarios() -> list[Scenario]:
    """Return the scenarios about requests in the order in which they are run."""
    return [
        _request_scenario(step, fault)
        for step in STEPS.values()
        for fault in FAULTS.values()
        if "+" not in fault.name or step.name in STEPS_OF_PAIRS
    ]


def _request_scenario(step: Step, fault: Fault) -> Scenario:
    name = f"{step.name}/{fault.name}"
    kinds = [kind for kind in RequestKind if kind in step.kinds]

    def run(group, turn: int) -> list[CellResult]:
        scene = Scene(group, FRONTS[turn % len(FRONTS)])
        hosts = group.caller_addresses
        in_turn = {node: hosts[node] for node in scene.entries}
        key = f"{name.replace('/', '.').replace('+', '.')}.{scene.since_ns}"
        scene.callers = [Caller(kind, f"{key}.{kind.value}", in_turn) for kind in kinds]
        try:
            step.reach(scene)
            fault.inject(scene)
            scene.links.release()
            _finish(scene)
        except TimeoutError as error:
            wrong = [f"step or fault not reached: {error}"]
            _finish(scene)
            results = [CellResult(f"{name}/{kind.value}", wrong) for kind in kinds]
        else:
            results = [
                _judge(scene, step, fault, caller, f"{name}/{caller.kind.value}")
                for caller in scene.callers
            ]
        scene.repair()
        return results

    return Scenario(name, tuple(f"{name}/{kind.value}" for kind in kinds), run)


def _finish(scene: Scene) -> None:
    """Wait for callers, thaw frozen processes, and wait for the remaining callers."""
    join_all(scene, THAW_AFTER_S, stop=False)
    scene.thaw()
    join_all(scene, CALLERS_TIMEOUT_S)
    scene.settle()


def join_all(scene: Scene, timeout_s: float, *, stop: bool = True) -> None:
    """Wait for the final answers of all callers.

    Parameters
    ----------
    scene : Scene
        Scenario whose callers are waited for.
    timeout_s : float
        Time limit for all callers together, in seconds.
    stop : bool
        Whether callers without a final answer stop retrying after the time limit.
    """
    deadline = time.monotonic() + timeout_s
    for caller in scene.callers:
        caller.join(max(0.0, deadline - time.monotonic()))
    if stop:
        for caller in scene.callers:
            caller.finish(0.0)


def _judge(
    scene: Scene, step: Step, fault: Fault, caller: Caller, cell: str
) -> CellResult:
    journal = scene.journal()
    mine = [caller.transcript]
    accepted = [] if step.name == "before-acceptance" else mine
    wrong = [
        *check_whole(mine, may_be_unknown=not fault.announced),
        *check_prefix(mine),
        *check_not_run(mine, journal),
        *check_once(mine, journal),
        *check_traced(mine, journal),
        *check_leaving(journal),
        *check_planned_stop(accepted, scene.stops),
        *check_orders(journal),
        *check_refusals(mine),
    ]
    return CellResult(cell, wrong)
