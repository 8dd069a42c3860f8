import pytest

from cranberryfield.control.orders import OrdersState, apply_order_command
from cranberryfield.control.orders.scheduling import due_orders
from cranberryfield.core.messages.commands import Refused
from cranberryfield.core.messages.orders import ConfirmOrder, OrderAction, PlaceOrder


@pytest.fixture
def state():
    state = OrdersState()
    for number, (engine, checks) in enumerate([("e", True), ("e", True), ("i", False)]):
        order = PlaceOrder(
            str(number), engine, "127.0.0.1:1", OrderAction.LOAD_MODEL, "m", checks
        )
        apply_order_command(state, order)
    return state


@pytest.mark.parametrize(
    ("in_flight", "lease_until", "now", "due"),
    [
        ((), 20.0, 15.0, ["e-1", "i-1"]),
        (("e",), 20.0, 15.0, ["i-1"]),
        ((), 20.0, 10.5, ["e-1"]),  # an earlier leader's lease may not be over
        ((), 15.1, 15.0, []),  # the lease ends before the timeout of the attempt
        ((), 14.0, 15.0, []),
    ],
)
def test_due_orders(state, in_flight, lease_until, now, due):
    due_now = due_orders(state, frozenset(in_flight), 10.0, lease_until, 1.2, now)
    assert [due_order.order.order_id for due_order in due_now] == due


def test_an_order_waits_until_the_one_before_is_confirmed(state):
    apply_order_command(state, ConfirmOrder("e", "e-2"))
    apply_order_command(state, ConfirmOrder("nobody", "e-1"))
    assert state.engines["e"].pending[0].order_id == "e-1"
    apply_order_command(state, ConfirmOrder("e", "e-1"))
    assert state.engines["e"].pending == []


def test_pending_orders_are_bounded(state):
    for number in range(100, 200):
        order = PlaceOrder(str(number), "e", "a", OrderAction.CHANGE_ROLE, "decode")
        result = apply_order_command(state, order)
    assert isinstance(result, Refused)
    assert len(state.engines["e"].pending) == 64
