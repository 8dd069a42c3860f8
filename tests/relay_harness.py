"""Relay between a raw caller and scripted upstreams, without other hosts."""

from random import Random

import anyio
import msgspec

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.deployment import (
    Route,
    RouteKind,
    WeightedService,
    WorkspaceSpec,
)
from cranberryfield.core.http1 import (
    ConnectionPool,
    RequestHead,
    ServerLimits,
    ServerState,
    find_header,
    serve_http,
)
from cranberryfield.core.http1.message import remove_hop_by_hop
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.limits import StatedLimits
from cranberryfield.entry.paths.connector import PathConnector
from cranberryfield.entry.paths.relay_directory import RelayDirectory
from cranberryfield.entry.paths.section import UpstreamPaths
from cranberryfield.entry.quarantine import (
    QuarantineSection,
    SuspectExchange,
    make_cluster_reserver,
)
from cranberryfield.entry.registry import (
    RegistryReplica,
    RegistryTable,
    accept_record,
)
from cranberryfield.entry.relay import (
    LoadSection,
    Relay,
    RelayRequest,
    ResponseMetadata,
    UpstreamCodec,
    WindowedRetryBudget,
)
from cranberryfield.entry.relay.attempts import UpstreamTransport
from cranberryfield.entry.relay.brittle_upstreams import BrittleUpstreams
from cranberryfield.entry.relay.crash_detection import CrashDetector
from cranberryfield.entry.relay.demand import DemandSection
from cranberryfield.entry.relay.quarantine import RelayQuarantine
from cranberryfield.entry.relay.upstream_limits import (
    UpstreamLimiter,
    make_upstream_leaser,
)
from cranberryfield.entry.relay.upstream_pauses import UpstreamPauses
from cranberryfield.entry.relay.upstream_statements import UpstreamStatements
from cranberryfield.entry.relay.usage import UsageSection
from cranberryfield.entry.rollouts import RolloutTraffic
from cranberryfield.entry.streams import StreamDirectory, StreamOriginSection
from standins.processes import free_port
from standins.scripted_upstream import ScriptedUpstream, UpstreamCrash

__all__ = [
    "RESPONSE_HEAD",
    "RelayHarness",
    "crash",
    "get_request",
    "in_sequence",
    "never_respond",
    "read_all",
    "refuse",
    "reset_connection",
    "respond",
    "respond_after_foreign",
    "send_all",
    "send_raw",
    "stream_events",
]

TIMEOUT_S = 30.0
RESPONSE_HEAD = b"HTTP/1.1 %d X\r\nSigned: yes\r\nId: %s\r\n"


def _encode_request_headers(request, record, left_ms, last_event):
    headers = [*request.head.headers, (b"Left", str(left_ms).encode())]
    if last_event is not None:
        headers.append((b"After", last_event.encode()))
    return headers


def _read_response_metadata(head):
    limit = find_header(head.headers, b"limit")
    pause = find_header(head.headers, b"pause")
    return ResponseMetadata(
        not_run=find_header(head.headers, b"not-run") is not None,
        is_misdirected=head.status == 421,
        request_id=find_header(head.headers, b"id"),
        is_signed=find_header(head.headers, b"signed") is not None,
        limit_per_s=float(limit) if limit is not None else None,
        is_leaving=find_header(head.headers, b"leaving") is not None,
        pause_s=float(pause) if pause is not None else None,
    )


def respond(status=200, body=b"answer", extra=b""):
    """Send a complete response with a Content-Length header."""

    async def script(request, stream):
        head = RESPONSE_HEAD % (status, request.header("id").encode()) + extra
        await stream.send(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        return True

    return script


def refuse(status=503):
    return respond(status, b"", b"Not-Run: 1\r\n")


def stream_events(first, last, ends=True):
    """Stream numbered events that follow the last one the caller has received."""

    async def script(request, stream):
        start = max(first, int(request.header("after") or 0) + 1)
        await stream.send(RESPONSE_HEAD % (200, request.header("id").encode()))
        await stream.send(b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(start, last + 1):
            event = b"id: %d\ndata: e%d\n\n" % (number, number)
            await stream.send(b"%x\r\n" % len(event) + event + b"\r\n")
        if ends:
            await stream.send(b"0\r\n\r\n")
        else:
            await stream.send(b"8\r\nid: 99\nd\r\n")
        return ends

    return script


async def reset_connection(request, stream):
    return False


async def crash(request, stream):
    raise UpstreamCrash


async def never_respond(request, stream):
    await anyio.sleep_forever()


def respond_after_foreign(body):
    """Send a response to another request before the right one."""
    respond_to_request = respond(body=body)

    async def script(request, stream):
        other = RESPONSE_HEAD % (200, b"other") + b"Content-Length: 5\r\n\r\nwrong"
        await stream.send(other)
        return await respond_to_request(request, stream)

    return script


def in_sequence(*scripts):
    """Run the scripts in order, one per request; the last one repeats."""
    remaining = list(scripts)

    async def script(request, stream):
        chosen = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        return await chosen(request, stream)

    return script


class CountingQuota:
    """Quota that admits every request and sums the cost charged."""

    def __init__(self):
        self.used = 0.0

    async def admit(self, spec, cost, rank):
        self.used += cost

    def refund(self, spec, cost):
        if spec is not None:
            self.used -= cost


class RelayHarness:
    """Relay with raw upstreams, called over a raw connection.

    With `rollouts`, a `RolloutSection`, it restricts attempts by the grants in it.
    """

    def __init__(
        self,
        scripts,
        kind=RouteKind.IDEMPOTENT,
        prompt_parts=(),
        versions=None,
        rollouts=None,
        **route,
    ):
        self.prompt_parts = prompt_parts
        self.upstreams = [ScriptedUpstream(script) for script in scripts]
        fields = {"timeout_ms": 8_000.0, "target_ms": 500.0, "max_attempts": 2}
        self.route = Route(
            "r",
            "a.example",
            "/x/",
            kind,
            (WeightedService("drafts", 1),),
            **{**fields, **route},
        )
        self.port = free_port()
        self.retry_delays_s = []
        self.table = RegistryTable()
        for number, one in enumerate(self.upstreams):
            record = UpstreamRecord(
                f"u{number}",
                1,
                1,
                "drafts",
                "fann",
                one.address,
                "",
                (),
                8,
                0,
                software_version=versions[number] if versions else "",
            )
            accept_record(self.table, record, 0.0)
        clock = monotonic_clock
        self.quota = CountingQuota()
        pool = self.pool = ConnectionPool(clock)
        metrics = Metrics()
        mesh = Mesh(Hello("relay-1", "g", 1, "fann", ("relay",), "", ""), "key")
        connector = PathConnector(
            UpstreamPaths(), RelayDirectory(), mesh, pool, clock, Random(1)
        )
        pool.dial = connector.dial
        names = ControlHostNames.from_list(())
        self.limits = StatedLimits()
        leaser = make_upstream_leaser(lambda: None, lambda: 1, mesh, clock)
        self.limiter = UpstreamLimiter(
            self.limits, self.table, leaser, lambda: 1, clock
        )
        self.replica = RegistryReplica(self.table, mesh, names, clock, Random(1))
        statements = UpstreamStatements(
            self.limiter,
            UpstreamPauses(),
            BrittleUpstreams(),
            self.table,
            self.replica.record_leaving,
            clock,
        )
        self.suspects = QuarantineSection()
        exchange = SuspectExchange(self.suspects, mesh, names, clock, Random(1))
        self.reserver = make_cluster_reserver(Blackboard(), mesh, names, clock)
        self.detector = CrashDetector(
            self.suspects,
            exchange,
            self.table,
            pool,
            connector.is_refused,
            metrics,
            clock,
        )
        self.metrics = metrics
        self.background = []
        traffic = None
        if rollouts is not None:
            traffic = RolloutTraffic(rollouts, self.table, metrics, clock, Random(1))
        self.loads = LoadSection()
        self.streams = StreamDirectory(
            StreamOriginSection(), self.table, mesh, names, clock
        )
        self.relay = Relay(
            self.table,
            self.loads,
            DemandSection(),
            self.quota,
            WindowedRetryBudget(0.2, 50.0, 10.0, lambda: 1, clock() - 10.0),
            UsageSection(5.0, clock),
            RelayQuarantine(self.suspects, self.reserver, clock),
            self.detector,
            self.limiter,
            statements,
            self.streams,
            UpstreamTransport(
                pool,
                UpstreamCodec(_encode_request_headers, _read_response_metadata),
                clock,
                lambda record, metadata, sent_at, via: statements.on_answer(
                    record, metadata, sent_at
                ),
                connector.suspect,
                traffic.may_send if traffic is not None else None,
            ),
            self._refuse,
            metrics,
            "fann",
            "relay-1",
            lambda: 1,
            clock,
            Random(1),
            traffic,
        )

    async def _refuse(self, exchange, error):
        body = msgspec.json.encode({"kind": error.kind.value, "run": error.was_run})
        self.retry_delays_s.append(error.retry_after_s)
        await exchange.respond(error.response.status, [], body)

    async def _handle(self, exchange):
        headers = exchange.head.headers
        now = monotonic_clock()
        left_s = float(find_header(headers, b"time") or 8.0)
        request = RelayRequest(
            find_header(headers, b"id"),
            RequestHead(
                exchange.head.method, exchange.head.target, remove_hop_by_hop(headers)
            ),
            exchange.body,
            self.route,
            "drafts",
            WorkspaceSpec("notary"),
            now,
            now + left_s,
            self.prompt_parts,
            last_event_id=find_header(headers, b"last"),
            first_request=find_header(headers, b"resumes"),
        )
        await self.relay.handle(request, exchange)

    async def run(self, conversation):
        """Run the conversation with a raw connection to the relay."""
        state = self.state = ServerState(ServerLimits(max_body_bytes=1_000))
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for one in self.upstreams:
                    await tasks.start(one.run)
                address = ("127.0.0.1", self.port)
                await tasks.start(serve_http, address, self._handle, state)
                tasks.start_soon(self.relay.run)
                for one in self.background:
                    tasks.start_soon(one)
                async with await anyio.connect_tcp(*address) as stream:
                    await conversation(stream)
                tasks.cancel_scope.cancel()

    def prefer(self, number):
        """Make the relay choose an upstream before the others."""
        for other in range(len(self.upstreams)):
            if other != number:
                self.loads.load_of(f"u{other}").remote_in_flight = 4

    def mark_leaving(self, number):
        """Mark an upstream as leaving, after the relay has chosen it."""
        entry = self.table.entries[f"u{number}"]
        entry.record = msgspec.structs.replace(entry.record, leaving=True)

    @property
    def received_requests(self):
        return [request for one in self.upstreams for request in one.requests]


async def read_all(stream):
    data = b""
    try:
        async for part in stream:
            data += part
    except anyio.BrokenResourceError:
        pass
    return data


def send_raw(harness, sent):
    """Send bytes as a caller; return all bytes received until the connection ends."""
    response = b""

    async def conversation(stream):
        nonlocal response
        await stream.send(sent)
        response = await read_all(stream)

    anyio.run(harness.run, conversation)
    return response


def send_all(harness, count):
    """Send requests one after the other; return the bodies of their responses."""
    bodies = []

    async def conversation(stream):
        for _ in range(count):
            async with await anyio.connect_tcp("127.0.0.1", harness.port) as caller:
                await caller.send(get_request())
                response = await read_all(caller)
            bodies.append(response.partition(b"\r\n\r\n")[2])

    anyio.run(harness.run, conversation)
    return bodies


def get_request(*lines, target=b"/x/y?q=%20A"):
    head = b"GET " + target + b" HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n"
    return (
        head + b"".join(line + b"\r\n" for line in lines) + b"Connection: close\r\n\r\n"
    )
