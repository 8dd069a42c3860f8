"""Clock of the replicated log, advanced by commands of the leader."""

from cranberryfield.core.ids import Term
from cranberryfield.core.messages.claims import AdvanceClock

__all__ = ["LogClock"]

MS_PER_S = 1000


class LogClock:
    """Measures, on the leader, the time by which to advance the log's clock.

    Notes
    -----
    Each leader measures from the first call in its own term, so the intervals
    of successive leaders never overlap and the log's clock never runs faster
    than real time. It stands still while there is no leader.

    Examples
    --------
    >>> clock = LogClock()
    >>> clock.next_command(Term(1), 10.0) is None
    True
    >>> clock.next_command(Term(1), 10.25).elapsed_ms
    250
    >>> clock.next_command(Term(2), 99.0) is None
    True
    """

    def __init__(self):
        self._term: Term | None = None
        self._advanced_at = 0.0

    def next_command(self, term: Term, now: float) -> AdvanceClock | None:
        """Return the command to append before the next batch of commands.

        Parameters
        ----------
        term : Term
            Term in which this replica is the leader.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        AdvanceClock or None
            The command with the time since the last one; None if that is less
            than a millisecond.
        """
        if term != self._term:
            self._term = term
            self._advanced_at = now
        elapsed_ms = int((now - self._advanced_at) * MS_PER_S)
        if elapsed_ms < 1:
            return None
        self._advanced_at += elapsed_ms / MS_PER_S
        return AdvanceClock(elapsed_ms)
