"""In-memory suffix of the replicated log."""

from cranberryfield.core.ids import LogIndex, Term
from cranberryfield.core.messages.consensus import LogEntry, Members

__all__ = ["ReplicaLog"]


class ReplicaLog:
    """Log entries in memory that follow the last compacted entry (the base).

    Parameters
    ----------
    base_index, base_term : int
        Index and term of the last entry removed by compaction; 0 if there is
        none.
    base_members : Members
        Group members as of that entry.
    entries : list of LogEntry
        Entries after the base, without gaps.

    Examples
    --------
    >>> log = ReplicaLog(base_members=Members(("a",)))
    >>> log.append((LogEntry(1, 1, b"x"), LogEntry(2, 1, b"", Members(("a", "b")))))
    >>> log.members.voters, log.members_index
    (('a', 'b'), 2)
    >>> log.append((LogEntry(2, 2, b"y"),))
    >>> log.members.voters, log.last_term
    (('a',), 2)
    """

    def __init__(
        self,
        base_index: LogIndex = LogIndex(0),
        base_term: Term = Term(0),
        base_members: Members = Members(),  # noqa: B008 - immutable
        entries: list[LogEntry] | None = None,
    ):
        self._base_index = base_index
        self._base_term = base_term
        self._memberships = [(base_index, base_members)]
        self._entries: list[LogEntry] = []
        self.append(tuple(entries or ()))

    @property
    def base_index(self) -> LogIndex:
        """Index of the last entry removed by compaction."""
        return self._base_index

    @property
    def base_term(self) -> Term:
        """Term of the last entry removed by compaction."""
        return self._base_term

    @property
    def last_index(self) -> LogIndex:
        """Index of the last entry."""
        return LogIndex(self._base_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def members(self) -> Members:
        """Group members as of the last entry, committed or not."""
        return self._memberships[-1][1]

    @property
    def members_index(self) -> LogIndex:
        """Index of the entry that last changed the group members."""
        return self._memberships[-1][0]

    def members_at(self, index: LogIndex) -> Members:
        """Return the group members as of `index`, which is at or after the base."""
        return [one for start, one in self._memberships if start <= index][-1]

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term of the entry at `index`, or None if it is not in the log."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def slice(
        self,
        first: LogIndex,
        last: LogIndex,
        max_entries: int | None = None,
        max_bytes: int | None = None,
    ) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, up to the given limits.

        Parameters
        ----------
        first, last : LogIndex
            Bounds, both included.
        max_entries : int, optional
            Maximum number of entries to return.
        max_bytes : int, optional
            Maximum total size of the commands in bytes. The first entry is
            returned even if it alone exceeds the limit.

        Returns
        -------
        tuple of LogEntry
            The entries.
        """
        start = first - self._base_index - 1
        stop = last - self._base_index
        if max_entries is not None:
            stop = min(stop, start + max_entries)
        entries = self._entries[start:stop]
        if max_bytes is not None:
            size = 0
            for position, entry in enumerate(entries):
                size += len(entry.command)
                if size > max_bytes and position > 0:
                    return tuple(entries[:position])
        return tuple(entries)

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries, replacing existing ones from the first index on."""
        if not entries:
            return
        first = entries[0].index
        del self._entries[first - self._base_index - 1 :]
        while self._memberships[-1][0] >= first:
            del self._memberships[-1]
        self._entries.extend(entries)
        for entry in entries:
            if entry.members is not None:
                self._memberships.append((entry.index, entry.members))

    def set_initial_members(self, members: Members) -> None:
        """Set the initial members of an empty log."""
        self._memberships[0] = (self._base_index, members)

    def compact(self, index: LogIndex) -> None:
        """Remove the entries up to `index`, which must be in the log."""
        term = self.term_at(index)
        members = self.members_at(index)
        later = [one for one in self._memberships if one[0] > index]
        del self._entries[: index - self._base_index]
        self._base_index = index
        self._base_term = term
        self._memberships = [(index, members), *later]

    def reset(self, index: LogIndex, term: Term, members: Members) -> None:
        """Remove all entries and make `index` the base."""
        self._entries.clear()
        self._base_index = index
        self._base_term = term
        self._memberships = [(index, members)]
