"""Cells about orders to engines: a control host fails while an order is in transit."""

from collections.abc import Callable

from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.messages.orders import OrderAction, PlaceOrder
from standins.control_client import ControlClient, running_client
from standins.engine import Fencing
from standins.group import Group
from standins.links import Links
from standins.processes import wait_until
from tests.matrix.cells import CellResult, Scenario
from tests.matrix.checks import check_orders
from tests.matrix.context import FRONTS, ScenarioContext

__all__ = ["order_scenarios"]

CONTROLS = "controls"
SERVICE = "ordered"


def _kill_leader(context: ScenarioContext, leader: str) -> None:
    context.kill_host(leader)


def _freeze_leader(context: ScenarioContext, leader: str) -> None:
    context.freeze(context.host(leader).process)


def _cut_leader(context: ScenarioContext, leader: str) -> None:
    for node in context.group.hosts:
        context.links.cut(leader, node)


def _kill_follower(context: ScenarioContext, leader: str) -> None:
    context.kill_host(next(node for node in context.control_hosts if node != leader))


FAULTS: dict[str, Callable[[ScenarioContext, str], None]] = {
    "kill-leader": _kill_leader,
    "freeze-leader": _freeze_leader,
    "cut-leader": _cut_leader,
    "kill-follower": _kill_follower,
}


def order_scenarios() -> list[Scenario]:
    """Return the scenarios about orders in the order in which they are run."""
    return [
        _scenario(fault, inject, fencing)
        for fault, inject in FAULTS.items()
        for fencing in Fencing
    ]


def _scenario(fault: str, inject: Callable, fencing: Fencing) -> Scenario:
    cell = f"order-sent/{fault}/fencing-{fencing.value}"

    def run(group: Group, index: int) -> list[CellResult]:
        context = ScenarioContext(group, FRONTS[index % len(FRONTS)])
        engine = f"{SERVICE}-{context.since_ns}"
        group.add_engine(engine, SERVICE, "plateau", fencing=fencing)
        result = CellResult(cell)
        try:
            with running_client(group) as client:
                placed = _place_orders(context, client, engine, fencing, inject)
            result.failures += _check_orders(context, engine, placed)
        except (TimeoutError, CranberryfieldError) as error:
            result.failures.append(f"order not carried out: {error}")
        group.remove_upstream(engine)
        context.repair()
        return [result]

    return Scenario(cell, (cell,), run)


def _place_orders(
    context: ScenarioContext,
    client: ControlClient,
    engine: str,
    fencing: Fencing,
    inject: Callable[[ScenarioContext, str], None],
) -> list[str]:
    """Place three orders; the proxy holds the first while the fault is injected.

    Returns
    -------
    list of str
        Ids of the orders, in the order in which they were placed.
    """
    links: Links = context.links
    port = context.group.upstream_port(engine)
    address = links.open_link(CONTROLS, engine, port)
    wait_until(lambda: _is_announced(context, engine), f"{engine} announces itself")
    links.hold(CONTROLS, engine)
    leader = context.leader()

    def place(name: str) -> str:
        order = PlaceOrder(
            f"{engine}-{name}",
            engine,
            address,
            OrderAction.LOAD_MODEL,
            name,
            fencing is Fencing.CHECK,
        )
        return client.propose(order).order_id

    placed = [place("first")]
    wait_until(
        lambda: links.held_bytes(CONTROLS, engine) > 0, "first order held by the proxy"
    )
    inject(context, leader)
    placed.append(place("second"))
    links.release()
    wait_until(
        lambda: _executed_order_id_set(context, engine) >= set(placed),
        "orders carried out",
    )
    context.thaw()
    links.heal()
    placed.append(place("third"))
    wait_until(
        lambda: _executed_order_id_set(context, engine) >= set(placed),
        "orders carried out",
    )
    return placed


def _is_announced(context: ScenarioContext, engine: str) -> bool:
    known = context.group.known_upstreams(context.front)
    return any(one["upstream"] == engine for one in known)


def _executed_order_ids(context: ScenarioContext, engine: str) -> list[str]:
    return [
        one.detail.split()[0]
        for one in context.journal()
        if one.upstream == engine and one.event == "order"
    ]


def _executed_order_id_set(context: ScenarioContext, engine: str) -> set[str]:
    return set(_executed_order_ids(context, engine))


def _check_orders(
    context: ScenarioContext, engine: str, placed: list[str]
) -> list[str]:
    failures = check_orders(
        [one for one in context.journal() if one.upstream == engine]
    )
    if _executed_order_ids(context, engine) != placed:
        failures.append(
            f"I8 {engine}: {_executed_order_ids(context, engine)}, not {placed}"
        )
    return failures
