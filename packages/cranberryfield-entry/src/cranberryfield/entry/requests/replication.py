"""Replication of running records to other hosts before events reach callers."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import structlog
from anyio.abc import TaskGroup

from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.requests import (
    ProgressItem,
    ProgressTaken,
    RecordEnd,
    RecordProgress,
)
from cranberryfield.entry.requests.records import RequestRecord
from cranberryfield.entry.requests.replicas import (
    EVENTS_MISSING,
    OUT_OF_MEMORY,
    RUNNER_SUPERSEDED,
)

__all__ = ["RecordReplicator"]

#: Timeout in seconds for a host to acknowledge progress, after which it is
#: replaced.
ACK_TIMEOUT_S = 1.0
#: Interval in seconds between messages to one host; batches events.
BATCH_INTERVAL_S = 0.005
#: Time in seconds without a replica host before events commit locally.
PEER_WAIT_S = 3.0
POLL_INTERVAL_S = 0.1

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class _SendState:
    """Progress of sending one record to one host."""

    record: RequestRecord
    sent: int = 0
    end_sent: bool = False


@dataclass(slots=True)
class _Replication:
    """A record under replication, its replica hosts and its end, if any."""

    record: RequestRecord
    peers: set[NodeId]
    end: RecordEnd | None
    end_acknowledged: anyio.Event
    is_waiting_for_peers: bool = False


class _PeerSender:
    """Sends the progress of all records to one host, one message at a time."""

    def __init__(self, peer: NodeId):
        self.peer = peer
        self.send_states: dict[RequestRecord, _SendState] = {}
        self.pending: dict[RequestRecord, None] = {}
        self.wakeup = anyio.Event()
        self.skip_batching = anyio.Event()

    def enqueue(self, record: RequestRecord) -> None:
        self.pending[record] = None
        self.wakeup.set()
        if not record.committed:
            # Skips batching: a caller is waiting for its first event.
            self.skip_batching.set()


class RecordReplicator:
    """Replicates the records that this host runs to their replica hosts.

    Parameters
    ----------
    node : NodeId
        This process.
    mesh : Mesh
        Links to other hosts.
    tasks : anyio.abc.TaskGroup
        Task group for the sending tasks.
    choose_peers : callable
        Returns the replica hosts of a record, excluding this host.
    """

    def __init__(
        self,
        node: NodeId,
        mesh: Mesh,
        tasks: TaskGroup,
        choose_peers: Callable[[RequestRecord], list[NodeId]],
    ):
        self._node = node
        self._mesh = mesh
        self._tasks = tasks
        self._choose_peers = choose_peers
        self._senders: dict[NodeId, _PeerSender] = {}
        self._replications: dict[RequestRecord, _Replication] = {}

    def start(self, record: RequestRecord) -> None:
        """Start replicating a record.

        Parameters
        ----------
        record : RequestRecord
            A record that this host runs. Its events are committed once another
            host has them, or at once if there is no other host.
        """
        self._replications[record] = _Replication(record, set(), None, anyio.Event())
        record.on_progress = self._on_progress
        self._add_peers(record)
        self._on_progress(record)

    def stop(self, record: RequestRecord) -> None:
        """Stop replicating a record."""
        replication = self._replications.pop(record, None)
        if replication is None:
            return
        record.on_progress = _ignore_progress
        replication.end_acknowledged.set()
        for peer in replication.peers:
            self._remove_from_sender(peer, record)

    def add_peer(self, record: RequestRecord, peer: NodeId) -> bool:
        """Add a replica host; False if the record is not being replicated."""
        replication = self._replications.get(record)
        if replication is None:
            return False
        if peer not in replication.peers:
            replication.peers.add(peer)
            sender = self._senders.get(peer)
            if sender is None:
                sender = self._senders[peer] = _PeerSender(peer)
                self._tasks.start_soon(self._run_sender, sender)
            sender.send_states[record] = _SendState(record)
            sender.enqueue(record)
        return True

    async def replicate_end(self, record: RequestRecord, end: RecordEnd) -> None:
        """Replicate the end of a record and wait until another host has it.

        Parameters
        ----------
        record : RequestRecord
            A record under replication.
        end : RecordEnd
            End of the request.
        """
        replication = self._replications.get(record)
        if replication is None:
            return
        replication.end = end
        self._on_progress(record)
        await replication.end_acknowledged.wait()

    def replicate_ended(self, record: RequestRecord) -> None:
        """Replicate an ended record without waiting for acknowledgement."""
        self._replications[record] = _Replication(
            record, set(), record.to_end(), anyio.Event()
        )
        self._add_peers(record)

    def _on_progress(self, record: RequestRecord) -> None:
        replication = self._replications.get(record)
        if replication is None or replication.is_waiting_for_peers:
            return
        if not replication.peers:
            self._commit_locally(replication)
            return
        for peer in replication.peers:
            self._senders[peer].enqueue(record)

    def _add_peers(self, record: RequestRecord) -> None:
        for peer in self._choose_peers(record):
            self.add_peer(record, peer)

    def _commit_locally(self, replication: _Replication) -> None:
        replication.record.commit(len(replication.record.events))
        if replication.end is not None:
            replication.end_acknowledged.set()
            self._replications.pop(replication.record, None)

    def _remove_from_sender(self, peer: NodeId, record: RequestRecord) -> None:
        sender = self._senders.get(peer)
        if sender is not None:
            sender.send_states.pop(record, None)
            sender.pending.pop(record, None)

    async def _run_sender(self, sender: _PeerSender) -> None:
        while True:
            if not sender.pending:
                sender.wakeup = anyio.Event()
                await sender.wakeup.wait()
            batch = [
                sender.send_states[record]
                for record in sender.pending
                if record in sender.send_states
            ]
            sender.pending.clear()
            items = tuple(self._make_item(state) for state in batch)
            try:
                reply = await self._mesh.request(
                    sender.peer, RecordProgress(items), ACK_TIMEOUT_S
                )
            except CranberryfieldError as error:
                logger.info(
                    "record replication failed", peer=sender.peer, error=error.detail
                )
                self._replace_peer(sender)
                return
            self._process_reply(sender, batch, items, reply)
            sender.skip_batching = anyio.Event()
            with anyio.move_on_after(BATCH_INTERVAL_S):
                await sender.skip_batching.wait()

    def _make_item(self, state: _SendState) -> ProgressItem:
        record = state.record
        end = self._replications[record].end
        item = ProgressItem(
            record.request.workspace,
            record.request.key,
            record.request.digest,
            record.run,
            record.epoch,
            self._node,
            record.starts,
            state.sent,
            tuple(record.events[state.sent :]),
            end,
        )
        state.sent = len(record.events)
        return item

    def _process_reply(
        self,
        sender: _PeerSender,
        batch: list[_SendState],
        items: tuple[ProgressItem, ...],
        reply: ProgressTaken,
    ) -> None:
        for state, item, length in zip(batch, items, reply.lengths, strict=True):
            replication = self._replications.get(state.record)
            if replication is None:
                continue
            if length == RUNNER_SUPERSEDED:
                self.stop(state.record)
                state.record.mark_lost()
            elif length == EVENTS_MISSING:
                state.sent = 0
                sender.enqueue(state.record)
            elif length == OUT_OF_MEMORY:
                self._remove_peer(replication, sender.peer)
            else:
                state.record.commit(length)
                if item.end is not None:
                    self._acknowledge_end(replication, sender.peer)

    def _acknowledge_end(self, replication: _Replication, peer: NodeId) -> None:
        replication.end_acknowledged.set()
        replication.peers.discard(peer)
        self._remove_from_sender(peer, replication.record)
        if not replication.peers:
            self._replications.pop(replication.record, None)

    def _remove_peer(self, replication: _Replication, peer: NodeId) -> None:
        replication.peers.discard(peer)
        self._remove_from_sender(peer, replication.record)
        if not replication.peers:
            self._commit_locally(replication)

    def _replace_peer(self, sender: _PeerSender) -> None:
        """Replace an unreachable host as replica of its records."""
        self._senders.pop(sender.peer, None)
        for record in list(sender.send_states):
            replication = self._replications.get(record)
            if replication is None:
                continue
            replication.peers.discard(sender.peer)
            for peer in self._choose_peers(record):
                if peer != sender.peer:
                    self.add_peer(record, peer)
            if replication.peers:
                self._on_progress(record)
            elif replication.end_acknowledged.is_set():
                self._replications.pop(record, None)
            else:
                self._tasks.start_soon(self._wait_for_peers, replication)

    async def _wait_for_peers(self, replication: _Replication) -> None:
        """Commit locally only if no replica host appears within `PEER_WAIT_S`.

        If this host was frozen or partitioned, another host may have taken over
        the request; waiting lets that host report it.
        """
        replication.is_waiting_for_peers = True
        with anyio.move_on_after(PEER_WAIT_S):
            while not replication.peers:
                await anyio.sleep(POLL_INTERVAL_S)
                self._add_peers(replication.record)
        replication.is_waiting_for_peers = False
        if replication.record in self._replications:
            self._on_progress(replication.record)


def _ignore_progress(record: RequestRecord) -> None:
    """Leave new events uncommitted, because another host runs the request."""
