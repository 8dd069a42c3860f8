"""Exchange of the origins of streams between relays and control hosts."""

from collections.abc import Callable, Iterator
from hashlib import blake2b
from itertools import islice

import anyio
import structlog
import xxhash

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId, ServiceName
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.streams import (
    AskStreamOrigin,
    ServedVersion,
    StreamOriginMark,
    StreamOrigins,
)
from cranberryfield.entry.registry import RegistryTable
from cranberryfield.entry.streams.found_origin import FoundOrigin
from cranberryfield.entry.streams.section import (
    KnownOrigin,
    StreamOrigin,
    StreamOriginSection,
    find_origin,
    forget_ended,
    record_origin,
)
from cranberryfield.entry.streams.served_versions import (
    ServedVersionSection,
    forget_old_versions,
    note_served_versions,
    note_version,
    recent_versions,
    states_versions,
)

__all__ = ["StreamDirectory"]

MS_PER_S = 1000
DIGEST_BYTES = 8
#: Control hosts that are told of each stream.
COPIES = 2
#: Time for control hosts to answer, in seconds. It is taken from the caller's time.
ASK_TIMEOUT_S = 0.3
#: Time after a question without enough answers until it is asked again, in seconds.
UNCONFIRMED_S = 0.3
FORGET_INTERVAL_S = 5.0
#: Time after the end of a request for which its stream may still be asked for, as
#: clocks of hosts differ, in seconds.
KEEP_MARGIN_S = 1.0
CONTROL_ROLE = "control"
NO_SERVICE = ServiceName("")
#: Streams that are looked through in one step after a link has changed. One takes about
#: 13 us together with its message.
STREAMS_PER_STEP = 200

logger = structlog.get_logger(__name__)

#: Returns the control hosts that must be told of a stream.
_Receivers = Callable[[bytes], list[NodeId]]


class StreamDirectory:
    """Tells control hosts what began each stream, and asks them.

    Two control hosts are told of each stream before it runs, and all of them of each
    version, unless the upstreams of the service state no versions. What a majority has
    to know before is confirmed: each version, and each attempt of a stream at another
    version than the attempt before.

    Parameters
    ----------
    section : StreamOriginSection
        Known origins; owned by this object.
    table : RegistryTable
        Announced upstreams.
    mesh : Mesh
        Links to other processes.
    names : ControlHostNames
        Names of the control hosts.
    clock : Clock
        Monotonic time.
    served : ServedVersionSection, optional
        Versions that were in service; owned by this object.
    """

    def __init__(
        self,
        section: StreamOriginSection,
        table: RegistryTable,
        mesh: Mesh,
        names: ControlHostNames,
        clock: Clock,
        served: ServedVersionSection | None = None,
    ):
        self._section = section
        self._table = table
        self._mesh = mesh
        self._names = names
        self._clock = clock
        self._served = served or ServedVersionSection(complete_since=clock())
        self._pending: dict[NodeId, tuple[_Receivers, Iterator[bytes]]] = {}
        self._wake = anyio.Event()
        self._watchers: list[Callable[[], None]] = []
        self._confirmed: set[tuple[ServiceName, str]] = set()
        self._unconfirmed_until: dict[tuple[ServiceName, str], float] = {}
        mesh.handle(StreamOrigins, self._on_origins)
        mesh.handle(AskStreamOrigin, self._on_ask)
        mesh.watch_links(self._on_link)

    def watch_versions(self, watcher: Callable[[], None]) -> None:
        """Call `watcher` when this host hears of a further version of a service."""
        self._watchers.append(watcher)

    async def run(self) -> None:
        """Forget old streams and tell control hosts of others, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._forget_loop)
            tasks.start_soon(self._tell_loop)

    async def _forget_loop(self) -> None:
        while True:
            forget_ended(self._section, self._clock())
            self.note_served()
            await anyio.sleep(FORGET_INTERVAL_S)

    def note_served(self) -> None:
        """Record the versions that are in service now, and forget old ones."""
        now = self._clock()
        if note_served_versions(self._served, self._table, now):
            self._notify_watchers()
        forget_old_versions(self._served, now)

    async def _tell_loop(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self.tell_pending():
                await anyio.sleep(0)

    def record(self, request_id: str, origin: StreamOrigin, deadline: float) -> None:
        """Record what a stream is sent to, and tell control hosts if it matters.

        Parameters
        ----------
        request_id : str
            Id of the request, which its caller names to take the stream up again.
        origin : StreamOrigin
            Service and software version of the upstream.
        deadline : float
            Monotonic time in seconds of the request's deadline.
        """
        request, until = _digest(request_id), deadline + KEEP_MARGIN_S
        earlier = self._section.origins.get(request)
        has_changed = earlier is not None and earlier.origin != origin
        attempt = earlier.attempt + has_changed if earlier is not None else 0
        self._note_version(origin.service, origin.software_version)
        record_origin(self._section, request, origin, until, attempt)
        if not states_versions(self._served, origin.service):
            return
        # Those that were told of another version may not be among the first two now.
        receivers = self._control_hosts if has_changed else self._holders
        self._tell([request], receivers)

    async def may_begin(self, origin: StreamOrigin) -> bool:
        """Return whether streams may be sent to a version.

        A majority of the control hosts has to know it. Another relay would else find
        that there is one version only, and go on with the streams at that one.

        Parameters
        ----------
        origin : StreamOrigin
            Service and software version of an upstream.
        """
        service, version = key = (origin.service, origin.software_version)
        self._note_version(service, version)
        if not version or key in self._confirmed:
            return True
        if self._unconfirmed_until.get(key, float("-inf")) > self._clock():
            return False

        def knows(answer: StreamOrigins) -> bool:
            return _says_nothing(answer) or any(
                one.software_version == version for one in answer.versions
            )

        if await self._is_confirmed(AskStreamOrigin(b"", service), knows):
            self._confirmed.add(key)
            self._unconfirmed_until.pop(key, None)
            return True
        self._unconfirmed_until[key] = self._clock() + UNCONFIRMED_S
        logger.warning("version not confirmed", service=service, version=version)
        return False

    async def may_change(self, request_id: str) -> bool:
        """Return whether an attempt may be sent at another version than the one before.

        Call it after `record`. A majority of the control hosts has to know of the
        attempt, as some know of the earlier one.

        Parameters
        ----------
        request_id : str
            Id of the request.
        """
        request = _digest(request_id)
        known = self._section.origins.get(request)
        if known is None or not known.attempt:
            return True
        if not states_versions(self._served, known.origin.service):
            return True

        def knows(answer: StreamOrigins) -> bool:
            return _says_nothing(answer) or any(
                mark.attempt >= known.attempt for mark in answer.origins
            )

        question = AskStreamOrigin(request, known.origin.service)
        if await self._is_confirmed(question, knows):
            return True
        logger.warning("attempt at another version not confirmed", request=request_id)
        return False

    async def _is_confirmed(
        self, question: AskStreamOrigin, counts: Callable[[StreamOrigins], bool]
    ) -> bool:
        """Return whether the answers of most control hosts count."""
        total = len(self._names.known())
        if not total:
            return True
        answers = await self._ask(question, counts)
        return 2 * len(answers) > total

    def states_versions(self, service: ServiceName) -> bool:
        """Return whether any upstream of a service has stated its version."""
        return states_versions(self._served, service)

    def on_announcement(self, record: UpstreamRecord) -> None:
        """Tell control hosts of a version before streams are sent there.

        Parameters
        ----------
        record : UpstreamRecord
            Changed record of an upstream.
        """
        self._note_version(record.service, record.software_version)

    def _note_version(self, service: ServiceName, version: str) -> None:
        stated = states_versions(self._served, service)
        if not note_version(self._served, service, version, self._clock()):
            return
        self._notify_watchers()
        if not states_versions(self._served, service):
            return
        if not stated:
            # Nobody was told of the streams at upstreams that stated no version.
            self._tell(
                [
                    request
                    for request, known in self._section.origins.items()
                    if known.origin.service == service
                ],
                self._holders,
            )
        for node in self._control_hosts(b""):
            self._send(node, self._version_marks(service))

    def _notify_watchers(self) -> None:
        for watcher in self._watchers:
            watcher()

    def _on_link(self, peer: Hello, is_open: bool) -> None:
        """Tell control hosts of the streams whose holders have changed with a link.

        One that is linked may have restarted, and one that is not linked any more may
        have been one of two that knew a stream.
        """
        node = peer.node
        if CONTROL_ROLE not in peer.roles:
            return
        if is_open:
            marks = [
                mark
                for service in self._served.last_served
                if states_versions(self._served, service)
                for mark in self._version_marks(service)
            ]
            if marks:
                self._send(node, marks)

        def receivers(request: bytes) -> list[NodeId]:
            hosts = self._control_hosts(request, node)
            if node not in hosts[:COPIES]:
                return []
            if is_open:
                return [node]
            return [one for one in hosts if one != node][COPIES - 1 : COPIES]

        # A link that closes and opens again leaves only the last change to be told.
        self._pending.pop(node, None)
        self._pending[node] = receivers, iter(list(self._section.origins))
        self._wake.set()

    def _version_marks(self, service: ServiceName) -> list[StreamOriginMark]:
        """Return the versions of a service as marks of no stream, with their ages."""
        return [
            StreamOriginMark(b"", service, one.software_version, one.age_ms)
            for one in self._recent_versions(service)
        ]

    def _recent_versions(self, service: ServiceName) -> tuple[ServedVersion, ...]:
        return recent_versions(self._served, self._table, service, self._clock())

    def tell_pending(self) -> bool:
        """Tell of some streams whose holders have changed; return whether any is left.

        A step without I/O is kept short by the number of streams.
        """
        if not self._pending:
            return False
        node, (receivers, requests) = next(iter(self._pending.items()))
        some = list(islice(requests, STREAMS_PER_STEP))
        if not some:
            del self._pending[node]
        self._tell(some, receivers)
        return bool(self._pending)

    def _tell(self, requests: list[bytes], receivers: _Receivers) -> None:
        """Tell control hosts of those of the streams that may still be taken up."""
        now = self._clock()
        marks_for: dict[NodeId, list[StreamOriginMark]] = {}
        for request in requests:
            known = self._section.origins.get(request)
            if known is None or known.until <= now:
                continue
            if not states_versions(self._served, known.origin.service):
                continue
            mark = _make_mark(request, known, now)
            for node in receivers(request):
                marks_for.setdefault(node, []).append(mark)
        for node, marks in marks_for.items():
            self._send(node, marks)

    def _send(self, node: NodeId, marks: list[StreamOriginMark]) -> None:
        if node != self._mesh.hello.node:
            self._mesh.send(node, StreamOrigins(tuple(marks)))

    def _holders(self, request: bytes) -> list[NodeId]:
        return self._control_hosts(request)[:COPIES]

    def _control_hosts(
        self, request: bytes, further: NodeId | None = None
    ) -> list[NodeId]:
        """Return the linked control hosts, those that are told of a stream first."""
        linked = {node for node in self._names.known() if self._mesh.is_linked(node)}
        if further is not None:
            linked.add(further)
        return sorted(
            linked,
            key=lambda node: xxhash.xxh64_intdigest(node.encode() + request),
            reverse=True,
        )

    async def find(
        self,
        request_id: str,
        service: ServiceName = NO_SERVICE,
        longest_s: float = 0.0,
    ) -> FoundOrigin:
        """Return what began the stream of a request, as this host or others know.

        Parameters
        ----------
        request_id : str
            Id of the request whose response had the first event; empty if it is not
            known.
        service : ServiceName
            Service whose versions are asked for.
        longest_s : float
            Longest time for which a stream of it may be taken up, in seconds.
        """
        request = _digest(request_id) if request_id else b""
        own = find_origin(self._section, request)
        if own is not None:
            return FoundOrigin.of_own(own)
        answers = await self._ask(
            AskStreamOrigin(request, service), lambda answer: True
        )
        return FoundOrigin.from_answers(answers, len(self._names.known()), longest_s)

    async def _ask(
        self, question: AskStreamOrigin, counts: Callable[[StreamOrigins], bool]
    ) -> list[StreamOrigins]:
        """Return the answers that count, of a majority or of all in reach.

        Any majority has a host that knows of the last attempt of a stream.
        """
        answers: list[StreamOrigins] = []
        async with anyio.create_task_group() as tasks:

            async def ask(node: NodeId) -> None:
                try:
                    reply = await self._mesh.request(node, question, ASK_TIMEOUT_S)
                except CranberryfieldError as error:
                    logger.info(
                        "origin of a stream not answered",
                        host=node,
                        detail=error.detail,
                    )
                    return
                if not counts(reply):
                    return
                answers.append(reply)
                total = max(
                    len(self._names.known()), *(one.control_hosts for one in answers)
                )
                if 2 * len(answers) > total:
                    tasks.cancel_scope.cancel()

            for node in self._control_hosts(question.request):
                tasks.start_soon(ask, node)
        return answers

    def _on_origins(self, sender: NodeId, message: StreamOrigins) -> None:
        now = self._clock()
        has_news = False
        for mark in message.origins:
            service, version = mark.service, mark.software_version
            keep_s = mark.keep_ms / MS_PER_S
            age_s = 0.0 if mark.request else keep_s
            has_news |= note_version(self._served, service, version, now, age_s)
            if mark.request:
                origin = StreamOrigin(service, version)
                until = now + keep_s
                record_origin(self._section, mark.request, origin, until, mark.attempt)
        if has_news:
            self._notify_watchers()

    def _on_ask(self, sender: NodeId, message: AskStreamOrigin) -> StreamOrigins:
        now = self._clock()
        known = self._section.origins.get(message.request)
        marks = () if known is None else (_make_mark(message.request, known, now),)
        if not message.service:
            return StreamOrigins(marks)
        note_served_versions(self._served, self._table, now)
        return StreamOrigins(
            marks,
            self._recent_versions(message.service),
            int(self._served.reach_s(now) * MS_PER_S),
            len(self._names.known()),
        )


def _says_nothing(answer: StreamOrigins) -> bool:
    """Return whether the sender's build states neither versions nor attempts."""
    return answer.reach_ms < 0


def _make_mark(request: bytes, known: KnownOrigin, now: float) -> StreamOriginMark:
    return StreamOriginMark(
        request,
        known.origin.service,
        known.origin.software_version,
        max(0, int((known.until - now) * MS_PER_S)),
        known.attempt,
    )


def _digest(request_id: str) -> bytes:
    return blake2b(request_id.encode(), digest_size=DIGEST_BYTES).digest()
