"""Queue of proposed commands that wait for their results."""

from collections import deque
from dataclasses import dataclass

import anyio

from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.ids import LogIndex, NodeId, Term
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.commands import ProposalRedirected

__all__ = ["ProposalQueue"]

MAX_COMMANDS_PER_BATCH = 1024
MAX_QUEUED_COMMANDS = 20_000


@dataclass(slots=True)
class _Proposal:
    command: bytes
    done: anyio.Event
    term: Term = Term(0)
    result: Message | None = None


class ProposalQueue:
    """Commands not yet appended to the log, and those appended but not applied."""

    def __init__(self):
        self._queued: deque[_Proposal] = deque()
        self._in_flight: dict[LogIndex, _Proposal] = {}

    @property
    def is_empty(self) -> bool:
        """True if no command waits to be appended."""
        return not self._queued

    async def submit(self, command: bytes, wake) -> Message:
        """Enqueue a command and wait for its result.

        Parameters
        ----------
        command : bytes
            An encoded command.
        wake : callable
            Called after the command is enqueued.

        Returns
        -------
        Message
            The result; a `ProposalRedirected` if this replica lost leadership
            first, in which case the command may or may not take effect.

        Raises
        ------
        UnavailableError
            Of kind ``not_ready`` if the queue is full.
        """
        if len(self._queued) >= MAX_QUEUED_COMMANDS:
            raise UnavailableError(ErrorKind.NOT_READY, "the proposal queue is full")
        proposal = _Proposal(command, anyio.Event())
        self._queued.append(proposal)
        wake()
        await proposal.done.wait()
        return proposal.result

    def next_batch(self, first: LogIndex, term: Term) -> tuple[bytes, ...]:
        """Move commands from the queue to those in flight.

        Parameters
        ----------
        first : LogIndex
            Log index of the first command.
        term : Term
            Term in which the commands are appended.

        Returns
        -------
        tuple of bytes
            The commands.
        """
        count = min(len(self._queued), MAX_COMMANDS_PER_BATCH)
        batch = [self._queued.popleft() for _ in range(count)]
        for offset, proposal in enumerate(batch):
            proposal.term = term
            self._in_flight[LogIndex(first + offset)] = proposal
        return tuple(proposal.command for proposal in batch)

    def complete(self, index: LogIndex, term: Term, result: Message) -> None:
        """Deliver the result of an applied entry to its proposer."""
        proposal = self._in_flight.pop(index, None)
        if proposal is not None:
            is_same_term = proposal.term == term
            proposal.result = result if is_same_term else ProposalRedirected(None)
            proposal.done.set()

    def redirect_all(self, leader: NodeId | None) -> None:
        """Redirect all pending commands after a loss of leadership."""
        pending = [*self._queued, *self._in_flight.values()]
        self._queued.clear()
        self._in_flight.clear()
        for proposal in pending:
            proposal.result = ProposalRedirected(leader)
            proposal.done.set()
