"""Proposed commands that wait for their result."""

from collections import deque
from dataclasses import dataclass

import anyio

from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.ids import LogIndex, NodeId, Term
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.commands import ProposalRedirected

__all__ = ["ProposalQueue"]

MAX_COMMANDS_PER_BATCH = 1024
MAX_WAITING = 20_000


@dataclass(slots=True)
class _Proposal:
    command: bytes
    done: anyio.Event
    term: Term = Term(0)
    result: Message | None = None


class ProposalQueue:
    """Commands not yet appended, and appended ones not yet applied."""

    def __init__(self):
        self._waiting: deque[_Proposal] = deque()
        self._in_flight: dict[LogIndex, _Proposal] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no command waits to be appended."""
        return not self._waiting

    async def put(self, command: bytes, wake) -> Message:
        """Queue a command and return its result.

        Parameters
        ----------
        command : bytes
            An encoded command.
        wake : callable
            Called once the command is queued.

        Returns
        -------
        Message
            The result; a `ProposalRedirected` if this replica stopped leading
            first, after which the command may or may not take effect.

        Raises
        ------
        UnavailableError
            Of kind ``not_ready`` if too many commands wait.
        """
        if len(self._waiting) >= MAX_WAITING:
            raise UnavailableError(ErrorKind.NOT_READY, "too many commands wait")
        proposal = _Proposal(command, anyio.Event())
        self._waiting.append(proposal)
        wake()
        await proposal.done.wait()
        return proposal.result

    def take_batch(self, first: LogIndex, term: Term) -> tuple[bytes, ...]:
        """Move waiting commands to those in flight.

        Parameters
        ----------
        first : LogIndex
            Index that the first of them will have.
        term : Term
            Term in which they are appended.

        Returns
        -------
        tuple of bytes
            The commands.
        """
        count = min(len(self._waiting), MAX_COMMANDS_PER_BATCH)
        batch = [self._waiting.popleft() for _ in range(count)]
        for offset, proposal in enumerate(batch):
            proposal.term = term
            self._in_flight[LogIndex(first + offset)] = proposal
        return tuple(proposal.command for proposal in batch)

    def finish(self, index: LogIndex, term: Term, result: Message) -> None:
        """Hand over the result of an applied entry."""
        proposal = self._in_flight.pop(index, None)
        if proposal is not None:
            same = proposal.term == term
            proposal.result = result if same else ProposalRedirected(None)
            proposal.done.set()

    def redirect_all(self, leader: NodeId | None) -> None:
        """Answer every command that this replica leads no longer."""
        waiting = [*self._waiting, *self._in_flight.values()]
        self._waiting.clear()
        self._in_flight.clear()
        for proposal in waiting:
            proposal.result = ProposalRedirected(leader)
            proposal.done.set()
