"""Orders to engines, committed to the log and sent by the leader only."""

from cranberryfield.control.orders.machine import OrdersState, apply_order_command

__all__ = ["OrdersState", "apply_order_command"]
