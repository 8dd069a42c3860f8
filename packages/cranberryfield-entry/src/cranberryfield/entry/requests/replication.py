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

#: Timeout in seconds for a host to acknowledge progress.
TAKE_TIMEOUT_S = 1.0
#: Interval in seconds between messages to one host; batches events.
GATHER_S = 0.005
#: Time in seconds without a replica host before events commit locally.
ALONE_AFTER_S = 3.0
POLL_S = 0.1

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class _Place:
    """Progress of sending one record to one host."""

    record: RequestRecord
    sent: int = 0
    end_sent: bool = False


@dataclass(slots=True)
class _Kept:
    """A record under replication, its replica hosts and its end, if any."""

    record: RequestRecord
    peers: set[NodeId]
    end: RecordEnd | None
    end_taken: anyio.Event
    waits_for_peers: bool = False


class _Feed:
    """Sends the progress of all records to one host, one message at a time."""

    def __init__(self, peer: NodeId):
        self.peer = peer
        self.places: dict[RequestRecord, _Place] = {}
        self.dirty: dict[RequestRecord, None] = {}
        self.wake = anyio.Event()
        self.hurry = anyio.Event()

    def mark(self, record: RequestRecord) -> None:
        self.dirty[record] = None
        self.wake.set()
        if not record.committed:
            # Skips batching: a caller is waiting for its first event.
            self.hurry.set()


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
        Returns the replica hosts of a record, excluding this one.
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
        self._feeds: dict[NodeId, _Feed] = {}
        self._kept: dict[RequestRecord, _Kept] = {}

    def start(self, record: RequestRecord) -> None:
        """Start replicating a record.

        Parameters
        ----------
        record : RequestRecord
            A record that this host runs. Its events are committed once another
            host has them, or at once if there is no other host.
        """
        self._kept[record] = _Kept(record, set(), None, anyio.Event())
        record.on_progress = self._on_progress
        self._add_holders(record)
        self._on_progress(record)

    def stop(self, record: RequestRecord) -> None:
        """Stop replicating a record."""
        kept = self._kept.pop(record, None)
        if kept is None:
            return
        record.on_progress = _ignore
        kept.end_taken.set()
        for peer in kept.peers:
            self._forget(peer, record)

    def add_peer(self, record: RequestRecord, peer: NodeId) -> bool:
        """Add a replica host; False if the record is not being replicated."""
        kept = self._kept.get(record)
        if kept is None:
            return False
        if peer not in kept.peers:
            kept.peers.add(peer)
            feed = self._feeds.get(peer)
            if feed is None:
                feed = self._feeds[peer] = _Feed(peer)
                self._tasks.start_soon(self._run_feed, feed)
            feed.places[record] = _Place(record)
            feed.mark(record)
        return True

    async def replicate_end(
        self, record: RequestRecord, replicate_end: RecordEnd
    ) -> None:
        """Replicate the end of a record and wait until another host has it.

        Parameters
        ----------
        record : RequestRecord
            A record under replication.
        end : RecordEnd
            End of the request.
        """
        kept = self._kept.get(record)
        if kept is None:
            return
        kept.end = replicate_end
        self._on_progress(record)
        await kept.end_taken.wait()

    def replicate_ended(self, record: RequestRecord) -> None:
        """Replicate an ended record without waiting for acknowledgement."""
        self._kept[record] = _Kept(record, set(), record.to_end(), anyio.Event())
        self._add_holders(record)

    def _on_progress(self, record: RequestRecord) -> None:
        kept = self._kept.get(record)
        if kept is None or kept.waits_for_peers:
            return
        if not kept.peers:
            self._commit_alone(kept)
            return
        for peer in kept.peers:
            self._feeds[peer].mark(record)

    def _add_holders(self, record: RequestRecord) -> None:
        for peer in self._choose_peers(record):
            self.add_peer(record, peer)

    def _commit_alone(self, kept: _Kept) -> None:
        kept.record.commit(len(kept.record.events))
        if kept.end is not None:
            kept.end_taken.set()
            self._kept.pop(kept.record, None)

    def _forget(self, peer: NodeId, record: RequestRecord) -> None:
        feed = self._feeds.get(peer)
        if feed is not None:
            feed.places.pop(record, None)
            feed.dirty.pop(record, None)

    async def _run_feed(self, feed: _Feed) -> None:
        while True:
            if not feed.dirty:
                feed.wake = anyio.Event()
                await feed.wake.wait()
            batch = [feed.places[one] for one in feed.dirty if one in feed.places]
            feed.dirty.clear()
            items = tuple(self._item(place) for place in batch)
            try:
                reply = await self._mesh.request(
                    feed.peer, RecordProgress(items), TAKE_TIMEOUT_S
                )
            except CranberryfieldError as error:
                logger.info(
                    "replica host unreachable", peer=feed.peer, error=error.detail
                )
                self._give_up(feed)
                return
            self._note_taken(feed, batch, items, reply)
            feed.hurry = anyio.Event()
            with anyio.move_on_after(GATHER_S):
                await feed.hurry.wait()

    def _item(self, place: _Place) -> ProgressItem:
        record = place.record
        end = self._kept[record].end
        item = ProgressItem(
            record.request.workspace,
            record.request.key,
            record.request.digest,
            record.run,
            record.epoch,
            self._node,
            record.starts,
            place.sent,
            tuple(record.events[place.sent :]),
            end,
        )
        place.sent = len(record.events)
        return item

    def _note_taken(
        self,
        feed: _Feed,
        batch: list[_Place],
        items: tuple[ProgressItem, ...],
        reply: ProgressTaken,
    ) -> None:
        for place, item, length in zip(batch, items, reply.lengths, strict=True):
            kept = self._kept.get(place.record)
            if kept is None:
                continue
            if length == RUNNER_SUPERSEDED:
                self.stop(place.record)
                place.record.mark_lost()
            elif length == EVENTS_MISSING:
                place.sent = 0
                feed.mark(place.record)
            elif length == OUT_OF_MEMORY:
                self._drop_peer(kept, feed.peer)
            else:
                place.record.commit(length)
                if item.end is not None:
                    self._note_end(kept, feed.peer)

    def _note_end(self, kept: _Kept, peer: NodeId) -> None:
        kept.end_taken.set()
        kept.peers.discard(peer)
        self._forget(peer, kept.record)
        if not kept.peers:
            self._kept.pop(kept.record, None)

    def _drop_peer(self, kept: _Kept, peer: NodeId) -> None:
        kept.peers.discard(peer)
        self._forget(peer, kept.record)
        if not kept.peers:
            self._commit_alone(kept)

    def _give_up(self, feed: _Feed) -> None:
        """Replace an unreachable host as replica of its records."""
        self._feeds.pop(feed.peer, None)
        for record in list(feed.places):
            kept = self._kept.get(record)
            if kept is None:
                continue
            kept.peers.discard(feed.peer)
            for peer in self._choose_peers(record):
                if peer != feed.peer:
                    self.add_peer(record, peer)
            if kept.peers:
                self._on_progress(record)
            elif kept.end_taken.is_set():
                self._kept.pop(record, None)
            else:
                self._tasks.start_soon(self._await_peers, kept)

    async def _await_peers(self, kept: _Kept) -> None:
        """Commit locally only if no replica host appears within `ALONE_AFTER_S`.

        If this host was frozen or partitioned, another host may have taken over
        the request; waiting lets that host report it.
        """
        kept.waits_for_peers = True
        with anyio.move_on_after(ALONE_AFTER_S):
            while not kept.peers:
                await anyio.sleep(POLL_S)
                self._add_holders(kept.record)
        kept.waits_for_peers = False
        if kept.record in self._kept:
            self._on_progress(kept.record)


def _ignore(record: RequestRecord) -> None:
    """Leave new events uncommitted, because another host runs the request."""
