"""Exchange of the origins of streams between relays and control hosts."""

from dataclasses import dataclass
from hashlib import blake2b

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
    StreamOriginMark,
    StreamOrigins,
)
from cranberryfield.entry.registry import RegistryTable
from cranberryfield.entry.streams.section import (
    KnownOrigin,
    StreamOrigin,
    StreamOriginSection,
    find_origin,
    forget_ended,
    known_versions,
    origins_of_service,
    record_origin,
)

__all__ = ["FoundOrigin", "StreamDirectory"]

MS_PER_S = 1000
DIGEST_BYTES = 8
#: Control hosts that are told of each stream.
COPIES = 2
#: Time for control hosts to answer, in seconds. It is taken from the caller's time.
ASK_TIMEOUT_S = 0.3
FORGET_INTERVAL_S = 5.0
#: Time after the end of a request for which its stream may still be asked for, as
#: clocks of hosts differ, in seconds.
KEEP_MARGIN_S = 1.0
CONTROL_ROLE = "control"

logger = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """What a host has found of a stream.

    Attributes
    ----------
    origin : StreamOrigin or None
        What began it; None if nobody knows.
    was_answered : bool
        Whether any control host has answered.
    """

    origin: StreamOrigin | None
    was_answered: bool


class StreamDirectory:
    """Tells control hosts what began each stream, and asks them.

    While a service has a single software version, nobody needs to be told; each
    relay keeps its own streams and tells them once another version appears.

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
    """

    def __init__(
        self,
        section: StreamOriginSection,
        table: RegistryTable,
        mesh: Mesh,
        names: ControlHostNames,
        clock: Clock,
    ):
        self._section = section
        self._table = table
        self._mesh = mesh
        self._names = names
        self._clock = clock
        self._versions: dict[ServiceName, frozenset[str]] = {}
        mesh.handle(StreamOrigins, self._on_origins)
        mesh.handle(AskStreamOrigin, self._on_ask)
        mesh.watch_links(self._on_link)

    async def run(self) -> None:
        """Forget streams that may not be taken up any more, until cancelled."""
        while True:
            await anyio.sleep(FORGET_INTERVAL_S)
            forget_ended(self._section, self._clock())
            for service in self._versions:
                self._versions[service] = known_versions(self._table, service)

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
        record_origin(self._section, request, origin, until)
        if self._has_versions(origin.service):
            self._tell({request: KnownOrigin(origin, until)})

    def on_announcement(self, record: UpstreamRecord) -> None:
        """Tell control hosts of a service's streams once it has several versions.

        Parameters
        ----------
        record : UpstreamRecord
            Changed record of an upstream.
        """
        service = record.service
        versions = self._versions.get(service, frozenset())
        if record.software_version in versions:
            return
        self._versions[service] = versions | {record.software_version}
        if len(versions) == 1:
            self._tell(origins_of_service(self._section, service, self._clock()))

    def _has_versions(self, service: ServiceName) -> bool:
        return len(self._versions.get(service, ())) > 1

    def _on_link(self, peer: Hello, is_open: bool) -> None:
        """Tell a control host, which may have restarted, of the streams in progress."""
        if not is_open or CONTROL_ROLE not in peer.roles:
            return
        for service in self._versions:
            if self._has_versions(service):
                now = self._clock()
                self._tell(origins_of_service(self._section, service, now), peer.node)

    def _tell(
        self, origins: dict[bytes, KnownOrigin], only: NodeId | None = None
    ) -> None:
        """Tell the control hosts of each stream, or only one of them."""
        now = self._clock()
        marks_for: dict[NodeId, list[StreamOriginMark]] = {}
        for request, known in origins.items():
            mark = StreamOriginMark(
                request,
                known.origin.service,
                known.origin.software_version,
                int((known.until - now) * MS_PER_S),
            )
            for node in self._control_hosts(request)[:COPIES]:
                if only not in (None, node):
                    continue
                marks_for.setdefault(node, []).append(mark)
        for node, marks in marks_for.items():
            self._mesh.send(node, StreamOrigins(tuple(marks)))

    def _control_hosts(self, request: bytes) -> list[NodeId]:
        """Return the linked control hosts, those that are told of a stream first."""
        return sorted(
            (node for node in self._names.known() if self._mesh.is_linked(node)),
            key=lambda node: xxhash.xxh64_intdigest(node.encode() + request),
            reverse=True,
        )

    async def find(self, request_id: str) -> FoundOrigin:
        """Return what began the stream of a request, as this host or others know.

        Parameters
        ----------
        request_id : str
            Id of the request whose response had the first event.
        """
        request = _digest(request_id)
        own = find_origin(self._section, request)
        if own is not None:
            return FoundOrigin(own, True)
        found: list[StreamOrigin] = []
        answered: list[NodeId] = []
        async with anyio.create_task_group() as tasks:

            async def ask(node: NodeId) -> None:
                try:
                    reply = await self._mesh.request(
                        node, AskStreamOrigin(request), ASK_TIMEOUT_S
                    )
                except CranberryfieldError as error:
                    logger.info(
                        "origin of a stream not answered",
                        host=node,
                        detail=error.detail,
                    )
                    return
                answered.append(node)
                if reply.origins:
                    found.append(_origin_of(reply.origins[0]))
                    tasks.cancel_scope.cancel()

            for node in self._control_hosts(request):
                tasks.start_soon(ask, node)
        return FoundOrigin(found[0] if found else None, bool(answered))

    def _on_origins(self, sender: NodeId, message: StreamOrigins) -> None:
        now = self._clock()
        for mark in message.origins:
            until = now + mark.keep_ms / MS_PER_S
            record_origin(self._section, mark.request, _origin_of(mark), until)

    def _on_ask(self, sender: NodeId, message: AskStreamOrigin) -> StreamOrigins:
        known = self._section.origins.get(message.request)
        if known is None:
            return StreamOrigins()
        origin = known.origin
        mark = StreamOriginMark(
            message.request, origin.service, origin.software_version, 0
        )
        return StreamOrigins((mark,))


def _origin_of(mark: StreamOriginMark) -> StreamOrigin:
    return StreamOrigin(mark.service, mark.software_version)


def _digest(request_id: str) -> bytes:
    return blake2b(request_id.encode(), digest_size=DIGEST_BYTES).digest()
