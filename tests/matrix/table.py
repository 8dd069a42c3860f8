"""All scenarios of the fault matrix, and the subset that `make test` runs."""

from tests.matrix.cells import Scenario, request_scenarios
from tests.matrix.control_cells import control_scenarios
from tests.matrix.order_cells import order_scenarios
from tests.matrix.special_cells import special_scenarios

__all__ = ["SUBSET", "all_scenarios"]

#: Names of scenarios that together cover each invariant.
SUBSET = (
    "dispatched/kill-upstream",
    "claimed/kill-front",
    "mid-answer/kill-front",
    "mid-answer/stop-front",
    "mid-answer/reclaim-upstream",
    "any/leave-under-load/plain",
    "replicated/kill-leader",
    "order-sent/freeze-leader/fencing-ignore",
)


def all_scenarios() -> list[Scenario]:
    """Return all scenarios in the order in which they are run."""
    return [
        *special_scenarios(),
        *order_scenarios(),
        *request_scenarios(),
        *control_scenarios(),
    ]
