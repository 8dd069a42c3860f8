"""Coordination of the entry hosts that receive the same request with a key."""

from collections.abc import Callable
from enum import Enum

import anyio

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import (
    ERROR_RESPONSES,
    CallerError,
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
)
from cranberryfield.core.ids import NodeId, RequestKey, WorkspaceId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.requests import (
    FindRecord,
    FollowRecord,
    OpenRecord,
    ProgressItem,
    ProgressTaken,
    RecordCopy,
    RecordEnd,
    RecordProgress,
    TakeRecord,
)
from cranberryfield.core.settings import EffectiveSettings
from cranberryfield.entry.requests.placement import HostsSource, choose_replica_hosts
from cranberryfield.entry.requests.records import RequestRecord, RequestState
from cranberryfield.entry.requests.records_section import RecordsSection
from cranberryfield.entry.requests.replicas import (
    EVENTS_MISSING,
    RUNNER_SUPERSEDED,
    ReplicasSection,
    apply_replica_progress,
    find_replica,
    open_replica,
    remove_expired,
    remove_replica,
    take_over_replica,
)
from cranberryfield.entry.requests.replication import RecordReplicator

__all__ = ["JoinResult", "RecordCoordinator"]

QUERY_TIMEOUT_S = 1.0
EXPIRE_INTERVAL_S = 5.0
MAX_TAKEOVERS = 10


class JoinResult(Enum):
    """Result of joining a request: the role of this host, or ``ENDED``."""

    RUNNER = "runner"
    FOLLOWER = "follower"
    ENDED = "ended"


class RecordCoordinator:
    """Coordinates records of requests with a key among entry hosts.

    For each such request one host is the runner. Other hosts that receive it
    follow the runner, and take over if the runner is lost.

    Parameters
    ----------
    node : NodeId
        This process.
    hosts : callable
        Returns the live entry hosts, including this one.
    mesh : Mesh
        Links to other hosts.
    records : RecordsSection
        Records of requests received by this host.
    replicas : ReplicasSection
        Replicas of other hosts' records; owned by this object.
    settings : callable
        Returns the current system settings.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        node: NodeId,
        hosts: HostsSource,
        mesh: Mesh,
        records: RecordsSection,
        replicas: ReplicasSection,
        settings: Callable[[], EffectiveSettings],
        clock: Clock,
    ):
        self._node = node
        self._hosts = hosts
        self._mesh = mesh
        self._records = records
        self._replicas = replicas
        self._settings = settings
        self._clock = clock
        self._followed: dict[NodeId, set[RequestRecord]] = {}
        self.replicator: RecordReplicator | None = None
        #: Whether this host is being reclaimed; new followers are then refused.
        self.is_leaving = False
        for kind in (OpenRecord, FindRecord, TakeRecord, FollowRecord):
            mesh.handle(kind, self._on_query)
        mesh.handle(RecordProgress, self._on_progress)
        mesh.watch_links(self._on_link)

    async def run(self) -> None:
        """Remove expired replicas until cancelled."""
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_S)
            settings = self._settings()
            longest_ms = settings.retention_ms + settings.request_timeout_ms
            remove_expired(self._replicas, self._clock(), longest_ms / 1000)

    def choose_peers(self, record: RequestRecord) -> list[NodeId]:
        """Return the replica hosts of a record, excluding this host."""
        request = record.request
        replica_hosts = choose_replica_hosts(
            self._hosts(), request.workspace, request.key
        )
        return [node for node in replica_hosts if node != self._node]

    async def join(self, record: RequestRecord) -> JoinResult:
        """Follow the runner of a request, or become the runner if there is none.

        Parameters
        ----------
        record : RequestRecord
            Record on this host; updated with the events of other hosts.

        Returns
        -------
        JoinResult
            Whether to run the request, to follow its runner, or that it has ended.

        Raises
        ------
        CranberryfieldError
            Of kind ``key_reused``, ``records_full``, ``key_busy`` if other
            hosts repeatedly took the request over, or ``key_expired`` if a
            caller has part of the answer but no host has it any more.
        """
        record.is_lost = False
        for _ in range(MAX_TAKEOVERS):
            best = await self._query_replica_hosts(record)
            if best is None and record.is_partly_delivered and not record.events:
                raise CallerError(
                    ErrorKind.KEY_EXPIRED,
                    "no reachable host has the answer any more; repeat the request "
                    "without Last-Event-ID to run it again",
                )
            if best is None:
                return self._become_runner(record)
            if best.digest != record.request.digest:
                raise CallerError(
                    ErrorKind.KEY_REUSED,
                    "the key was already used for a different request",
                )
            if best.end is not None and not _may_retry(best.end):
                self._serve_from_record(record)
                record.replace_with_copy(best, best.epoch)
                record.apply_end(self._clock(), best.end)
                return JoinResult.ENDED
            if best.end is None and await self._follow(record, best):
                return JoinResult.FOLLOWER
            if await self._take_over(record, best):
                return self._become_runner(record)
        raise UnavailableError(
            ErrorKind.KEY_BUSY, "other hosts repeatedly took over the request"
        )

    def _serve_from_record(self, record: RequestRecord) -> None:
        """Answer queries from the record instead of a replica."""
        request = record.request
        remove_replica(self._replicas, (request.workspace, request.key))
        record.is_coordinated = True

    def _become_runner(self, record: RequestRecord) -> JoinResult:
        self._serve_from_record(record)
        record.runner = None
        self.replicator.start(record)
        return JoinResult.RUNNER

    async def _query_replica_hosts(self, record: RequestRecord) -> RecordCopy | None:
        request = record.request
        replica_hosts = choose_replica_hosts(
            self._hosts(), request.workspace, request.key
        )
        open_message = OpenRecord(
            request.workspace, request.key, request.digest, record.run, self._node
        )
        find_message = FindRecord(request.workspace, request.key)
        copies = await self._query_all(
            {
                node: find_message if rank else open_message
                for rank, node in enumerate(replica_hosts)
            }
        )
        if copies[0] is None and len(replica_hosts) > 1:
            # The backup decides if the primary does not respond.
            copies = await self._query_all({replica_hosts[1]: open_message})
        replies = [copy for copy in copies if copy is not None]
        known = [copy for copy in replies if copy.is_known]
        is_granted = any(copy.granted for copy in replies)
        if replies and not known and not is_granted:
            raise UnavailableError(
                ErrorKind.RECORDS_FULL, "memory limit for request records reached"
            )
        return max(known, key=_progress_rank, default=None)

    async def _query_all(
        self, queries: dict[NodeId, Message]
    ) -> list[RecordCopy | None]:
        copies: dict[NodeId, RecordCopy | None] = {}

        async def query(node: NodeId, message: Message) -> None:
            copies[node] = await self._query_host(node, message)

        async with anyio.create_task_group() as tasks:
            for node, message in queries.items():
                tasks.start_soon(query, node, message)
        return [copies[node] for node in queries]

    async def _query_host(self, node: NodeId, message: Message) -> RecordCopy | None:
        if node == self._node:
            return self._reply_from_replica(message)
        try:
            return await self._mesh.request(node, message, QUERY_TIMEOUT_S)
        except CranberryfieldError:
            return None

    async def _follow(self, record: RequestRecord, best: RecordCopy) -> bool:
        runner = best.runner
        is_alive = any(host.node == runner for host in self._hosts())
        if runner == self._node or not is_alive:
            return False
        request = record.request
        message = FollowRecord(request.workspace, request.key, best.run)
        # Progress may arrive before the reply.
        record.replace_with_copy(best, best.epoch)
        record.runner = runner
        record.is_coordinated = True
        followed = self._followed.setdefault(runner, set())
        followed.add(record)
        copy = await self._query_host(runner, message)
        if copy is not None and copy.granted:
            self._serve_from_record(record)
            return True
        followed.discard(record)
        record.is_coordinated = False
        return False

    async def _take_over(self, record: RequestRecord, best: RecordCopy) -> bool:
        request = record.request
        epoch = max(best.epoch, record.epoch) + 1
        message = TakeRecord(
            request.workspace, request.key, request.digest, best.run, epoch, self._node
        )
        copies = [best]
        replica_hosts = choose_replica_hosts(
            self._hosts(), request.workspace, request.key
        )
        for node in {*replica_hosts, best.runner}:
            copy = await self._query_host(node, message)
            if copy is None or not copy.is_known:
                continue
            if not copy.granted and copy.epoch >= epoch:
                return False
            copies.append(copy)
        same_run = [copy for copy in copies if copy.run == best.run]
        longest = max(same_run, key=lambda copy: len(copy.events))
        if record.run != longest.run or len(longest.events) >= record.committed:
            record.replace_with_copy(longest, epoch)
        return True

    async def find(self, workspace: WorkspaceId, key: RequestKey) -> RecordCopy | None:
        """Return the most advanced copy of a record on its replica hosts.

        Parameters
        ----------
        workspace, key : str
            Workspace and key of the request.

        Returns
        -------
        RecordCopy or None
            None if no replica host has one.
        """
        replica_hosts = choose_replica_hosts(self._hosts(), workspace, key)
        message = FindRecord(workspace, key)
        copies = await self._query_all(dict.fromkeys(replica_hosts, message))
        known = [copy for copy in copies if copy is not None and copy.is_known]
        return max(known, key=_progress_rank, default=None)

    async def wait_for_runner(self, record: RequestRecord) -> None:
        """Wait until a followed record has ended or its runner is lost."""
        while record.state is RequestState.RUNNING and not record.is_lost:
            await record.wait_for_change()
        self._followed.get(record.runner, set()).discard(record)

    def _on_link(self, peer: Hello, is_open: bool) -> None:
        if is_open or self._mesh.is_linked(peer.node):
            return
        for record in self._followed.pop(peer.node, set()):
            record.mark_lost()

    def _on_query(self, sender: NodeId, message: Message) -> RecordCopy:
        record = self._records.records.get((message.workspace, message.key))
        if record is not None and _is_record_authoritative(record, message):
            return self._reply_from_record(sender, message, record)
        if isinstance(message, FollowRecord):
            return RecordCopy(False)
        return self._reply_from_replica(message)

    def _reply_from_record(
        self, sender: NodeId, message: Message, record: RequestRecord
    ) -> RecordCopy:
        match message:
            case FollowRecord():
                is_runner = record.runner is None and record.run == message.run
                may_follow = is_runner and not self.is_leaving
                granted = may_follow and self.replicator.add_peer(record, sender)
                return record.to_copy(self._node, granted)
            case TakeRecord() if record.run == message.run and (
                message.epoch > record.epoch
            ):
                copy = record.to_copy(self._node, True)
                if record.state is RequestState.RUNNING:
                    self.replicator.stop(record)
                    record.mark_lost()
                return copy
        return record.to_copy(self._node, False)

    def _reply_from_replica(self, message: Message) -> RecordCopy:
        now = self._clock()
        match message:
            case OpenRecord():
                limit = self._settings().record_memory_bytes - self._records.used_bytes
                return open_replica(self._replicas, message, now, limit)
            case TakeRecord():
                return take_over_replica(self._replicas, message, now)
        return find_replica(self._replicas, message)

    def _on_progress(self, sender: NodeId, message: RecordProgress) -> ProgressTaken:
        return ProgressTaken(
            tuple(self._apply_item(sender, one) for one in message.items)
        )

    def _apply_item(self, sender: NodeId, item: ProgressItem) -> int:
        record = self._records.records.get((item.workspace, item.key))
        if record is None or not record.is_coordinated:
            limit = self._settings().record_memory_bytes - self._records.used_bytes
            return apply_replica_progress(self._replicas, item, self._clock(), limit)
        return self._apply_to_record(sender, record, item)

    def _apply_to_record(
        self, sender: NodeId, record: RequestRecord, item: ProgressItem
    ) -> int:
        if record.run != item.run or item.epoch < record.epoch:
            return RUNNER_SUPERSEDED
        if record.runner != sender:
            # This host runs an older epoch, or follows an earlier runner.
            if item.epoch > record.epoch:
                self.replicator.stop(record)
                record.mark_lost()
            return EVENTS_MISSING if item.epoch > record.epoch else RUNNER_SUPERSEDED
        if item.offset > len(record.events):
            return EVENTS_MISSING
        record.apply_progress(item)
        if item.end is not None and record.state is RequestState.RUNNING:
            record.apply_end(self._clock(), item.end)
        return len(record.events)


def _is_record_authoritative(record: RequestRecord, message: Message) -> bool:
    """Return whether a query is answered from this host's own record."""
    if record.request.idempotent:
        return record.is_coordinated
    return isinstance(message, FindRecord) and record.state is RequestState.ANSWERED


def _may_retry(end: RecordEnd) -> bool:
    if end.kind is None:
        return False
    kind = ErrorKind(end.kind)
    return ERROR_RESPONSES[kind].retry or kind is ErrorKind.KEY_EXPIRED


def _progress_rank(copy: RecordCopy) -> tuple[int, bool, int]:
    return (copy.epoch, copy.end is not None, len(copy.events))
