"""Endpoints for callers and upstreams."""

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
    problem_response,
    read_body,
    require_key,
)
from cranberryfield.core.ids import RequestKey
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.entry.callers.answers import (
    stream_events,
    wait_until_ended,
    whole_completion,
)
from cranberryfield.entry.callers.auth import workspace_of_key
from cranberryfield.entry.callers.parse import (
    KEY_HEADER,
    last_event_id,
    parse_completion,
    parse_service_call,
)
from cranberryfield.entry.callers.views import (
    is_settled_here,
    view_of_claim,
    view_of_record,
)
from cranberryfield.entry.membership import Announcement, Leave
from cranberryfield.entry.membership.leases import LeaseKeeper
from cranberryfield.entry.requests import RecordsSection, Request, RequestRecord
from cranberryfield.entry.requests.claims import ClaimKeeper
from cranberryfield.entry.requests.records import RequestState
from cranberryfield.entry.requests.runner import RequestRunner

__all__ = ["CallerApi"]

MAX_ANY_BODY_BYTES = 64 << 20
MAX_ANNOUNCE_BYTES = 16 << 10
ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
JSON = "application/json"


class CallerApi:
    """Endpoints of the entry role.

    Parameters
    ----------
    settings : SettingsSection
        The settings in force.
    records : RecordsSection
        The records of requests.
    leases : LeaseKeeper
        Takes announcements in.
    runner : RequestRunner
        Runs requests.
    claims : ClaimKeeper
        Claims of non-idempotent requests.
    metrics : Metrics
        Counters and histograms.
    upstream_keys : tuple of str
        Digests of the keys that upstreams announce themselves with.
    is_ready : callable
        Says whether new requests are taken.
    tasks : anyio.abc.TaskGroup
        Where requests run on when their caller has gone.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        settings: SettingsSection,
        records: RecordsSection,
        leases: LeaseKeeper,
        runner: RequestRunner,
        claims: ClaimKeeper,
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
        self._metrics = metrics
        self._upstream_keys = upstream_keys
        self._is_ready = is_ready
        self._tasks = tasks
        self._clock = clock

    def routes(self) -> list[Route]:
        """Return the routes of the entry role."""
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

    def _refuse_unless_ready(self, http: HttpRequest) -> None:
        if not self._is_ready():
            # Another host may have run a request that has a key.
            has_key = KEY_HEADER in http.headers
            raise UnavailableError(
                ErrorKind.NOT_READY,
                "this host takes no new requests",
                was_run=WasRun.UNKNOWN if has_key else WasRun.NO,
            )

    async def _completion(self, http: HttpRequest) -> Response:
        tree = self._settings.tree
        workspace = workspace_of_key(http, tree)
        self._refuse_unless_ready(http)
        body = await read_body(http, MAX_ANY_BODY_BYTES)
        after = last_event_id(http)
        now = self._clock()
        request, stream = parse_completion(http, body, tree, workspace, now)
        record = self._open(request)
        if stream:
            return await self._streamed(record, after)
        await wait_until_ended(record)
        self._observe_first_byte(record, now)
        if record.state is RequestState.FAILED:
            return problem_response(record.error)
        chat = http.url.path.endswith("/chat/completions")
        return Response(whole_completion(record, chat), media_type=JSON)

    def _open(self, request: Request) -> RequestRecord:
        record, is_new = self._records.open(request, self._clock())
        if is_new:
            self._tasks.start_soon(self._runner.run, record)
        return record

    async def _streamed(self, record: RequestRecord, after: int) -> Response:
        started = self._clock()
        while len(record.events) <= after and record.state is RequestState.RUNNING:
            await record.wait_change()
        self._observe_first_byte(record, started)
        if record.state is RequestState.FAILED and len(record.events) <= after:
            return problem_response(record.error)
        if after > len(record.events) + 1:
            raise CallerError(
                ErrorKind.BAD_REQUEST, "Last-Event-ID is past the answer's end"
            )
        return StreamingResponse(
            stream_events(record, min(after, len(record.events))),
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
        workspace = workspace_of_key(http, tree)
        self._refuse_unless_ready(http)
        body = await read_body(http, MAX_ANY_BODY_BYTES)
        request = parse_service_call(http, body, tree, workspace, self._clock())
        record = self._open(request)
        await wait_until_ended(record)
        if record.state is RequestState.FAILED:
            return problem_response(record.error)
        outcome = record.outcome
        return Response(
            outcome.body, outcome.status, headers={"Content-Type": outcome.content_type}
        )

    async def _show_request(self, http: HttpRequest) -> Response:
        workspace = workspace_of_key(http, self._settings.tree)
        key = RequestKey(http.path_params["key"])
        record = self._records.records.get((workspace, key))
        if record is not None and is_settled_here(record):
            view = view_of_record(key, record)
        else:
            view = view_of_claim(key, await self._claims.find(workspace, key))
        return Response(msgspec.json.encode(view), media_type=JSON)

    async def _announce(self, http: HttpRequest) -> Response:
        require_key(http, self._upstream_keys)
        announcement = await decode_json(http, Announcement, MAX_ANNOUNCE_BYTES)
        view = self._leases.announce(announcement)
        return Response(msgspec.json.encode(view), media_type=JSON)

    async def _leave(self, http: HttpRequest) -> Response:
        require_key(http, self._upstream_keys)
        leave = await decode_json(http, Leave, MAX_ANNOUNCE_BYTES)
        self._leases.leave(leave)
        return Response(status_code=204)
