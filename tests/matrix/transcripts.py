"""What callers and operators saw, for the checks to read."""

from enum import Enum

import msgspec

__all__ = ["Attempt", "Change", "End", "Observation", "Stop", "Transcript"]


class End(Enum):
    """How one attempt of a caller ended.

    ``MOVED`` is an event in a stream that says where to come back; ``CUT`` is
    everything that ends without an answer or a refusal.
    """

    OPEN = "open"
    WHOLE = "whole"
    REFUSED = "refused"
    MOVED = "moved"
    CUT = "cut"


class Attempt(msgspec.Struct):
    """One request that a caller sent.

    Attributes
    ----------
    host : str
        The entry host.
    sent_ns, ended_ns : int
        Wall-clock times in nanoseconds.
    end : End
        How it ended.
    status : int
        HTTP status; 0 for none.
    kind, was_run : str
        Of a refusal.
    retry_after : str
        The header of a refusal.
    error : str
        What broke the connection.
    """

    host: str
    sent_ns: int
    ended_ns: int = 0
    end: End = End.OPEN
    status: int = 0
    kind: str = ""
    was_run: str = ""
    retry_after: str = ""
    error: str = ""


class Transcript(msgspec.Struct):
    """All that one caller did under one key.

    Attributes
    ----------
    key : str
        The request's key, which also begins its prompt or body.
    idempotent : bool
        Whether it may be run again.
    expected : str
        The one answer's text.
    attempts : list of Attempt
        In order.
    text : str
        What came of the answer, over all attempts.
    events : int
        Events of a stream that came.
    event_ns : list of int
        Wall-clock time of each event.
    is_whole : bool
        Whether the answer's end came.
    faults : list of str
        Breaches of the protocol, as an event that came twice.
    """

    key: str
    idempotent: bool
    expected: str
    attempts: list[Attempt] = msgspec.field(default_factory=list)
    text: str = ""
    events: int = 0
    event_ns: list[int] = msgspec.field(default_factory=list)
    is_whole: bool = False
    faults: list[str] = msgspec.field(default_factory=list)

    @property
    def last_kind(self) -> str:
        """Kind of the last refusal, or empty."""
        return self.attempts[-1].kind if self.attempts else ""


class Stop(msgspec.Struct):
    """A planned stop of an entry host.

    Attributes
    ----------
    host : str
        The entry host.
    asked_ns, ended_ns : int
        When it was told to stop, and when its process was gone.
    exit_code : int
        Its exit code.
    """

    host: str
    asked_ns: int
    ended_ns: int
    exit_code: int


class Change(msgspec.Struct):
    """A settings change that was reported as accepted.

    Attributes
    ----------
    number : int
        Rises with the order of the changes.
    accepted_ns : int
        When the answer came.
    """

    number: int
    accepted_ns: int


class Observation(msgspec.Struct):
    """Which change a host was seen to act on.

    Attributes
    ----------
    host : str
        The entry host.
    at_ns : int
        When its answer came.
    number : int
        The change; 0 for none.
    """

    host: str
    at_ns: int
    number: int
