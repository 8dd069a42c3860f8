"""What the relay knows of a request, and how upstreams are spoken to."""

from collections.abc import Callable, Container
from dataclasses import dataclass

from cranberryfield.core.deployment import Route, WorkspaceSpec
from cranberryfield.core.http1.message import Headers, RequestHead, ResponseHead
from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.membership import UpstreamRecord

__all__ = [
    "AnswerFacts",
    "PromptPart",
    "RelayRequest",
    "UpstreamDialect",
    "prefill_left",
]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share, and its tokens."""

    id: str
    tokens: int


@dataclass(slots=True)
class RelayRequest:
    """One request of a caller.

    Attributes
    ----------
    id : str
        The caller's name for it, unique.
    head : RequestHead
        Method, target and the headers that are passed on as they came.
    body : bytes
        The body.
    route : Route
        The route that it is on.
    service : ServiceName
        Service chosen among those of the route.
    workspace : WorkspaceSpec or None
        Whose key it carries; None on a public route.
    arrived_at, deadline : float
        Monotonic time in seconds at which it had come and at which it must
        have been answered.
    prompt : tuple of PromptPart
        The prompt's shared parts, in order.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and most tokens that it may generate.
    last_event : str or None
        Id of the last event that the caller has from an earlier request.
    """

    id: str
    head: RequestHead
    body: bytes
    route: Route
    service: ServiceName
    workspace: WorkspaceSpec | None
    arrived_at: float
    deadline: float
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event: str | None = None

    @property
    def rank(self) -> int:
        """Urgency; 0 is the most urgent."""
        if self.workspace is not None and self.workspace.rank is not None:
            return self.workspace.rank
        return self.route.rank

    @property
    def quota_cost(self) -> float:
        """What the request counts against its workspace's quota."""
        workspace = self.workspace
        if workspace is None or not workspace.counts_tokens:
            return 1.0
        return float(
            self.prompt_tokens + self.output_tokens or workspace.default_tokens
        )

    @property
    def affinity(self) -> str | None:
        """What requests that share most of their prompt have in common.

        The last part is the request's own, or its session's.
        """
        if not self.prompt:
            return None
        return self.prompt[max(0, len(self.prompt) - 2)].id


def prefill_left(request: RelayRequest, parts: Container[str]) -> int:
    """Return the prompt tokens that an upstream will have to read.

    Parameters
    ----------
    request : RelayRequest
        The request.
    parts : container of str
        Ids of the prompt parts that the upstream has. Parts after the first
        one that it lacks have to be read again.

    Examples
    --------
    >>> from types import SimpleNamespace
    >>> prompt = (PromptPart("a", 100), PromptPart("b", 200))
    >>> request = SimpleNamespace(prompt=prompt, prompt_tokens=1_000)
    >>> [prefill_left(request, parts) for parts in ("", "a", "ab", "b")]
    [1000, 900, 700, 1000]
    """
    left = request.prompt_tokens
    for part in request.prompt:
        if part.id not in parts:
            break
        left -= part.tokens
    return max(0, left)


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What an upstream's response says beside its status.

    Attributes
    ----------
    not_run : bool
        Whether the upstream vouches that it has not run the request.
    is_misdirected : bool
        Whether another upstream answers at the address.
    request_id : str or None
        Id of the request that the response belongs to, if it says so.
    is_signed : bool
        Whether an upstream has vouched for the response as its own.
    """

    not_run: bool = False
    is_misdirected: bool = False
    request_id: str | None = None
    is_signed: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamDialect:
    """How requests are handed to upstreams, and their responses read.

    Attributes
    ----------
    encode : callable
        Returns the headers of an attempt: takes the request, the upstream, the
        time left in milliseconds, and the id of the last event that the caller
        has.
    read : callable
        Returns the `AnswerFacts` of a response.
    """

    encode: Callable[[RelayRequest, UpstreamRecord, int, str | None], Headers]
    read: Callable[[ResponseHead], AnswerFacts]
