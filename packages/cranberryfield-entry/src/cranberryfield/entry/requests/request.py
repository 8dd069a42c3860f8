"""A request accepted from a caller."""

from dataclasses import dataclass

from cranberryfield.core.ids import RequestKey, RunId, ServiceName, WorkspaceId
from cranberryfield.core.settings import EffectiveSettings

__all__ = ["Request"]


@dataclass(frozen=True, slots=True)
class Request:
    """Immutable description of an accepted request.

    Attributes
    ----------
    workspace, service : str
        Workspace that sent the request and the service it calls.
    key : RequestKey
        Idempotency key of the caller, or a generated one if it sent none.
    has_caller_key : bool
        Whether the caller sent the key and so can repeat the request.
    run : RunId
        Identifier of the run on upstreams; the same for every attempt.
    idempotent : bool
        Whether the request may run more than once.
    method, path, content_type : str
        Method, path and content type sent to the upstream.
    body, digest : bytes
        The body, and its digest from `body_digest`.
    priority : str
        Priority class of the request.
    deadline : float
        Monotonic time in seconds after which the answer is no longer needed.
    settings : EffectiveSettings
        The settings in force at acceptance.
    """

    workspace: WorkspaceId
    service: ServiceName
    key: RequestKey
    has_caller_key: bool
    run: RunId
    idempotent: bool
    method: str
    path: str
    content_type: str
    body: bytes
    digest: bytes
    priority: str
    deadline: float
    settings: EffectiveSettings
