"""Callers that retry a request until a final answer and record each attempt."""

import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

import httpx
import msgspec

from standins.fleets import RELEVE_KEY
from standins.tokens import CompletionRequest, completion_text
from tests.matrix.transcripts import Attempt, AttemptEnd, Transcript

__all__ = ["Caller", "RequestKind", "expected_text"]

RETRY_PAUSE_S = 0.1
CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 4.0
DEFAULT_TOKENS = 60
FINAL_ERROR_KINDS = frozenset(
    {
        "bad_request",
        "key_expired",
        "key_reused",
        "outcome_unknown",
        "request_crashes_upstreams",
        "unauthenticated",
    }
)


class RequestKind(Enum):
    """Kind of request; each kind is sent to a service of its own.

    Kinds ending in ``_ONCE`` and ``BOOKING`` are not idempotent.
    """

    STREAMED = "streamed"
    PLAIN = "plain"
    STREAMED_ONCE = "streamed-once"
    PLAIN_ONCE = "plain-once"
    LOOKUP = "lookup"
    BOOKING = "booking"

    @property
    def is_completion(self) -> bool:
        """Whether the request is a completion, which an engine runs."""
        return self not in (RequestKind.LOOKUP, RequestKind.BOOKING)

    @property
    def is_streamed(self) -> bool:
        """Whether the answer is streamed as events."""
        return self in (RequestKind.STREAMED, RequestKind.STREAMED_ONCE)

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be run more than once."""
        return self in (RequestKind.STREAMED, RequestKind.PLAIN, RequestKind.LOOKUP)

    @property
    def service(self) -> str:
        """Name of the service that receives requests of this kind."""
        return f"for-{self.value}"


def _prompt(key: str) -> str:
    return f"{key} a crack in the wall"


def expected_text(kind: RequestKind, key: str, tokens: int = DEFAULT_TOKENS) -> str:
    """Return the text of the only correct answer: a completion, or an echoed body."""
    if not kind.is_completion:
        return _prompt(key)
    return completion_text(
        CompletionRequest(kind.service, _prompt(key), max_tokens=tokens)
    )


@dataclass(slots=True)
class Caller:
    """Caller that sends one request, with retries, in its own thread.

    Attributes
    ----------
    kind : RequestKind
        Kind of the request.
    key : str
        Idempotency key of the request.
    hosts : dict
        Addresses by name of entry host, tried in this order.
    crash : bool
        Whether the request crashes the engine that runs it.
    prompt_key : str
        Key from which the prompt is made; empty for the caller's own key.
    tokens : int
        Length of a completion in tokens.
    read_timeout_s : float
        Longest wait for data from a host, in seconds.
    """

    kind: RequestKind
    key: str
    hosts: dict[str, str]
    crash: bool = False
    prompt_key: str = ""
    tokens: int = DEFAULT_TOKENS
    read_timeout_s: float = READ_TIMEOUT_S
    transcript: Transcript = field(init=False)
    _last_id: str = ""
    _thread: threading.Thread = field(init=False)
    _stopped: threading.Event = field(default_factory=threading.Event)

    def __post_init__(self):
        self.transcript = Transcript(
            self.key,
            self.kind.is_idempotent,
            expected_text(self.kind, self.prompt_key or self.key, self.tokens),
        )
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sending the request."""
        self._thread.start()

    def join(self, timeout_s: float) -> None:
        """Wait for the final answer, without stopping retries at the timeout."""
        self._thread.join(timeout_s)

    def finish(self, timeout_s: float) -> None:
        """Wait for the final answer, and stop retrying at the timeout."""
        self._thread.join(timeout_s)
        self._stopped.set()
        self._thread.join(self.read_timeout_s + CONNECT_TIMEOUT_S)

    @property
    def is_done(self) -> bool:
        """Whether the caller has its final answer or has stopped retrying."""
        return not self._thread.is_alive()

    def _run(self) -> None:
        timeout = httpx.Timeout(self.read_timeout_s, connect=CONNECT_TIMEOUT_S)
        with httpx.Client(timeout=timeout, trust_env=False) as client:
            for node, address in self._hosts_in_turn():
                attempt = Attempt(node, time.time_ns())
                self.transcript.attempts.append(attempt)
                self._send_attempt(client, address, attempt)
                attempt.ended_ns = time.time_ns()
                if self.transcript.is_whole or attempt.kind in FINAL_ERROR_KINDS:
                    return
                if self._stopped.wait(RETRY_PAUSE_S):
                    return

    def _hosts_in_turn(self) -> Iterator[tuple[str, str]]:
        while True:
            yield from self.hosts.items()

    def _send_attempt(
        self, client: httpx.Client, address: str, attempt: Attempt
    ) -> None:
        try:
            if self.kind.is_streamed:
                self._send_streamed(client, address, attempt)
            else:
                self._send_plain(client, address, attempt)
        except httpx.HTTPError as error:
            attempt.end = AttemptEnd.CUT
            attempt.error = type(error).__name__

    def _url(self, address: str) -> str:
        if self.kind.is_completion:
            return f"http://{address}/v1/completions"
        return f"http://{address}/services/{self.kind.service}/slots"

    def _headers(self) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {RELEVE_KEY}",
            "Idempotency-Key": self.key,
        }

    def _body(self) -> bytes:
        if not self.kind.is_completion:
            return _prompt(self.prompt_key or self.key).encode()
        request = CompletionRequest(
            self.kind.service,
            _prompt(self.prompt_key or self.key),
            max_tokens=self.tokens,
            stream=self.kind.is_streamed,
            crash=self.crash,
        )
        return msgspec.json.encode(request)

    def _send_plain(self, client: httpx.Client, address: str, attempt: Attempt) -> None:
        response = client.post(
            self._url(address), content=self._body(), headers=self._headers()
        )
        attempt.status = response.status_code
        if response.is_error:
            _record_refusal(attempt, response)
            return
        body = response.json()
        completion = self.kind.is_completion
        self.transcript.text = (
            body["choices"][0]["text"] if completion else body["echo"]
        )
        self.transcript.is_whole = True
        attempt.end = AttemptEnd.WHOLE

    def _send_streamed(
        self, client: httpx.Client, address: str, attempt: Attempt
    ) -> None:
        headers = self._headers()
        if self._last_id:
            headers["Last-Event-ID"] = self._last_id
        with client.stream(
            "POST", self._url(address), content=self._body(), headers=headers
        ) as response:
            attempt.status = response.status_code
            if response.is_error:
                response.read()
                _record_refusal(attempt, response)
                return
            id, event = "", ""
            for line in response.iter_lines():
                name, _, value = line.partition(": ")
                if name == "id":
                    id = value
                elif name == "event":
                    event = value
                elif name == "data":
                    self._record_event(id, event, value, attempt)
                    event = ""
        if attempt.end is AttemptEnd.OPEN:
            attempt.end = AttemptEnd.CUT
            attempt.error = "stream ended before the end of the answer"

    def _record_event(self, id: str, event: str, data: str, attempt: Attempt) -> None:
        transcript = self.transcript
        if event:
            problem = msgspec.json.decode(data)
            attempt.kind = problem.get("kind", event)
            attempt.was_run = problem.get("was_run", "")
            attempt.end = AttemptEnd.REFUSED if event == "error" else AttemptEnd.MOVED
            return
        if id == self._last_id:
            transcript.violations.append(f"event {id!r} received twice")
        self._last_id = id
        if data == "[DONE]":
            transcript.is_whole = True
            attempt.end = AttemptEnd.WHOLE
            return
        transcript.events += 1
        transcript.event_ns.append(time.time_ns())
        transcript.text += msgspec.json.decode(data)["choices"][0]["text"]


def _record_refusal(attempt: Attempt, response: httpx.Response) -> None:
    attempt.end = AttemptEnd.REFUSED
    attempt.retry_after = response.headers.get("Retry-After", "")
    try:
        problem = response.json()
    except ValueError:
        attempt.kind = f"status {response.status_code}"
        return
    attempt.kind = problem.get("kind", "")
    attempt.was_run = problem.get("was_run", "")
