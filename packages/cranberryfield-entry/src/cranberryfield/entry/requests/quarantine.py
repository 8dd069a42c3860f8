"""Requests that crash their upstreams: who is suspected, who is refused."""

from dataclasses import dataclass, field
from hashlib import blake2b

from cranberryfield.core.ids import Incarnation, NodeId, UpstreamId
from cranberryfield.entry.requests.request import Request

__all__ = [
    "MAX_CRASHES",
    "QuarantineSection",
    "SuspectPlace",
    "crashes_of",
    "fingerprint_of",
    "leave_place",
    "note_crash",
    "take_place",
]

#: A request is refused once it has been in flight in this many crashes.
MAX_CRASHES = 2
#: Fingerprints that are remembered, those seen last; 16 bytes each.
MAX_FINGERPRINTS = 10_000
MAX_KNOWN_CRASHES = 1_000
FINGERPRINT_BYTES = 16


@dataclass(frozen=True, slots=True)
class SuspectPlace:
    """A suspected request on an upstream, until a monotonic time in seconds."""

    suspect: tuple[NodeId, bytes]
    until: float


@dataclass(slots=True)
class QuarantineSection:
    """Section of the blackboard: crashes by the requests in flight in them.

    Attributes
    ----------
    crashes : dict
        For each fingerprint the crashes it was in flight in.
    crashed_at : dict
        When each crash was first heard of: monotonic times in seconds.
    places : dict
        The suspected request on each upstream that this host looks after.
    """

    crashes: dict[bytes, set[tuple[UpstreamId, Incarnation]]] = field(
        default_factory=dict
    )
    crashed_at: dict[tuple[UpstreamId, Incarnation], float] = field(
        default_factory=dict
    )
    places: dict[UpstreamId, SuspectPlace] = field(default_factory=dict)


def fingerprint_of(request: Request) -> bytes:
    """Return what is the same for a request under any key, 16 bytes."""
    hasher = blake2b(digest_size=FINGERPRINT_BYTES)
    hasher.update(f"{request.workspace}\n".encode())
    hasher.update(request.digest)
    return hasher.digest()


def note_crash(
    section: QuarantineSection,
    fingerprint: bytes,
    upstream: UpstreamId,
    incarnation: Incarnation,
    at: float,
) -> bool:
    """Note that a request was in flight when an upstream crashed.

    Parameters
    ----------
    section : QuarantineSection
        Changed in place.
    fingerprint : bytes
        The request.
    upstream, incarnation
        What crashed; the same crash counts once.
    at : float
        Monotonic time in seconds at which the crash was noticed.

    Returns
    -------
    bool
        Whether this is news.
    """
    crashes = section.crashes.pop(fingerprint, set())
    crash = (upstream, incarnation)
    is_new = crash not in crashes
    crashes.add(crash)
    section.crashes[fingerprint] = crashes
    section.crashed_at[crash] = min(at, section.crashed_at.get(crash, at))
    for known, limit in (
        (section.crashes, MAX_FINGERPRINTS),
        (section.crashed_at, MAX_KNOWN_CRASHES),
    ):
        while len(known) > limit:
            del known[next(iter(known))]
    return is_new


def crashes_of(section: QuarantineSection, fingerprint: bytes) -> int:
    """Return in how many crashes a request was in flight."""
    return len(section.crashes.get(fingerprint, ()))


def take_place(
    section: QuarantineSection,
    upstream: UpstreamId,
    suspect: tuple[NodeId, bytes],
    now: float,
    until: float,
) -> bool:
    """Let a suspected request onto an upstream if no other one is there.

    Parameters
    ----------
    section : QuarantineSection
        Changed in place.
    upstream : UpstreamId
        The upstream.
    suspect : tuple
        The host that runs the request, and its fingerprint.
    now, until : float
        Monotonic times in seconds: the present, and the end of the place.

    Returns
    -------
    bool
        Whether it may run there.

    Examples
    --------
    >>> section = QuarantineSection()
    >>> take_place(section, "engine-1", ("entry-1", b"a"), 0.0, 9.0)
    True
    >>> take_place(section, "engine-1", ("entry-2", b"b"), 1.0, 9.0)
    False
    >>> take_place(section, "engine-1", ("entry-2", b"b"), 9.0, 18.0)
    True
    """
    place = section.places.get(upstream)
    if place is not None and place.suspect != suspect and place.until > now:
        return False
    section.places[upstream] = SuspectPlace(suspect, until)
    return True


def leave_place(
    section: QuarantineSection, upstream: UpstreamId, suspect: tuple[NodeId, bytes]
) -> None:
    """Let other suspects onto an upstream again."""
    place = section.places.get(upstream)
    if place is not None and place.suspect == suspect:
        del section.places[upstream]
