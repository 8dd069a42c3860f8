"""One request as accepted from a caller."""

from dataclasses import dataclass
from hashlib import blake2b

from cranberryfield.core.ids import RequestKey, RunId, ServiceName, WorkspaceId
from cranberryfield.core.settings import EffectiveSettings

__all__ = ["Request", "body_digest"]

DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Request:
    """All that is known of a request before it runs.

    Attributes
    ----------
    workspace, service : str
        Whose request it is and what it asks for.
    key : RequestKey
        The caller's key, or one made here if it gave none.
    has_caller_key : bool
        Whether the caller can name the request again.
    run : RunId
        Names the run on upstreams; the same for every attempt.
    idempotent : bool
        Whether it may run more than once.
    method, path, content_type : str
        What the upstream is to be sent.
    body, digest : bytes
        The body and its digest.
    priority : str
        Class of the request.
    deadline : float
        Monotonic time in seconds after which nobody waits for the answer.
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


def body_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the digest by which two bodies under one key are compared.

    Parameters
    ----------
    method, path : str
        Method and path of the request.
    body : bytes
        The body.

    Returns
    -------
    bytes
        16 bytes.
    """
    hasher = blake2b(digest_size=DIGEST_BYTES)
    hasher.update(f"{method} {path}\n".encode())
    hasher.update(body)
    return hasher.digest()
