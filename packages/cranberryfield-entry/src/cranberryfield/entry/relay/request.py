"""A request to relay, and the codec for headers exchanged with upstreams."""

from collections.abc import Callable, Container
from dataclasses import dataclass

from cranberryfield.core.deployment import Route, WorkspaceSpec
from cranberryfield.core.http1.message import Headers, RequestHead, ResponseHead
from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.quarantine import body_digest, request_fingerprint
from cranberryfield.entry.relay.stated_loads import StatedLoad

__all__ = [
    "PromptPart",
    "RelayRequest",
    "ResponseMetadata",
    "UpstreamCodec",
    "uncached_prompt_tokens",
]

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt that other requests may share, with its token count."""

    id: str
    tokens: int


@dataclass(slots=True)
class RelayRequest:
    """A caller's request.

    Attributes
    ----------
    id : str
        Unique id, given by the caller.
    head : RequestHead
        Method, target and the headers that are forwarded unchanged.
    body : bytes
        The body.
    route : Route
        Route that the request matched.
    service : ServiceName
        Service chosen among those of the route.
    workspace : WorkspaceSpec or None
        Workspace of the caller's key; None on a public route.
    arrived_at, deadline : float
        Monotonic time in seconds of its arrival, and by which it must be
        answered.
    prompt_parts : tuple of PromptPart
        The prompt's shared parts, in order.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and maximum number of tokens to generate.
    last_event_id : str or None
        Id of the last event that the caller received from an earlier request.
    first_request : str or None
        Id of the earlier request whose response had the first event of the stream.
    is_ordered_by_cost : bool
        Whether it yields to others of its rank once its target has passed.
    """

    id: str
    head: RequestHead
    body: bytes
    route: Route
    service: ServiceName
    workspace: WorkspaceSpec | None
    arrived_at: float
    deadline: float
    prompt_parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: str | None = None
    first_request: str | None = None
    is_ordered_by_cost: bool = False

    @property
    def target_at(self) -> float:
        """Monotonic time in seconds by which its caller wants the answer."""
        return self.arrived_at + self.route.target_ms / MS_PER_S

    @property
    def rank(self) -> int:
        """Priority rank; 0 is the most urgent."""
        if self.workspace is not None and self.workspace.rank is not None:
            return self.workspace.rank
        return self.route.rank

    @property
    def fingerprint(self) -> bytes:
        """Digest that the request keeps when its caller sends it under another id."""
        method = self.head.method.decode("latin-1")
        target = self.head.target.decode("latin-1")
        workspace = self.workspace.name if self.workspace is not None else None
        return request_fingerprint(workspace, body_digest(method, target, self.body))

    @property
    def quota_cost(self) -> float:
        """Amount charged to the workspace's quota: 1, or tokens if it counts them."""
        workspace = self.workspace
        if workspace is None or not workspace.counts_tokens:
            return 1.0
        return float(
            self.prompt_tokens + self.output_tokens or workspace.default_tokens
        )

    @property
    def affinity_key(self) -> str | None:
        """Id shared by requests that have most of their prompt in common.

        This is the last part but one, as the last part belongs to the single
        request or session.
        """
        if not self.prompt_parts:
            return None
        return self.prompt_parts[max(0, len(self.prompt_parts) - 2)].id


def uncached_prompt_tokens(request: RelayRequest, cached_parts: Container[str]) -> int:
    """Return the number of prompt tokens that an upstream has to prefill.

    Parameters
    ----------
    request : RelayRequest
        The request.
    cached_parts : container of str
        Ids of the prompt parts that the upstream has cached. Parts after the
        first missing one have to be prefilled again.

    Examples
    --------
    >>> from types import SimpleNamespace
    >>> prompt = (PromptPart("a", 100), PromptPart("b", 200))
    >>> request = SimpleNamespace(prompt_parts=prompt, prompt_tokens=1_000)
    >>> [uncached_prompt_tokens(request, parts) for parts in ("", "a", "ab", "b")]
    [1000, 900, 700, 1000]
    """
    left = request.prompt_tokens
    for part in request.prompt_parts:
        if part.id not in cached_parts:
            break
        left -= part.tokens
    return max(0, left)


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata from the headers of an upstream's response.

    Attributes
    ----------
    not_run : bool
        Whether the upstream guarantees that it has not run the request.
    is_misdirected : bool
        Whether another upstream responded at the address.
    request_id : str or None
        Id of the request that the response belongs to, if given.
    is_signed : bool
        Whether the response is marked as coming from an upstream.
    limit_per_s : float or None
        Requests per second that the upstream takes from all hosts together, if it
        states a limit.
    is_leaving : bool
        Whether the upstream says that it leaves.
    pause_s : float or None
        Time in seconds for which it wants no requests from this host, if it has
        refused one and gives a time.
    tolerated_refusals_per_s : float or None
        Requests per second that the upstream can refuse for want of room without
        failing, if it says that it is brittle.
    load : StatedLoad or None
        Load of the upstream, if it states it.
    invalid_fields : tuple of (str, str)
        Name and value of each statement that cannot be read.
    """

    not_run: bool = False
    is_misdirected: bool = False
    request_id: str | None = None
    is_signed: bool = False
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    tolerated_refusals_per_s: float | None = None
    load: StatedLoad | None = None
    invalid_fields: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamCodec:
    """Codec for the headers that are exchanged with upstreams.

    Attributes
    ----------
    encode : callable
        Returns the headers of an attempt: takes the request, the upstream, the
        time left in milliseconds, and the id of the last event that the caller
        received.
    decode : callable
        Returns the `ResponseMetadata` of a response head.
    """

    encode: Callable[[RelayRequest, UpstreamRecord, int, str | None], Headers]
    decode: Callable[[ResponseHead], ResponseMetadata]
