"""Queue of linearizable reads of the applied state."""

from collections import deque
from dataclasses import dataclass

import anyio

from cranberryfield.control.consensus import Replica, ReplicaRole
from cranberryfield.control.consensus.leader_replication import majority_round
from cranberryfield.core.errors import ControlError, ErrorKind

__all__ = ["ReadQueue"]

#: Shortest interval between heartbeat rounds started for reads, in seconds.
MIN_ROUND_INTERVAL_S = 0.02


@dataclass(slots=True)
class _Read:
    round_number: int
    done: anyio.Event
    confirmed: bool = False


class ReadQueue:
    """Reads that wait for a majority to confirm that this replica is the leader.

    A read waits for a heartbeat round that starts after the read was requested.
    If a majority acknowledges the round, the replica was the leader when the
    read was requested, so its log contains every change acknowledged before.

    Parameters
    ----------
    replica : Replica
        This replica.
    wake : callable
        Called after a read is enqueued.

    References
    ----------
    D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 6.4.
    """

    def __init__(self, replica: Replica, wake):
        self._replica = replica
        self._wake = wake
        self._waiting: deque[_Read] = deque()

    async def wait(self) -> None:
        """Wait until the applied state includes every change acknowledged so far.

        Raises
        ------
        ControlError
            Of kind ``no_quorum`` if this replica is not the leader, or no
            majority confirms that it is.
        """
        if self._replica.role is ReplicaRole.LEADER:
            read = _Read(self._replica.round_number + 1, anyio.Event())
            self._waiting.append(read)
            self._wake()
            await read.done.wait()
            if read.confirmed:
                return
        raise ControlError(ErrorKind.NO_QUORUM, "this control host is not the leader")

    def next_deadline(self) -> float | None:
        """Return when to start a heartbeat round for reads; None if none waits."""
        if not self._waiting:
            return None
        if self._waiting[-1].round_number <= self._replica.round_number:
            return None
        started = self._replica.round_start_times.get(self._replica.round_number, 0.0)
        return started + MIN_ROUND_INTERVAL_S

    def complete_reads(self) -> None:
        """Complete the confirmed reads; fail all if this replica is not the leader."""
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
