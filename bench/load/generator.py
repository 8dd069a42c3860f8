"""Open-loop generator: sends requests on schedule, regardless of earlier ones.

Latency is measured from the intended arrival, so that it includes stalls of the
generator and of the system (no coordinated omission). Refused callers retry after
the time given by ``Retry-After``.
"""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import httpx
import msgspec

from bench.load.arrivals import Arrival

__all__ = ["RequestResult", "Target", "send_all"]

TIMEOUT_S = 10.0
DEFAULT_RETRY_DELAY_S = 0.2
DRAIN_S = 5.0
#: Statuses that end the retries of a caller unless ``Retry-After`` is sent.
FINAL_STATUSES = frozenset({400, 401, 404, 409, 422})


@dataclass(slots=True)
class RequestResult:
    """Outcome of one request; times in seconds from the start of the run.

    Attributes
    ----------
    arrival : Arrival
        Planned request.
    first_token_at_s : float or None
        Time of the first token.
    gaps_s : list of float
        Intervals between consecutive tokens, in seconds.
    completed_at_s : float or None
        Time at which the response was complete.
    tokens : int
        Number of tokens received.
    refusals : Counter
        Number of refusals, connection errors and stream errors, by kind.
    refusal_latencies_s : list of float
        Time from the attempt to its refusal, for each refusal, in seconds.
    """

    arrival: Arrival
    first_token_at_s: float | None = None
    gaps_s: list[float] = field(default_factory=list)
    completed_at_s: float | None = None
    tokens: int = 0
    refusals: Counter = field(default_factory=Counter)
    refusal_latencies_s: list[float] = field(default_factory=list)
    _last_event_id: str = ""
    _last_token_at_s: float | None = None

    @property
    def first_token_latency_s(self) -> float | None:
        """Seconds from the intended arrival to the first token."""
        return (
            None
            if self.first_token_at_s is None
            else self.first_token_at_s - self.arrival.at_s
        )

    def record_token(self, now_s: float) -> None:
        """Record the arrival of one token."""
        if self.first_token_at_s is None:
            self.first_token_at_s = now_s
        if self._last_token_at_s is not None:
            self.gaps_s.append(now_s - self._last_token_at_s)
        self._last_token_at_s = now_s
        self.tokens += 1


@dataclass(frozen=True, slots=True)
class Target:
    """Functions that map a request to its hosts, headers and path.

    Attributes
    ----------
    hosts : callable
        Returns the addresses to try for a request, in rotation.
    headers : callable
        Returns the headers of a request.
    path : callable
        Returns the path of a request.
    """

    hosts: Callable[[Arrival], list[str]]
    headers: Callable[[Arrival], dict[str, str]]
    path: Callable[[Arrival], str]


async def send_all(arrivals: list[Arrival], target: Target) -> list[RequestResult]:
    """Send all requests at their intended times and return the outcomes.

    Parameters
    ----------
    arrivals : list of Arrival
        Planned requests, sorted by time.
    target : Target
        Destination of the requests.

    Returns
    -------
    list of RequestResult
        Outcomes in the order of `arrivals`. Requests that are incomplete
        `DRAIN_S` seconds after the last arrival are cancelled and have no
        completion time.
    """
    results = [RequestResult(arrival) for arrival in arrivals]
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=512)
    started = time.monotonic()
    async with httpx.AsyncClient(
        timeout=TIMEOUT_S, limits=limits, trust_env=False
    ) as client:
        with anyio.move_on_after(arrivals[-1].at_s + DRAIN_S):
            async with anyio.create_task_group() as tasks:
                for result in results:
                    at = started + result.arrival.at_s
                    await anyio.sleep(max(0.0, at - time.monotonic()))
                    tasks.start_soon(
                        _send_until_complete, client, target, result, started
                    )
    return results


async def _send_until_complete(
    client: httpx.AsyncClient, target: Target, result: RequestResult, started: float
) -> None:
    arrival = result.arrival
    host_index = arrival.number
    while result.completed_at_s is None:
        hosts = target.hosts(arrival)
        host = hosts[host_index % len(hosts)]
        host_index += 1
        retry_delay_s = DEFAULT_RETRY_DELAY_S
        try:
            retry_delay_s = await _send_attempt(client, target, host, result, started)
        except httpx.HTTPError as error:
            result.refusals[type(error).__name__] += 1
        if retry_delay_s is None:
            return
        if result.completed_at_s is None:
            await anyio.sleep(retry_delay_s)


async def _send_attempt(
    client: httpx.AsyncClient,
    target: Target,
    host: str,
    result: RequestResult,
    started: float,
) -> float | None:
    """Send one attempt; return the delay before the next, or None for no retry."""
    arrival = result.arrival
    headers = target.headers(arrival)
    if result._last_event_id:
        headers["Last-Event-ID"] = result._last_event_id
    attempted_at = time.monotonic()
    async with client.stream(
        "POST", f"http://{host}{target.path(arrival)}", content=_body(arrival),
        headers=headers,
    ) as response:  # fmt: skip
        if response.is_error:
            result.refusal_latencies_s.append(time.monotonic() - attempted_at)
            return await _record_refusal(response, result)
        if not arrival.service.model:
            await response.aread()
            result.record_token(time.monotonic() - started)
            result.completed_at_s = result.first_token_at_s
            return 0.0
        async for line in response.aiter_lines():
            _parse_line(line, result, time.monotonic() - started)
    return DEFAULT_RETRY_DELAY_S


def _body(arrival: Arrival) -> bytes:
    if not arrival.service.model:
        return arrival.prompt.encode()
    return msgspec.json.encode(
        {
            "model": arrival.service.name,
            "prompt": arrival.prompt,
            "max_tokens": arrival.tokens,
            "seed": arrival.number,
            "stream": True,
        }
    )


def _parse_line(line: str, result: RequestResult, now_s: float) -> None:
    if line.startswith("id: "):
        result._last_event_id = line.removeprefix("id: ")
    elif line == "data: [DONE]":
        result.completed_at_s = now_s
    elif line.startswith("event: "):
        result.refusals[f"event {line.removeprefix('event: ')}"] += 1
    elif line.startswith("data: ") and '"text":"' in line and '"text":""' not in line:
        result.record_token(now_s)


async def _record_refusal(
    response: httpx.Response, result: RequestResult
) -> float | None:
    """Record a refusal; return the delay before a retry, or None for no retry."""
    await response.aread()
    try:
        kind = response.json().get("kind", "")
    except ValueError:
        kind = f"status {response.status_code}"
    result.refusals[kind] += 1
    retry_after = response.headers.get("Retry-After")
    if retry_after is None and response.status_code in FINAL_STATUSES:
        return None
    return float(retry_after) if retry_after else DEFAULT_RETRY_DELAY_S
