"""Finds out who runs a request with a key, and follows or takes it over."""

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
from cranberryfield.entry.requests.held import (
    NOT_KNOWN,
    TAKEN,
    HeldRecords,
    drop_expired,
    find_held,
    open_held,
    remove_held,
    take_held,
    take_progress,
)
from cranberryfield.entry.requests.holders import HostsSource, choose_holders
from cranberryfield.entry.requests.keeping import RecordKeeper
from cranberryfield.entry.requests.records import RequestRecord, RequestState
from cranberryfield.entry.requests.section import RecordsSection

__all__ = ["JoinedAs", "RecordSharing"]

ASK_TIMEOUT_S = 1.0
EXPIRE_INTERVAL_S = 5.0
MAX_TAKEOVERS = 10


class JoinedAs(Enum):
    """What this host is to a request after it joined."""

    RUNNER = "runner"
    FOLLOWER = "follower"
    ENDED = "ended"


class RecordSharing:
    """Joins the records of requests with a key, over all entry hosts.

    Parameters
    ----------
    node : NodeId
        This process.
    hosts : callable
        Returns the live entry hosts, this one included.
    mesh : Mesh
        Links to other hosts.
    records : RecordsSection
        Records of requests received here.
    held : HeldRecords
        Copies held for others; owned here.
    settings : callable
        Returns the system's settings in force.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        node: NodeId,
        hosts: HostsSource,
        mesh: Mesh,
        records: RecordsSection,
        held: HeldRecords,
        settings: Callable[[], EffectiveSettings],
        clock: Clock,
    ):
        self._node = node
        self._hosts = hosts
        self._mesh = mesh
        self._records = records
        self._held = held
        self._settings = settings
        self._clock = clock
        self._followed: dict[NodeId, set[RequestRecord]] = {}
        self.keeper: RecordKeeper | None = None
        #: Whether this host is being reclaimed, so that nobody should follow it.
        self.is_leaving = False
        for kind in (OpenRecord, FindRecord, TakeRecord, FollowRecord):
            mesh.handle(kind, self._on_question)
        mesh.handle(RecordProgress, self._on_progress)
        mesh.watch_links(self._on_link)

    async def run(self) -> None:
        """Forget copies whose time is over, until cancelled."""
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_S)
            settings = self._settings()
            longest_ms = settings.retention_ms + settings.request_timeout_ms
            drop_expired(self._held, self._clock(), longest_ms / 1000)

    def choose_peers(self, record: RequestRecord) -> list[NodeId]:
        """Return the hosts that are to hold a record, without this one."""
        request = record.request
        holders = choose_holders(self._hosts(), request.workspace, request.key)
        return [node for node in holders if node != self._node]

    async def join(self, record: RequestRecord) -> JoinedAs:
        """Find out who runs a request, and become its runner if nobody does.

        Parameters
        ----------
        record : RequestRecord
            A record of this host; gains what other hosts have.

        Returns
        -------
        JoinedAs
            Whether to run it, to wait for another host, or that it has ended.

        Raises
        ------
        CranberryfieldError
            Of kind ``key_reused``, ``records_full`` or, if a part of the
            answer was given but is known to no host, ``key_expired``.
        """
        record.is_lost = False
        for _ in range(MAX_TAKEOVERS):
            best = await self._ask(record)
            if best is None and record.is_resumed and not record.events:
                raise CallerError(
                    ErrorKind.KEY_EXPIRED,
                    "the answer is no longer kept; without Last-Event-ID the "
                    "request begins anew",
                )
            if best is None:
                return self._become_runner(record)
            if best.digest != record.request.digest:
                raise CallerError(
                    ErrorKind.KEY_REUSED, "the key stands for another request"
                )
            if best.end is not None and not _may_go_on(best.end):
                self._settle(record)
                record.adopt(best, best.epoch)
                record.take_end(self._clock(), best.end)
                return JoinedAs.ENDED
            if best.end is None and await self._follow(record, best):
                return JoinedAs.FOLLOWER
            if await self._take_over(record, best):
                return self._become_runner(record)
        raise UnavailableError(
            ErrorKind.KEY_BUSY, "other hosts keep taking the request"
        )

    def _settle(self, record: RequestRecord) -> None:
        """Answer questions from the record and no longer from a held copy."""
        request = record.request
        remove_held(self._held, (request.workspace, request.key))
        record.is_joined = True

    def _become_runner(self, record: RequestRecord) -> JoinedAs:
        self._settle(record)
        record.runner = None
        self.keeper.start(record)
        return JoinedAs.RUNNER

    async def _ask(self, record: RequestRecord) -> RecordCopy | None:
        request = record.request
        holders = choose_holders(self._hosts(), request.workspace, request.key)
        opening = OpenRecord(
            request.workspace, request.key, request.digest, record.run, self._node
        )
        finding = FindRecord(request.workspace, request.key)
        copies = await self._ask_all(
            {node: finding if place else opening for place, node in enumerate(holders)}
        )
        if copies[0] is None and len(holders) > 1:
            # The backup decides in the place of a holder that is silent.
            copies = await self._ask_all({holders[1]: opening})
        answered = [copy for copy in copies if copy is not None]
        known = [copy for copy in answered if copy.is_known]
        is_granted = any(copy.granted for copy in answered)
        if answered and not known and not is_granted:
            raise UnavailableError(
                ErrorKind.RECORDS_FULL, "no memory for one more request record"
            )
        return max(known, key=_progress, default=None)

    async def _ask_all(
        self, questions: dict[NodeId, Message]
    ) -> list[RecordCopy | None]:
        copies: dict[NodeId, RecordCopy | None] = {}

        async def ask(node: NodeId, message: Message) -> None:
            copies[node] = await self._ask_one(node, message)

        async with anyio.create_task_group() as tasks:
            for node, message in questions.items():
                tasks.start_soon(ask, node, message)
        return [copies[node] for node in questions]

    async def _ask_one(self, node: NodeId, message: Message) -> RecordCopy | None:
        if node == self._node:
            return self._answer_held(message)
        try:
            return await self._mesh.request(node, message, ASK_TIMEOUT_S)
        except CranberryfieldError:
            return None

    async def _follow(self, record: RequestRecord, best: RecordCopy) -> bool:
        runner = best.runner
        is_alive = any(host.node == runner for host in self._hosts())
        if runner == self._node or not is_alive:
            return False
        request = record.request
        message = FollowRecord(request.workspace, request.key, best.run)
        # Progress may come before the reply does.
        record.adopt(best, best.epoch)
        record.runner = runner
        record.is_joined = True
        followed = self._followed.setdefault(runner, set())
        followed.add(record)
        copy = await self._ask_one(runner, message)
        if copy is not None and copy.granted:
            self._settle(record)
            return True
        followed.discard(record)
        record.is_joined = False
        return False

    async def _take_over(self, record: RequestRecord, best: RecordCopy) -> bool:
        request = record.request
        epoch = max(best.epoch, record.epoch) + 1
        message = TakeRecord(
            request.workspace, request.key, request.digest, best.run, epoch, self._node
        )
        copies = [best]
        holders = choose_holders(self._hosts(), request.workspace, request.key)
        for node in {*holders, best.runner}:
            copy = await self._ask_one(node, message)
            if copy is None or not copy.is_known:
                continue
            if not copy.granted and copy.epoch >= epoch:
                return False
            copies.append(copy)
        same_run = [copy for copy in copies if copy.run == best.run]
        longest = max(same_run, key=lambda copy: len(copy.events))
        if record.run != longest.run or len(longest.events) >= record.committed:
            record.adopt(longest, epoch)
        return True

    async def find(self, workspace: WorkspaceId, key: RequestKey) -> RecordCopy | None:
        """Return the longest copy of a record that its holders have.

        Parameters
        ----------
        workspace, key : str
            Name of the request.

        Returns
        -------
        RecordCopy or None
            None if no holder has one.
        """
        holders = choose_holders(self._hosts(), workspace, key)
        message = FindRecord(workspace, key)
        copies = await self._ask_all(dict.fromkeys(holders, message))
        known = [copy for copy in copies if copy is not None and copy.is_known]
        return max(known, key=_progress, default=None)

    async def wait_followed(self, record: RequestRecord) -> None:
        """Wait until a followed record has ended or its runner is gone."""
        while record.state is RequestState.RUNNING and not record.is_lost:
            await record.wait_change()
        self._followed.get(record.runner, set()).discard(record)

    def _on_link(self, peer: Hello, is_open: bool) -> None:
        if is_open or self._mesh.is_linked(peer.node):
            return
        for record in self._followed.pop(peer.node, set()):
            record.lose()

    def _on_question(self, sender: NodeId, message: Message) -> RecordCopy:
        record = self._records.records.get((message.workspace, message.key))
        if record is not None and _speaks(record, message):
            return self._answer_local(sender, message, record)
        if isinstance(message, FollowRecord):
            return RecordCopy(False)
        return self._answer_held(message)

    def _answer_local(
        self, sender: NodeId, message: Message, record: RequestRecord
    ) -> RecordCopy:
        match message:
            case FollowRecord():
                is_runner = record.runner is None and record.run == message.run
                may_follow = is_runner and not self.is_leaving
                granted = may_follow and self.keeper.add_peer(record, sender)
                return record.to_copy(self._node, granted)
            case TakeRecord() if record.run == message.run and (
                message.epoch > record.epoch
            ):
                copy = record.to_copy(self._node, True)
                if record.state is RequestState.RUNNING:
                    self.keeper.stop(record)
                    record.lose()
                return copy
        return record.to_copy(self._node, False)

    def _answer_held(self, message: Message) -> RecordCopy:
        now = self._clock()
        match message:
            case OpenRecord():
                limit = self._settings().record_memory_bytes - self._records.used_bytes
                return open_held(self._held, message, now, limit)
            case TakeRecord():
                return take_held(self._held, message, now)
        return find_held(self._held, message)

    def _on_progress(self, sender: NodeId, message: RecordProgress) -> ProgressTaken:
        return ProgressTaken(
            tuple(self._take_item(sender, one) for one in message.items)
        )

    def _take_item(self, sender: NodeId, item: ProgressItem) -> int:
        record = self._records.records.get((item.workspace, item.key))
        if record is None or not record.is_joined:
            limit = self._settings().record_memory_bytes - self._records.used_bytes
            return take_progress(self._held, item, self._clock(), limit)
        return self._take_local(sender, record, item)

    def _take_local(
        self, sender: NodeId, record: RequestRecord, item: ProgressItem
    ) -> int:
        if record.run != item.run or item.epoch < record.epoch:
            return TAKEN
        if record.runner != sender:
            # This host runs an older epoch, or follows an older runner.
            if item.epoch > record.epoch:
                self.keeper.stop(record)
                record.lose()
            return NOT_KNOWN if item.epoch > record.epoch else TAKEN
        if item.offset > len(record.events):
            return NOT_KNOWN
        record.take_progress(item)
        if item.end is not None and record.state is RequestState.RUNNING:
            record.take_end(self._clock(), item.end)
        return len(record.events)


def _speaks(record: RequestRecord, message: Message) -> bool:
    """Say whether a question is answered from this host's own record."""
    if record.request.idempotent:
        return record.is_joined
    return isinstance(message, FindRecord) and record.state is RequestState.ANSWERED


def _may_go_on(end: RecordEnd) -> bool:
    if end.kind is None:
        return False
    kind = ErrorKind(end.kind)
    return ERROR_RESPONSES[kind].retry or kind is ErrorKind.KEY_EXPIRED


def _progress(copy: RecordCopy) -> tuple[int, bool, int]:
    return (copy.epoch, copy.end is not None, len(copy.events))
