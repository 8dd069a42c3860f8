"""Messages about limits that all entry hosts share."""

from cranberryfield.core.ids import ServiceName, WorkspaceId
from cranberryfield.core.messages.base import Message

__all__ = ["LeaseTokens", "TokenLease"]


class LeaseTokens(Message):
    """Asks the keeper of a limit for tokens, one for each request to admit.

    Attributes
    ----------
    rate_per_s : float
        The limit in force at the sender.
    wanted : int
        Tokens asked for.
    returned : int
        Tokens of earlier leases that were not used.
    """

    workspace: WorkspaceId
    service: ServiceName
    rate_per_s: float
    wanted: int
    returned: int


class TokenLease(Message):
    """Answers `LeaseTokens`.

    Attributes
    ----------
    granted : int
        Tokens that the asker may use now.
    next_ms : int
        Time until there may be one more, if fewer were granted than wanted.
    """

    granted: int
    next_ms: int
