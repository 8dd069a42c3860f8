"""Interface of the client for the cloud API."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from cranberryfield.core.ids import NodeId, ServiceName, WorkspaceId

if TYPE_CHECKING:
    # A relay host imports this module, and none of the control role.
    from cranberryfield.control.capacity.runners import Pool

__all__ = ["CallOutcome", "CloudClient", "FencingToken"]


class CallOutcome(Enum):
    """Outcome of a call to the cloud API."""

    DONE = "done"
    #: Rejected: a higher fencing number has been used.
    FENCED = "fenced"
    #: The ordered upstreams are currently not available.
    REFUSED = "refused"
    #: The call failed, or its outcome is unknown.
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class FencingToken:
    """Caller of the cloud API and its fencing number; higher numbers supersede."""

    holder: NodeId
    number: int


@dataclass(frozen=True, slots=True)
class CloudClient:
    """Client of the cloud API.

    Attributes
    ----------
    report_usage : callable
        Reports the usage counts of a window by workspace.
    order_upstreams : callable
        Sets the desired number of upstreams of a service in a pool.
    """

    report_usage: Callable[
        [FencingToken, int, dict[WorkspaceId, int]], Awaitable[CallOutcome]
    ]
    order_upstreams: Callable[
        [FencingToken, ServiceName, "Pool", int], Awaitable[CallOutcome]
    ]
