"""Fingerprints, which recognise a request that its caller sends again."""

from hashlib import blake2b

from cranberryfield.core.ids import WorkspaceId

__all__ = ["body_digest", "request_fingerprint"]

DIGEST_BYTES = 16


def body_digest(method: str, path: str, body: bytes) -> bytes:
    """Return a digest of the content of a request.

    Parameters
    ----------
    method, path : str
        Method and path of the request.
    body : bytes
        Body of the request.

    Returns
    -------
    bytes
        Digest of 16 bytes.
    """
    hasher = blake2b(digest_size=DIGEST_BYTES)
    hasher.update(f"{method} {path}\n".encode())
    hasher.update(body)
    return hasher.digest()


def request_fingerprint(workspace: WorkspaceId | None, digest: bytes) -> bytes:
    """Return a 16-byte digest that a request keeps under another id or key.

    Parameters
    ----------
    workspace : WorkspaceId or None
        Workspace of the caller; None if the request needs none.
    digest : bytes
        Content of the request, from `body_digest`.
    """
    hasher = blake2b(digest_size=DIGEST_BYTES)
    hasher.update(f"{workspace}\n".encode())
    hasher.update(digest)
    return hasher.digest()
