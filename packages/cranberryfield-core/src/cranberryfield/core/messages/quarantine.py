"""Messages on requests that were in flight when upstreams crashed."""

from cranberryfield.core.ids import Incarnation, UpstreamId
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = ["CompareSuspects", "CompletionMark", "CrashMark", "SuspectReport"]


class CrashMark(NestedRecord):
    """A request that was in flight when an upstream crashed.

    Attributes
    ----------
    fingerprint : bytes
        Fingerprint of the request.
    upstream, incarnation
        The upstream process that crashed.
    age_ms : int
        Time since the crash was noticed, in milliseconds.
    had_answered : bool
        Whether the run had begun its answer.
    """

    fingerprint: bytes
    upstream: UpstreamId
    incarnation: Incarnation
    age_ms: int
    had_answered: bool


class CompletionMark(NestedRecord):
    """A suspected request that ran to its end, `age_ms` milliseconds ago."""

    fingerprint: bytes
    age_ms: int


class SuspectReport(Message):
    """Suspected requests, and those that are no longer suspected.

    Attributes
    ----------
    crashes : tuple of CrashMark
        Requests that were in flight in crashes.
    completions : tuple of CompletionMark
        Suspects that ran to their end, after which earlier crashes do not count.
    digest : int
        Digest of all suspects of the sender; 0 in a report of changes.
    """

    crashes: tuple[CrashMark, ...] = ()
    completions: tuple[CompletionMark, ...] = ()
    digest: int = 0


class CompareSuspects(Message):
    """Asks for a `SuspectReport`, which is empty if the digests are equal.

    Attributes
    ----------
    digest : int
        Digest of all suspects of the sender.
    """

    digest: int
