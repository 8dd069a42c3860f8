"""Messages on requests that were in flight when upstreams crashed."""

from cranberryfield.core.ids import Incarnation, UpstreamId
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = ["ClearedCrash", "CompareSuspects", "CrashMark", "SuspectReport"]


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
    prompt_parts : tuple of bytes
        Digests of the parts of its prompt that may have caused the crash.
    """

    fingerprint: bytes
    upstream: UpstreamId
    incarnation: Incarnation
    age_ms: int
    had_answered: bool
    prompt_parts: tuple[bytes, ...] = ()


class ClearedCrash(NestedRecord):
    """A crash that does not count for a request or a prompt part.

    Attributes
    ----------
    fingerprint : bytes
        Fingerprint of the request, or digest of the part.
    upstream, incarnation
        The upstream process that crashed.
    age_ms : int
        Time since this was found, in milliseconds.
    """

    fingerprint: bytes
    upstream: UpstreamId
    incarnation: Incarnation
    age_ms: int


class SuspectReport(Message):
    """Suspected requests, and those that are no longer suspected.

    Attributes
    ----------
    crashes : tuple of CrashMark
        Requests that were in flight in crashes.
    cleared : tuple of ClearedCrash
        Crashes that do not count for a request.
    digest : int
        Digest of all suspects of the sender; 0 in a report of changes.
    """

    crashes: tuple[CrashMark, ...] = ()
    cleared: tuple[ClearedCrash, ...] = ()
    digest: int = 0


class CompareSuspects(Message):
    """Asks for a `SuspectReport`, which is empty if the digests are equal.

    Attributes
    ----------
    digest : int
        Digest of all suspects of the sender.
    """

    digest: int
