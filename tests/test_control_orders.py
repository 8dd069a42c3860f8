"""Orders to engines that check fencing tokens and to engines that do not (I8).

The leader is deposed while one of its orders is in flight.
"""

import anyio
import pytest
from anyio.from_thread import start_blocking_portal

from cranberryfield.core.messages.orders import OrderAction, PlaceOrder
from standins.control_client import running_client
from standins.engine import Fencing
from standins.group import HostPlan, running_group
from standins.processes import free_port, wait_until

CONTROL = ["control-1", "control-2", "control-3"]
HOSTS = [
    *(HostPlan(node, "plateau", ("control",)) for node in CONTROL),
    HostPlan("entry-1", "plateau"),
]
ENGINES = {"checking": Fencing.CHECK, "ignoring": Fencing.IGNORE}


class DelayingProxy:
    """Proxy of an engine that delays the first connection until it is released."""

    def __init__(self, target_port):
        self.port = free_port()
        self.has_connection = False
        self.released = False
        self.first_answered = False
        self._target_port = target_port

    async def run(self, *, task_status):
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        task_status.started()
        await listener.serve(self._forward)

    async def _forward(self, client):
        is_first = not self.has_connection
        self.has_connection = True
        try:
            request = await client.receive()
            while is_first and not self.released:
                await anyio.sleep(0.01)
            async with await anyio.connect_tcp(
                "127.0.0.1", self._target_port
            ) as engine:
                await engine.send(request)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._copy, client, engine)
                    async for data in engine:
                        self.first_answered = self.first_answered or is_first
                        await client.send(data)
                    tasks.cancel_scope.cancel()
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            return

    async def _copy(self, source, sink):
        # A client that gives up does not cancel the forwarding: the engine still
        # receives the request.
        try:
            async for data in source:
                await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


def engine_port(group, engine):
    upstreams = group.known_upstreams("entry-1")
    return next(
        int(u["address"].split(":")[1]) for u in upstreams if u["upstream"] == engine
    )


def wait_leader(group, nodes=CONTROL):
    leaders = []

    def find_leader():
        for node in nodes:
            view = group.status(node)
            if view and view["control"]["role"] == "leader":
                leaders.append(node)
        return bool(leaders)

    wait_until(find_leader, "a leader")
    return leaders[-1]


def place_order(client, engine, address, model):
    order = PlaceOrder(
        f"{engine}-{model}",
        engine,
        address,
        OrderAction.LOAD_MODEL,
        model,
        ENGINES[engine] is Fencing.CHECK,
    )
    return client.propose(order).order_id


def executed_orders(group, engine):
    """Return the id and fencing token of each order that the engine carried out."""
    return [
        (entry.detail.split()[0], int(entry.detail.split()[1]))
        for entry in group.journal()
        if entry.upstream == engine and entry.event == "order"
    ]


@pytest.fixture(scope="module")
def group(tmp_path_factory):
    folder = tmp_path_factory.mktemp("orders")
    with running_group(folder, HOSTS) as group:
        for engine, fencing in ENGINES.items():
            group.add_engine(engine, "redacteur", "plateau", fencing=fencing)
        group.wait_upstreams(len(ENGINES))
        yield group


@pytest.mark.parametrize("engine", ENGINES)
def test_a_deposed_leader_in_mid_order_has_no_effect(group, engine):
    proxy = DelayingProxy(engine_port(group, engine))
    address = f"127.0.0.1:{proxy.port}"
    with start_blocking_portal() as portal, running_client(group) as client:
        portal.start_task(proxy.run)
        first_id = place_order(client, engine, address, "first")
        wait_until(lambda: proxy.has_connection, "an order is in flight")
        deposed_leader = wait_leader(group)
        group.hosts[deposed_leader].process.freeze()
        wait_leader(group, [node for node in CONTROL if node != deposed_leader])
        second_id = place_order(client, engine, address, "second")
        wait_until(
            lambda: (
                [id for id, _ in executed_orders(group, engine)]
                == [first_id, second_id]
            ),
            "both orders of the new leader are carried out",
        )
        orders_before = executed_orders(group, engine)
        proxy.released = True
        group.hosts[deposed_leader].process.thaw()
        wait_until(lambda: proxy.first_answered, "the delayed order reaches the engine")
        third_id = place_order(client, engine, address, "third")
        wait_until(
            lambda: third_id in [id for id, _ in executed_orders(group, engine)],
            "the third order is carried out",
        )
        portal.call(portal.stop, True)
    orders_after = executed_orders(group, engine)
    assert orders_after[: len(orders_before)] == orders_before
    assert [id for id, _ in orders_after] == [first_id, second_id, third_id]
    terms = [term for _, term in orders_after]
    assert terms == sorted(terms)
