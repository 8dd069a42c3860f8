"""Records of what callers and operators observed, the input of the checks."""

from enum import Enum

import msgspec

__all__ = [
    "AcceptedChange",
    "Attempt",
    "AttemptEnd",
    "Observation",
    "PlannedStop",
    "Transcript",
]


class AttemptEnd(Enum):
    """How one attempt of a caller ended.

    ``MOVED`` means that an event in the stream told the caller to resend the request;
    ``CUT`` means that the attempt ended with neither an answer nor a refusal.
    """

    OPEN = "open"
    WHOLE = "whole"
    REFUSED = "refused"
    MOVED = "moved"
    CUT = "cut"


class Attempt(msgspec.Struct):
    """One attempt of a caller to get its request answered.

    Attributes
    ----------
    host : str
        Name of the entry host.
    sent_ns, ended_ns : int
        Wall-clock times in nanoseconds.
    end : AttemptEnd
        How the attempt ended.
    status : int
        HTTP status; 0 if there was no response.
    kind, was_run : str
        Fields of the refusal, or of the event that ended the stream.
    retry_after : str
        ``Retry-After`` header of a refusal.
    error : str
        Reason for ``CUT``: class name of the client's exception, or a description.
    """

    host: str
    sent_ns: int
    ended_ns: int = 0
    end: AttemptEnd = AttemptEnd.OPEN
    status: int = 0
    kind: str = ""
    was_run: str = ""
    retry_after: str = ""
    error: str = ""


class Transcript(msgspec.Struct):
    """All attempts of a caller under one idempotency key, and the answer received.

    Attributes
    ----------
    key : str
        Idempotency key of the request; its prompt or body usually starts with it.
    idempotent : bool
        Whether the request may be run more than once.
    expected : str
        Text of the only correct answer.
    attempts : list of Attempt
        Attempts in the order in which they were sent.
    text : str
        Text received over all attempts.
    events : int
        Number of events received that carry text.
    event_ns : list of int
        Wall-clock time of each such event in nanoseconds.
    is_whole : bool
        Whether the end of the answer was received.
    violations : list of str
        Protocol violations by the host, such as an event received twice.
    """

    key: str
    idempotent: bool
    expected: str
    attempts: list[Attempt] = msgspec.field(default_factory=list)
    text: str = ""
    events: int = 0
    event_ns: list[int] = msgspec.field(default_factory=list)
    is_whole: bool = False
    violations: list[str] = msgspec.field(default_factory=list)

    @property
    def last_kind(self) -> str:
        """Kind of the refusal in the last attempt; empty if there is none."""
        return self.attempts[-1].kind if self.attempts else ""


class PlannedStop(msgspec.Struct):
    """Planned stop of an entry host.

    Attributes
    ----------
    host : str
        Name of the entry host.
    asked_ns, ended_ns : int
        Wall-clock times of the stop request and of the process's end, in nanoseconds.
    exit_code : int
        Exit code of the process; -1 if it did not end in time.
    """

    host: str
    asked_ns: int
    ended_ns: int
    exit_code: int


class AcceptedChange(msgspec.Struct):
    """Settings change that was reported as accepted.

    Attributes
    ----------
    number : int
        Number of the change; later changes have higher numbers.
    accepted_ns : int
        Wall-clock time of the response in nanoseconds.
    """

    number: int
    accepted_ns: int


class Observation(msgspec.Struct):
    """Change that was found to be in force on an entry host.

    Attributes
    ----------
    host : str
        Name of the entry host.
    at_ns : int
        Wall-clock time at which the host was asked, in nanoseconds.
    number : int
        Number of the change; 0 for none.
    """

    host: str
    at_ns: int
    number: int
