"""What a host has found of a stream that a caller takes up again."""

from dataclasses import dataclass, field

from cranberryfield.core.messages.streams import StreamOrigins
from cranberryfield.entry.streams.section import StreamOrigin
from cranberryfield.entry.streams.served_versions import (
    VersionEvidence,
    combine_answers,
)

__all__ = ["FoundOrigin"]


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """What a host has found of a stream.

    Attributes
    ----------
    origin : StreamOrigin or None
        What began it; None if nobody knows.
    was_answered : bool
        Whether any control host has answered.
    is_contradicted : bool
        Whether hosts name different origins for the same attempt.
    evidence : VersionEvidence
        Versions that may have begun it. Not part of a comparison.
    """

    origin: StreamOrigin | None
    was_answered: bool
    is_contradicted: bool = False
    evidence: VersionEvidence = field(default=VersionEvidence(), compare=False)

    @classmethod
    def of_own(cls, origin: StreamOrigin) -> "FoundOrigin":
        """Return the origin of a stream that this host has begun itself."""
        return cls(origin, True, evidence=VersionEvidence(has_majority=True))

    @classmethod
    def from_answers(
        cls, answers: list[StreamOrigins], control_hosts: int, longest_s: float
    ) -> "FoundOrigin":
        """Combine the answers of control hosts; the last known attempt counts.

        Parameters
        ----------
        answers : list of StreamOrigins
            One answer of each control host that has answered.
        control_hosts : int
            Number of control hosts that the asking host knows.
        longest_s : float
            Longest time for which a stream may be taken up, in seconds.

        Examples
        --------
        >>> from cranberryfield.core.messages.streams import StreamOriginMark
        >>> marks = [
        ...     StreamOriginMark(b"r", "drafts", f"v{attempt}", 0, attempt)
        ...     for attempt in (1, 2)
        ... ]
        >>> answers = [StreamOrigins((mark,)) for mark in marks]
        >>> FoundOrigin.from_answers(answers, 3, 60.0).origin.software_version
        'v2'
        """
        marks = [mark for one in answers for mark in one.origins]
        last = max((mark.attempt for mark in marks), default=0)
        origins = {
            StreamOrigin(mark.service, mark.software_version)
            for mark in marks
            if mark.attempt == last
        }
        origin = origins.pop() if len(origins) == 1 else None
        evidence = combine_answers(answers, control_hosts, longest_s)
        return cls(origin, bool(answers), bool(origins), evidence)
