"""Asks of a relay for slots, and what becomes of them."""

from dataclasses import dataclass
from enum import Enum

from cranberryfield.core.ids import (
    ServiceName,
    UpstreamId,
    UpstreamProcess,
    WorkspaceId,
)
from cranberryfield.core.messages.slots import SlotRefusal

__all__ = ["AskOutcome", "PendingAsk", "SlotRequirements"]


class AskOutcome(Enum):
    """What has become of an ask."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"
    #: The owner is out of reach, or lends nothing yet.
    NO_OWNER = "no owner"


@dataclass(frozen=True, slots=True)
class SlotRequirements:
    """What a request needs of the slot that it waits for.

    Attributes
    ----------
    service : ServiceName
        Its service.
    workspace : WorkspaceId
        Its workspace; empty on a public route.
    rank : int
        Its priority.
    arrived_at, deadline : float
        Monotonic time in seconds of its arrival and its deadline.
    target_ms : int
        Target of its route in milliseconds; 0 for none.
    session : str
        Key of its session; empty for none.
    excluded : tuple of UpstreamId
        Upstreams that it cannot use.
    """

    service: ServiceName
    workspace: WorkspaceId
    rank: int
    arrived_at: float
    deadline: float
    target_ms: int = 0
    session: str = ""
    excluded: tuple[UpstreamId, ...] = ()


@dataclass(slots=True)
class PendingAsk:
    """An ask until it is answered.

    Attributes
    ----------
    number : int
        Number of the ask, and of the slot once it is granted.
    requirements : SlotRequirements
        What is asked for.
    outcome : AskOutcome
        What has become of it.
    process : UpstreamProcess or None
        Upstream granted.
    refusal : SlotRefusal or None
        Why and until when the owner refuses.
    first_sent_at : float or None
        Monotonic time in seconds of the first report with the ask.
    first_sequence : int
        Number of that report; 0 before it.
    is_acknowledged : bool
        Whether the owner knows the ask.
    """

    number: int
    requirements: SlotRequirements
    outcome: AskOutcome = AskOutcome.WAITING
    process: UpstreamProcess | None = None
    refusal: SlotRefusal | None = None
    first_sent_at: float | None = None
    first_sequence: int = 0
    is_acknowledged: bool = False
