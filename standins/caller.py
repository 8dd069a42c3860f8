"""A caller that retries until the response is complete, as users' programs do."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import httpx
import msgspec

__all__ = ["CallerResponse", "call_service", "stream_completion"]

RETRY_DELAY_S = 0.1
TIMEOUT_S = 20.0
NON_RETRYABLE_KINDS = frozenset(
    {"outcome_unknown", "key_reused", "request_crashes_upstreams"}
)


@dataclass(slots=True)
class CallerResponse:
    """The part of a response that a caller has received.

    Attributes
    ----------
    text : str
        Text of the events received so far.
    events : int
        Number of the last event.
    last_id : str
        Id of the last event.
    is_complete : bool
        Whether the response is complete: ``[DONE]`` was received, or the body of
        a plain service's response.
    errors : list of str
        Error kinds and names of HTTP client errors received.
    status : int
        HTTP status of the last response.
    """

    text: str = ""
    events: int = 0
    last_id: str = "0"
    is_complete: bool = False
    errors: list[str] = field(default_factory=list)
    status: int = 0


async def stream_completion(
    hosts: list[str],
    workspace_key: str,
    request_key: str,
    body: dict,
    on_event: Callable[[CallerResponse], None] = lambda answer: None,
    headers: dict[str, str] | None = None,
    attempts: int = 100,
) -> CallerResponse:
    """Request a streamed completion, retrying at the next host after a failure.

    Parameters
    ----------
    hosts : list of str
        Entry hosts, tried in turn.
    workspace_key, request_key : str
        Key of the workspace and ``Idempotency-Key`` of the request.
    body : dict
        Body of the request; ``stream`` is added.
    on_event : callable
        Called after each event.
    headers : dict, optional
        Additional headers.
    attempts : int
        Maximum number of attempts; then a partial answer is returned.

    Returns
    -------
    CallerResponse
        The received answer.
    """
    answer = CallerResponse()
    async with httpx.AsyncClient(timeout=TIMEOUT_S, trust_env=False) as client:
        for attempt in range(attempts):
            host = hosts[attempt % len(hosts)]
            try:
                await _read_stream(
                    client, host, workspace_key, request_key, body, headers or {},
                    answer, on_event,
                )  # fmt: skip
            except httpx.HTTPError as error:
                answer.errors.append(type(error).__name__)
            if answer.is_complete or NON_RETRYABLE_KINDS & set(answer.errors):
                return answer
            await anyio.sleep(RETRY_DELAY_S)
    return answer


async def _read_stream(
    client: httpx.AsyncClient,
    host: str,
    workspace_key: str,
    request_key: str,
    body: dict,
    headers: dict[str, str],
    answer: CallerResponse,
    on_event: Callable[[CallerResponse], None],
) -> None:
    async with client.stream(
        "POST",
        f"http://{host}/v1/completions",
        json={**body, "stream": True},
        headers={
            "Authorization": f"Bearer {workspace_key}",
            "Idempotency-Key": request_key,
            "Last-Event-ID": answer.last_id,
            **headers,
        },
    ) as response:
        answer.status = response.status_code
        if response.is_error:
            answer.errors.append((await _read_problem(response))["kind"])
            return
        id, kind = "0", ""
        async for line in response.aiter_lines():
            name, _, value = line.partition(": ")
            if name == "id":
                id = value
            elif name == "event":
                kind = value
            elif name == "data":
                _process_event(answer, id, kind, value)
                on_event(answer)
                kind = ""


def _process_event(answer: CallerResponse, id: str, kind: str, data: str) -> None:
    if kind:
        answer.errors.append(msgspec.json.decode(data).get("kind", kind))
        return
    number = int(id.partition("-")[0])
    if number != answer.events + 1:
        raise AssertionError(f"received event {number} after event {answer.events}")
    if data == "[DONE]":
        answer.is_complete = True
        return
    answer.events = number
    answer.last_id = id
    answer.text += msgspec.json.decode(data)["choices"][0]["text"]


async def _read_problem(response: httpx.Response) -> dict:
    return msgspec.json.decode(await response.aread())


async def call_service(
    hosts: list[str],
    workspace_key: str,
    request_key: str,
    path: str,
    body: bytes,
    attempts: int = 100,
) -> CallerResponse:
    """Call a plain service until it responds or the call fails permanently.

    Parameters
    ----------
    hosts : list of str
        Entry hosts, tried in turn.
    workspace_key, request_key : str
        Key of the workspace and ``Idempotency-Key`` of the request.
    path : str
        Service and path, such as ``booking-app/slots``.
    body : bytes
        Body of the request.
    attempts : int
        Maximum number of attempts.

    Returns
    -------
    CallerResponse
        The received answer; `text` is the response body.
    """
    answer = CallerResponse()
    async with httpx.AsyncClient(timeout=TIMEOUT_S, trust_env=False) as client:
        for attempt in range(attempts):
            host = hosts[attempt % len(hosts)]
            try:
                response = await client.post(
                    f"http://{host}/services/{path}",
                    content=body,
                    headers={
                        "Authorization": f"Bearer {workspace_key}",
                        "Idempotency-Key": request_key,
                    },
                )
            except httpx.HTTPError as error:
                answer.errors.append(type(error).__name__)
                await anyio.sleep(RETRY_DELAY_S)
                continue
            answer.status = response.status_code
            if response.is_success:
                answer.text = response.text
                answer.is_complete = True
                return answer
            answer.errors.append(response.json()["kind"])
            if answer.errors[-1] in NON_RETRYABLE_KINDS:
                return answer
            await anyio.sleep(RETRY_DELAY_S)
    return answer
