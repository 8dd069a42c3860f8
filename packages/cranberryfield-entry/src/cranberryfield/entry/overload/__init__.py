"""What is delayed or refused when there is too little room."""

from cranberryfield.entry.overload.cost import (
    PendingWork,
    Refusal,
    RefusalReason,
    cost_order,
    refuse_unservable,
    request_urgency,
)

__all__ = [
    "PendingWork",
    "Refusal",
    "RefusalReason",
    "cost_order",
    "refuse_unservable",
    "request_urgency",
]
