"""Reads that see every change acknowledged before they were asked."""

from collections import deque
from dataclasses import dataclass

import anyio

from cranberryfield.control.consensus import Replica, ReplicaRole
from cranberryfield.control.consensus.leader_replication import majority_round
from cranberryfield.core.errors import ControlError, ErrorKind

__all__ = ["ReadQueue"]

#: Shortest time between two heartbeat rounds begun for reads, in seconds.
MIN_ROUND_S = 0.02


@dataclass(slots=True)
class _Read:
    round_number: int
    done: anyio.Event
    confirmed: bool = False


class ReadQueue:
    """Reads that wait until a majority has confirmed that this replica leads.

    A read waits for a heartbeat round that began after it was asked. The
    replica then led when the read was asked, so all that was acknowledged
    before is in its log.

    Parameters
    ----------
    replica : Replica
        This replica.
    wake : callable
        Called when a read begins to wait.

    References
    ----------
    D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 6.4.
    """

    def __init__(self, replica: Replica, wake):
        self._replica = replica
        self._wake = wake
        self._waiting: deque[_Read] = deque()

    async def wait(self) -> None:
        """Return once the applied state is current.

        Raises
        ------
        ControlError
            Of kind ``no_quorum`` if this replica does not lead, or no
            majority confirms that it does.
        """
        if self._replica.role is ReplicaRole.LEADER:
            read = _Read(self._replica.round_number + 1, anyio.Event())
            self._waiting.append(read)
            self._wake()
            await read.done.wait()
            if read.confirmed:
                return
        raise ControlError(ErrorKind.NO_QUORUM, "this control host does not lead")

    def next_deadline(self) -> float | None:
        """Return when the next heartbeat round should begin, if for a read."""
        if not self._waiting:
            return None
        if self._waiting[-1].round_number <= self._replica.round_number:
            return None
        started = self._replica.round_start_times.get(self._replica.round_number, 0.0)
        return started + MIN_ROUND_S

    def release(self) -> None:
        """Let the reads go on that are confirmed, or that never will be."""
        replica = self._replica
        if replica.role is not ReplicaRole.LEADER:
            self._fail_all()
            return
        if replica.log.term_at(replica.commit_index) != replica.term:
            return
        confirmed = majority_round(replica)
        while self._waiting and self._waiting[0].round_number <= confirmed:
            read = self._waiting.popleft()
            read.confirmed = True
            read.done.set()

    def _fail_all(self) -> None:
        while self._waiting:
            self._waiting.popleft().done.set()
