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
from tests.matrix.scene import FRONTS, Scene

__all__ = ["order_scenarios"]

CONTROLS = "controls"
SERVICE = "ordered"


def _kill_leader(scene: Scene, leader: str) -> None:
    scene.kill_host(leader)


def _freeze_leader(scene: Scene, leader: str) -> None:
    scene.freeze(scene.host(leader).process)


def _cut_leader(scene: Scene, leader: str) -> None:
    for node in scene.group.hosts:
        scene.links.cut(leader, node)


def _kill_follower(scene: Scene, leader: str) -> None:
    scene.kill_host(next(node for node in scene.controls if node != leader))


FAULTS: dict[str, Callable[[Scene, str], None]] = {
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

    def run(group: Group, turn: int) -> list[CellResult]:
        scene = Scene(group, FRONTS[turn % len(FRONTS)])
        engine = f"{SERVICE}-{scene.since_ns}"
        group.add_engine(engine, SERVICE, "plateau", fencing=fencing)
        result = CellResult(cell)
        try:
            with running_client(group) as client:
                placed = _order_through(scene, client, engine, fencing, inject)
            result.wrong += _judge(scene, engine, placed)
        except (TimeoutError, CranberryfieldError) as error:
            result.wrong.append(f"order not carried out: {error}")
        group.remove_upstream(engine)
        scene.repair()
        return [result]

    return Scenario(cell, (cell,), run)


def _order_through(
    scene: Scene,
    client: ControlClient,
    engine: str,
    fencing: Fencing,
    inject: Callable[[Scene, str], None],
) -> list[str]:
    """Place three orders; the proxy holds the first while the fault is injected.

    Returns
    -------
    list of str
        Ids of the orders, in the order in which they were placed.
    """
    links: Links = scene.links
    port = scene.group.upstream_port(engine)
    address = links.open(CONTROLS, engine, port)
    wait_until(lambda: _listens(scene, engine), f"{engine} announces itself")
    links.hold(CONTROLS, engine)
    leader = scene.leader()

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
    wait_until(lambda: links.held(CONTROLS, engine) > 0, "an order under way")
    inject(scene, leader)
    placed.append(place("second"))
    links.release()
    wait_until(lambda: _carried_out(scene, engine) >= set(placed), "orders carried out")
    scene.thaw()
    links.heal()
    placed.append(place("third"))
    wait_until(lambda: _carried_out(scene, engine) >= set(placed), "orders carried out")
    return placed


def _listens(scene: Scene, engine: str) -> bool:
    known = scene.group.known_upstreams(scene.front)
    return any(one["upstream"] == engine for one in known)


def _orders(scene: Scene, engine: str) -> list[str]:
    return [
        one.detail.split()[0]
        for one in scene.journal()
        if one.upstream == engine and one.event == "order"
    ]


def _carried_out(scene: Scene, engine: str) -> set[str]:
    return set(_orders(scene, engine))


def _judge(scene: Scene, engine: str, placed: list[str]) -> list[str]:
    wrong = check_orders([one for one in scene.journal() if one.upstream == engine])
    if _orders(scene, engine) != placed:
        wrong.append(f"I8 {engine}: {_orders(scene, engine)}, not {placed}")
    return wrong
