"""HTTP endpoints for callers and upstreams."""

from collections.abc import Callable

import msgspec
from anyio.abc import TaskGroup
from starlette.requests import Request as HttpRequest
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import (
    CallerError,
    ErrorKind,
    UnavailableError,
    WasRun,
)
from cranberryfield.core.http import (
    decode_json,
    read_body,
    require_key,
)
from cranberryfield.core.ids import RequestKey, WorkspaceId
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.entry.callers.auth import authenticate_workspace
from cranberryfield.entry.callers.disconnects import (
    error_response,
    stream_while_connected,
    wait_while_connected,
)
from cranberryfield.entry.callers.parse import (
    KEY_HEADER,
    LastEvent,
    parse_completion,
    parse_last_event,
    parse_service_call,
)
from cranberryfield.entry.callers.responses import (
    join_completion,
    lost_events_error,
    stream_events,
)
from cranberryfield.entry.callers.views import (
    RequestStateView,
    is_authoritative,
    view_of_claim,
    view_of_copy,
    view_of_record,
)
from cranberryfield.entry.membership import Announcement, LeaveRequest
from cranberryfield.entry.membership.leases import LeaseManager
from cranberryfield.entry.requests import RecordsSection, Request, RequestRecord
from cranberryfield.entry.requests.claims import ClaimManager
from cranberryfield.entry.requests.record_coordinator import RecordCoordinator
from cranberryfield.entry.requests.records import RequestState
from cranberryfield.entry.requests.request_runner import RequestRunner

__all__ = ["CallerApi"]

MAX_BODY_BYTES = 64 << 20
MAX_ANNOUNCE_BYTES = 16 << 10
ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
JSON = "application/json"


class CallerApi:
    """HTTP endpoints of the entry role.

    Parameters
    ----------
    settings : SettingsSection
        Settings in force.
    records : RecordsSection
        Records of requests on this host.
    leases : LeaseManager
        Receives the announcements of upstreams.
    runner : RequestRunner
        Runs requests.
    claims : ClaimManager
        Claims of non-idempotent requests.
    sharing : RecordCoordinator
        Records of idempotent requests on other hosts.
    metrics : Metrics
        Counters and histograms.
    upstream_keys : tuple of str
        Digests of the keys accepted from upstreams.
    is_ready : callable
        Returns whether this host accepts new requests.
    tasks : anyio.abc.TaskGroup
        Task group of running requests, which outlive the connection of the caller.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        settings: SettingsSection,
        records: RecordsSection,
        leases: LeaseManager,
        runner: RequestRunner,
        claims: ClaimManager,
        sharing: RecordCoordinator,
        metrics: Metrics,
        upstream_keys: tuple[str, ...],
        is_ready: Callable[[], bool],
        tasks: TaskGroup,
        clock: Clock,
    ):
        self._settings = settings
        self._records = records
        self._leases = leases
        self._runner = runner
        self._claims = claims
        self._sharing = sharing
        self._metrics = metrics
        self._upstream_keys = upstream_keys
        self._is_ready = is_ready
        self._tasks = tasks
        self._clock = clock

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the entry role."""
        return [
            Route("/v1/chat/completions", self._completion, methods=["POST"]),
            Route("/v1/completions", self._completion, methods=["POST"]),
            Route("/v1/requests/{key}", self._show_request, methods=["GET"]),
            Route(
                "/services/{service}/{path:path}",
                self._service_call,
                methods=ALL_METHODS,
            ),
            Route("/upstreams/announce", self._announce, methods=["POST"]),
            Route("/upstreams/leave", self._leave, methods=["POST"]),
        ]

    def _require_ready(self, http: HttpRequest) -> None:
        if not self._is_ready():
            # Another host may have run a request with the same key.
            has_key = KEY_HEADER in http.headers
            raise UnavailableError(
                ErrorKind.NOT_READY,
                "this host does not accept new requests",
                was_run=WasRun.UNKNOWN if has_key else WasRun.NO,
            )

    async def _completion(self, http: HttpRequest) -> Response:
        tree = self._settings.tree
        # Checked first: without settings every key would be refused.
        self._require_ready(http)
        workspace = authenticate_workspace(http, tree)
        body = await read_body(http, MAX_BODY_BYTES)
        last = parse_last_event(http)
        now = self._clock()
        request, stream = parse_completion(http, body, tree, workspace, now)
        if last.number and not request.has_caller_key:
            raise CallerError(
                ErrorKind.BAD_REQUEST, f"Last-Event-ID needs the header {KEY_HEADER}"
            )
        record = self._open_record(request, last.number > 0)
        if stream:
            return await self._stream_response(http, record, last)
        await wait_while_connected(http, record, lambda: False)
        self._observe_first_byte(record, now)
        if record.state is not RequestState.ANSWERED:
            return error_response(record)
        chat = http.url.path.endswith("/chat/completions")
        return Response(join_completion(record, chat), media_type=JSON)

    def _open_record(self, request: Request, is_resumed: bool = False) -> RequestRecord:
        record, is_new = self._records.open(request, self._clock())
        if is_new:
            record.is_partly_delivered = is_resumed
            self._tasks.start_soon(self._runner.run, record)
        return record

    async def _stream_response(
        self, http: HttpRequest, record: RequestRecord, last: LastEvent
    ) -> Response:
        started = self._clock()
        after = last.number

        def may_start() -> bool:
            is_wrong = record.is_coordinated and not last.is_part_of(record)
            return is_wrong or record.committed > after

        await wait_while_connected(http, record, may_start)
        self._observe_first_byte(record, started)
        if record.committed <= after and record.state is not RequestState.ANSWERED:
            return error_response(record)
        if after > record.committed + 1:
            raise CallerError(
                ErrorKind.BAD_REQUEST, "Last-Event-ID is beyond the end of the answer"
            )
        if not last.is_part_of(record):
            raise lost_events_error()
        return StreamingResponse(
            stream_while_connected(
                record, stream_events(record, min(after, record.committed))
            ),
            media_type="text/event-stream",
            headers={"Cache-Control": "no-store"},
        )

    def _observe_first_byte(self, record: RequestRecord, started: float) -> None:
        request = record.request
        self._metrics.observe(
            "first_token",
            self._clock() - started,
            workspace=request.workspace,
            priority=request.priority,
        )

    async def _service_call(self, http: HttpRequest) -> Response:
        tree = self._settings.tree
        # Checked first: without settings every key would be refused.
        self._require_ready(http)
        workspace = authenticate_workspace(http, tree)
        body = await read_body(http, MAX_BODY_BYTES)
        request = parse_service_call(http, body, tree, workspace, self._clock())
        record = self._open_record(request)
        await wait_while_connected(http, record, lambda: False)
        if record.state is not RequestState.ANSWERED:
            return error_response(record)
        outcome = record.outcome
        return Response(
            outcome.body, outcome.status, headers={"Content-Type": outcome.content_type}
        )

    async def _show_request(self, http: HttpRequest) -> Response:
        workspace = authenticate_workspace(http, self._settings.tree)
        key = RequestKey(http.path_params["key"])
        record = self._records.records.get((workspace, key))
        if record is not None and is_authoritative(record):
            view = view_of_record(key, record)
        else:
            view = await self._find_on_other_hosts(workspace, key)
        return Response(msgspec.json.encode(view), media_type=JSON)

    async def _find_on_other_hosts(
        self, workspace: WorkspaceId, key: RequestKey
    ) -> RequestStateView:
        copy = await self._sharing.find(workspace, key)
        if copy is not None:
            return view_of_copy(key, copy)
        return view_of_claim(key, await self._claims.find(workspace, key))

    async def _announce(self, http: HttpRequest) -> Response:
        require_key(http, self._upstream_keys)
        announcement = await decode_json(http, Announcement, MAX_ANNOUNCE_BYTES)
        view = self._leases.announce(announcement)
        return Response(msgspec.json.encode(view), media_type=JSON)

    async def _leave(self, http: HttpRequest) -> Response:
        require_key(http, self._upstream_keys)
        leave = await decode_json(http, LeaveRequest, MAX_ANNOUNCE_BYTES)
        self._leases.leave(leave)
        return Response(status_code=204)
