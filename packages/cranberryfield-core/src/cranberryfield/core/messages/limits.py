"""Messages that lease tokens of rate limits shared by all entry hosts."""

from cranberryfield.core.messages.base import Message

__all__ = ["LeaseTokens", "TokenLease"]


class LeaseTokens(Message):
    """Requests tokens of a rate limit from the owner of its token bucket.

    Each token admits one request.

    Attributes
    ----------
    limit : str
        Name of the limit.
    rate_per_s : float
        Rate limit in force at the sender, in requests per second.
    wanted : int
        Number of tokens requested.
    returned : int
        Unused tokens of earlier leases.
    min_capacity : float
        Smallest capacity of the bucket, in tokens.
    """

    limit: str
    rate_per_s: float
    wanted: int
    returned: int
    min_capacity: float = 1.0


class TokenLease(Message):
    """Answers `LeaseTokens`.

    Attributes
    ----------
    granted : int
        Number of tokens that the receiver may use now.
    next_ms : int
        Time in milliseconds until another token may be available, if fewer
        were granted than requested.
    """

    granted: int
    next_ms: int
