"""Runs one attempt on one upstream and says how it ended."""

import httpx
import msgspec

from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import RunId
from cranberryfield.entry.dispatch.framing import DONE, EventSplitter
from cranberryfield.entry.membership import KnownUpstream
from cranberryfield.entry.requests.attempts import Attempt, KvMoveResult
from cranberryfield.entry.requests.records import Outcome, RequestRecord
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.requests.retry_policy import AttemptEnd, AttemptResult

__all__ = ["Dispatcher"]

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 10.0
MOVE_TIMEOUT_S = 0.5
RUN_HEADER = "Cranberryfield-Run"
STATUS_OK = 200
#: Statuses by which an upstream says that it has not started the run.
NOT_STARTED_STATUSES = frozenset({429, 503})

#: Failures before any byte of the request was written.
_NOT_WRITTEN = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class _ResumeBody(msgspec.Struct):
    """Body of ``POST /runs/{run}/resume``."""

    path: str
    request: msgspec.Raw
    delivered_events: int
    delivered_text: str


class Dispatcher:
    """Holds the HTTP connections to upstreams.

    Parameters
    ----------
    pooled : httpx.AsyncClient
        Reuses connections; for idempotent requests only.
    fresh : httpx.AsyncClient
        Opens a new connection for each request.
    clock : Clock
        Monotonic time.
    """

    def __init__(self, pooled: httpx.AsyncClient, fresh: httpx.AsyncClient, clock):
        self._pooled = pooled
        self._fresh = fresh
        self._clock = clock

    @classmethod
    def from_clock(cls, clock: Clock) -> "Dispatcher":
        """Build a dispatcher with connections of its own."""
        timeout = httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        unlimited = httpx.Limits(max_connections=None, max_keepalive_connections=256)
        no_reuse = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        return cls(
            httpx.AsyncClient(timeout=timeout, limits=unlimited, trust_env=False),
            httpx.AsyncClient(timeout=timeout, limits=no_reuse, trust_env=False),
            clock,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.aclose()
        await self._fresh.aclose()

    def _client(self, request: Request) -> httpx.AsyncClient:
        return self._pooled if request.idempotent else self._fresh

    async def run_completion(self, attempt: Attempt) -> AttemptEnd:
        """Run a completion, from where the record's events end.

        Parameters
        ----------
        attempt : Attempt
            Its record gains the events that arrive, its upstream is the
            engine. Whoever watches the attempt bounds its silence.

        Returns
        -------
        AttemptEnd
            How the attempt ended.
        """
        record, upstream = attempt.record, attempt.upstream
        request = record.request
        client = self._fresh if attempt.needs_new_connection else self._client(request)
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
                    return _refusal(response.status_code)
                attempt.has_answer_started = True
                return await _collect_events(attempt, response, self._clock)
        except _NOT_WRITTEN as error:
            return AttemptEnd(AttemptResult.NOT_RUN, _describe(error))
        except httpx.HTTPError as error:
            return AttemptEnd(AttemptResult.BROKEN, _describe(error))

    async def move_kv(
        self, run: RunId, source: KnownUpstream, target: KnownUpstream
    ) -> KvMoveResult:
        """Move a run's KV cache from one engine to another, which ends it there.

        Parameters
        ----------
        run : RunId
            The run.
        source, target : KnownUpstream
            The engines; the same one to go on over another connection.

        Returns
        -------
        KvMoveResult
            Whether the target has the cache, and whether the source answered.
        """
        address = source.record.address
        try:
            exported = await self._fresh.post(
                f"http://{address}/runs/{run}/export", timeout=MOVE_TIMEOUT_S
            )
        except httpx.HTTPError:
            return KvMoveResult.UNREACHABLE
        if exported.status_code != STATUS_OK:
            return KvMoveResult.NOT_MOVED
        address = target.record.address
        try:
            imported = await self._fresh.post(
                f"http://{address}/runs/import",
                content=exported.content,
                headers={"Content-Type": "application/json"},
                timeout=MOVE_TIMEOUT_S,
            )
        except httpx.HTTPError:
            return KvMoveResult.NOT_MOVED
        return KvMoveResult.MOVED if imported.is_success else KvMoveResult.NOT_MOVED

    async def has_crashed(self, upstream: KnownUpstream) -> bool:
        """Say whether an engine's process is gone while its host answers."""
        address = upstream.record.address
        try:
            await self._fresh.get(f"http://{address}/load", timeout=CONNECT_TIMEOUT_S)
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
            The service's process.

        Returns
        -------
        end : AttemptEnd
            How the attempt ended.
        outcome : Outcome or None
            The whole answer if there is one.
        """
        request = record.request
        limit = request.settings.max_answer_bytes
        try:
            async with self._client(request).stream(
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
                    return _refusal(response.status_code), None
                body = await _read_bounded(response, limit)
        except _NOT_WRITTEN as error:
            return AttemptEnd(AttemptResult.NOT_RUN, _describe(error)), None
        except httpx.HTTPError as error:
            return AttemptEnd(AttemptResult.BROKEN, _describe(error)), None
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
        The text; empty for an event without any.

    Examples
    --------
    >>> event_text(b'{"choices": [{"text": "ab"}]}')
    'ab'
    """
    chunk = msgspec.json.decode(payload, type=_Chunk)
    return "".join(one.text or one.delta.content or "" for one in chunk.choices)


async def _collect_events(
    attempt: Attempt, response: httpx.Response, clock: Clock
) -> AttemptEnd:
    record, gap = attempt.record, attempt.token_gap
    splitter = EventSplitter()
    async for chunk in response.aiter_raw():
        payloads = splitter.feed(chunk)
        if not payloads:
            continue
        gap.record_events(clock(), len(payloads))
        if payloads[-1] == DONE:
            record.add_events(payloads[:-1])
            return AttemptEnd(AttemptResult.FINISHED)
        record.add_events(payloads)
    return AttemptEnd(AttemptResult.BROKEN, "the stream ended before its last event")


async def _read_bounded(response: httpx.Response, limit: int) -> bytes | None:
    parts = []
    size = 0
    async for chunk in response.aiter_bytes():
        size += len(chunk)
        if size > limit:
            return None
        parts.append(chunk)
    return b"".join(parts)


def _refusal(status: int) -> AttemptEnd:
    if status in NOT_STARTED_STATUSES:
        return AttemptEnd(AttemptResult.NOT_RUN, f"the upstream refused: {status}")
    return AttemptEnd(AttemptResult.BROKEN, f"the upstream answered {status}")


def _describe(error: httpx.HTTPError) -> str:
    return f"{type(error).__name__}: {error}" if str(error) else type(error).__name__
