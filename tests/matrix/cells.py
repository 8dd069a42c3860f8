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
from tests.matrix.context import FRONTS, ScenarioContext
from tests.matrix.faults import FAULTS, Fault
from tests.matrix.steps import STEPS, Step

__all__ = ["CellResult", "Scenario", "join_callers", "request_scenarios"]

CALLERS_TIMEOUT_S = 20.0
THAW_AFTER_S = 6.0
#: Steps at which pairs of faults are injected too.
FAULT_PAIR_STEPS = ("claimed", "dispatched", "mid-answer", "last-token")


@dataclass(slots=True)
class CellResult:
    """Failures found in one cell; none if it passed."""

    cell: str
    failures: list[str] = field(default_factory=list)


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
    discards_group : bool
        Whether the group cannot be used for other scenarios afterwards.
    """

    name: str
    cells: tuple[str, ...]
    run: Callable
    discards_group: bool = False


def request_scenarios() -> list[Scenario]:
    """Return the scenarios about requests in the order in which they are run."""
    return [
        _request_scenario(step, fault)
        for step in STEPS.values()
        for fault in FAULTS.values()
        if "+" not in fault.name or step.name in FAULT_PAIR_STEPS
    ]


def _request_scenario(step: Step, fault: Fault) -> Scenario:
    name = f"{step.name}/{fault.name}"
    kinds = [kind for kind in RequestKind if kind in step.kinds]

    def run(group, index: int) -> list[CellResult]:
        context = ScenarioContext(group, FRONTS[index % len(FRONTS)])
        hosts = group.caller_addresses
        addresses = {node: hosts[node] for node in context.entry_hosts}
        key = f"{name.replace('/', '.').replace('+', '.')}.{context.since_ns}"
        context.callers = [
            Caller(kind, f"{key}.{kind.value}", addresses) for kind in kinds
        ]
        try:
            step.reach(context)
            fault.inject(context)
            context.links.release()
            _await_callers(context)
        except TimeoutError as error:
            failures = [f"step or fault not reached: {error}"]
            _await_callers(context)
            results = [CellResult(f"{name}/{kind.value}", failures) for kind in kinds]
        else:
            results = [
                _check_cell(context, step, fault, caller, f"{name}/{caller.kind.value}")
                for caller in context.callers
            ]
        context.repair()
        return results

    return Scenario(name, tuple(f"{name}/{kind.value}" for kind in kinds), run)


def _await_callers(context: ScenarioContext) -> None:
    """Wait for callers, thaw frozen processes, and wait for the remaining callers."""
    join_callers(context, THAW_AFTER_S, stop=False)
    context.thaw()
    join_callers(context, CALLERS_TIMEOUT_S)
    context.wait_stops()


def join_callers(
    context: ScenarioContext, timeout_s: float, *, stop: bool = True
) -> None:
    """Wait for the final answers of all callers.

    Parameters
    ----------
    context : ScenarioContext
        Scenario whose callers are waited for.
    timeout_s : float
        Time limit for all callers together, in seconds.
    stop : bool
        Whether callers without a final answer stop retrying after the time limit.
    """
    deadline = time.monotonic() + timeout_s
    for caller in context.callers:
        caller.join(max(0.0, deadline - time.monotonic()))
    if stop:
        for caller in context.callers:
            caller.finish(0.0)


def _check_cell(
    context: ScenarioContext, step: Step, fault: Fault, caller: Caller, cell: str
) -> CellResult:
    journal = context.journal()
    transcripts = [caller.transcript]
    accepted = [] if step.name == "before-acceptance" else transcripts
    failures = [
        *check_whole(transcripts, may_be_unknown=not fault.announced),
        *check_prefix(transcripts),
        *check_not_run(transcripts, journal),
        *check_once(transcripts, journal),
        *check_traced(transcripts, journal),
        *check_leaving(journal),
        *check_planned_stop(accepted, context.stops),
        *check_orders(journal),
        *check_refusals(transcripts),
    ]
    return CellResult(cell, failures)
