"""Orders to engines: placed in the log, issued by the leader alone."""

from cranberryfield.control.orders.machine import OrdersState, apply_order_command

__all__ = ["OrdersState", "apply_order_command"]
