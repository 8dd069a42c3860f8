"""Sends attempts to upstreams over HTTP and reports how they ended."""

import httpx
import msgspec

from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import RunId
from cranberryfield.entry.dispatch.event_payloads import (
    DONE_PAYLOAD,
    EventPayloadParser,
)
from cranberryfield.entry.membership import KnownUpstream
from cranberryfield.entry.requests.attempts import Attempt, KvMoveResult
from cranberryfield.entry.requests.records import Outcome, RequestRecord
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.requests.retry_policy import AttemptEnd, AttemptResult

__all__ = ["Dispatcher"]

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 10.0
KV_MOVE_TIMEOUT_S = 0.5
RUN_HEADER = "Cranberryfield-Run"
STATUS_OK = 200
#: Statuses with which an upstream reports that it has not started the run.
NOT_STARTED_STATUSES = frozenset({429, 503})

#: Errors raised before any byte of the request was written.
_NOT_WRITTEN_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class _ResumeBody(msgspec.Struct):
    """Body of ``POST /runs/{run}/resume``."""

    path: str
    request: msgspec.Raw
    delivered_events: int
    delivered_text: str


class Dispatcher:
    """Sends completions and service calls to upstreams.

    Parameters
    ----------
    pooled_client : httpx.AsyncClient
        Client that reuses connections; for idempotent requests only.
    fresh_client : httpx.AsyncClient
        Client that opens a new connection for each request.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self, pooled_client: httpx.AsyncClient, fresh_client: httpx.AsyncClient, clock
    ):
        self._pooled_client = pooled_client
        self._fresh_client = fresh_client
        self._clock = clock

    @classmethod
    def from_clock(cls, clock: Clock) -> "Dispatcher":
        """Create a dispatcher with its own HTTP clients."""
        timeout = httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        keep_alive = httpx.Limits(max_connections=None, max_keepalive_connections=256)
        no_reuse = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        return cls(
            httpx.AsyncClient(timeout=timeout, limits=keep_alive, trust_env=False),
            httpx.AsyncClient(timeout=timeout, limits=no_reuse, trust_env=False),
            clock,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled_client.aclose()
        await self._fresh_client.aclose()

    def _client_for(self, request: Request) -> httpx.AsyncClient:
        return self._pooled_client if request.idempotent else self._fresh_client

    async def run_completion(self, attempt: Attempt) -> AttemptEnd:
        """Run a completion, continuing after the events already in the record.

        Parameters
        ----------
        attempt : Attempt
            Names the engine; received events are appended to its record. There
            is no read timeout: the caller must detect a stream that stalls.

        Returns
        -------
        AttemptEnd
            How the attempt ended.
        """
        record, upstream = attempt.record, attempt.upstream
        request = record.request
        client = (
            self._fresh_client
            if attempt.needs_new_connection
            else self._client_for(request)
        )
        path, body = request.path, _streaming_body(request.body)
        if record.events or attempt.has_kv_cache:
            path = f"/runs/{record.run}/resume"
            body = _resume_body(record, body)
        try:
            async with client.stream(
                "POST",
                f"http://{upstream.record.address}{path}",
                content=body,
                headers={
                    "Content-Type": "application/json",
                    RUN_HEADER: record.run,
                },
                timeout=httpx.Timeout(None, connect=CONNECT_TIMEOUT_S),
            ) as response:
                if response.status_code != STATUS_OK:
                    return _end_for_error_status(response.status_code)
                attempt.has_answer_started = True
                return await _collect_events(attempt, response, self._clock)
        except _NOT_WRITTEN_ERRORS as error:
            return AttemptEnd(AttemptResult.NOT_RUN, _describe_error(error))
        except httpx.HTTPError as error:
            return AttemptEnd(AttemptResult.BROKEN, _describe_error(error))

    async def move_kv(
        self, run: RunId, source: KnownUpstream, target: KnownUpstream
    ) -> KvMoveResult:
        """Move a run's KV cache to another engine; ends the run on the source.

        Parameters
        ----------
        run : RunId
            The run.
        source, target : KnownUpstream
            The engines; the same engine twice to continue over a new connection.

        Returns
        -------
        KvMoveResult
            Whether the target has the cache, and whether the source responded.
        """
        address = source.record.address
        try:
            exported = await self._fresh_client.post(
                f"http://{address}/runs/{run}/export", timeout=KV_MOVE_TIMEOUT_S
            )
        except httpx.HTTPError:
            return KvMoveResult.UNREACHABLE
        if exported.status_code != STATUS_OK:
            return KvMoveResult.NOT_MOVED
        address = target.record.address
        try:
            imported = await self._fresh_client.post(
                f"http://{address}/runs/import",
                content=exported.content,
                headers={"Content-Type": "application/json"},
                timeout=KV_MOVE_TIMEOUT_S,
            )
        except httpx.HTTPError:
            return KvMoveResult.NOT_MOVED
        return KvMoveResult.MOVED if imported.is_success else KvMoveResult.NOT_MOVED

    async def has_crashed(self, upstream: KnownUpstream) -> bool:
        """Return whether an engine's process is gone although its host responds."""
        address = upstream.record.address
        try:
            await self._fresh_client.get(
                f"http://{address}/load", timeout=CONNECT_TIMEOUT_S
            )
        except httpx.TimeoutException:
            return False
        except httpx.HTTPError:
            return True
        return False

    async def call_service(
        self, record: RequestRecord, upstream: KnownUpstream
    ) -> tuple[AttemptEnd, Outcome | None]:
        """Call a plain service.

        Parameters
        ----------
        record : RequestRecord
            The request.
        upstream : KnownUpstream
            The process of the service.

        Returns
        -------
        end : AttemptEnd
            How the attempt ended.
        outcome : Outcome or None
            The complete response, if there is one.
        """
        request = record.request
        limit = request.settings.max_answer_bytes
        try:
            async with self._client_for(request).stream(
                request.method,
                f"http://{upstream.record.address}{request.path}",
                content=request.body,
                headers={
                    "Content-Type": request.content_type,
                    RUN_HEADER: record.run,
                },
                timeout=httpx.Timeout(
                    max(0.001, request.deadline - self._clock()),
                    connect=CONNECT_TIMEOUT_S,
                ),
            ) as response:
                if response.status_code in NOT_STARTED_STATUSES:
                    return _end_for_error_status(response.status_code), None
                body = await _read_limited(response, limit)
        except _NOT_WRITTEN_ERRORS as error:
            return AttemptEnd(AttemptResult.NOT_RUN, _describe_error(error)), None
        except httpx.HTTPError as error:
            return AttemptEnd(AttemptResult.BROKEN, _describe_error(error)), None
        if body is None:
            detail = f"the answer is larger than {limit} bytes"
            return AttemptEnd(AttemptResult.BROKEN, detail), None
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        outcome = Outcome(response.status_code, content_type, body)
        return AttemptEnd(AttemptResult.FINISHED), outcome


def _streaming_body(body: bytes) -> bytes:
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields["stream"] = msgspec.Raw(b"true")
    return msgspec.json.encode(fields)


def _resume_body(record: RequestRecord, body: bytes) -> bytes:
    text = "".join(event_text(payload) for payload in record.events)
    return msgspec.json.encode(
        _ResumeBody(record.request.path, msgspec.Raw(body), len(record.events), text)
    )


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    text: str | None = None
    delta: _Delta = msgspec.field(default_factory=_Delta)


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = msgspec.field(default_factory=list)


def event_text(payload: bytes) -> str:
    """Return the text that one event of a completion adds.

    Parameters
    ----------
    payload : bytes
        JSON of the event.

    Returns
    -------
    str
        The text; empty if the event has none.

    Examples
    --------
    >>> event_text(b'{"choices": [{"text": "ab"}]}')
    'ab'
    """
    chunk = msgspec.json.decode(payload, type=_Chunk)
    return "".join(
        choice.text or choice.delta.content or "" for choice in chunk.choices
    )


async def _collect_events(
    attempt: Attempt, response: httpx.Response, clock: Clock
) -> AttemptEnd:
    record, gap = attempt.record, attempt.token_gap
    parser = EventPayloadParser()
    async for chunk in response.aiter_raw():
        payloads = parser.feed(chunk)
        if not payloads:
            continue
        gap.record_events(clock(), len(payloads))
        if payloads[-1] == DONE_PAYLOAD:
            record.add_events(payloads[:-1])
            return AttemptEnd(AttemptResult.FINISHED)
        record.add_events(payloads)
    return AttemptEnd(AttemptResult.BROKEN, "the stream ended before its last event")


async def _read_limited(response: httpx.Response, limit: int) -> bytes | None:
    parts = []
    size = 0
    async for chunk in response.aiter_bytes():
        size += len(chunk)
        if size > limit:
            return None
        parts.append(chunk)
    return b"".join(parts)


def _end_for_error_status(status: int) -> AttemptEnd:
    if status in NOT_STARTED_STATUSES:
        return AttemptEnd(AttemptResult.NOT_RUN, f"the upstream refused: {status}")
    return AttemptEnd(AttemptResult.BROKEN, f"the upstream answered {status}")


def _describe_error(error: httpx.HTTPError) -> str:
    return f"{type(error).__name__}: {error}" if str(error) else type(error).__name__
