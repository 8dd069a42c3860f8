"""Authentication by bearer keys, which are stored as digests."""

from collections.abc import Iterable
from hashlib import sha256
from hmac import compare_digest

from starlette.requests import Request as HttpRequest

from cranberryfield.core.errors import CallerError, ErrorKind

__all__ = ["bearer_digest", "key_digest", "key_matches", "require_key"]

_SCHEME = "Bearer "


def key_digest(key: str) -> str:
    """Return the digest under which a key is stored.

    Parameters
    ----------
    key : str
        The key.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    return sha256(key.encode()).hexdigest()


def bearer_digest(request: HttpRequest) -> str:
    """Return the digest of the bearer key that a request carries.

    Parameters
    ----------
    request : starlette.requests.Request
        The request.

    Returns
    -------
    str
        SHA-256 in hexadecimal.

    Raises
    ------
    CallerError
        Of kind ``unauthenticated`` if the request carries no bearer key.
    """
    header = request.headers.get("Authorization", "")
    if not header.startswith(_SCHEME):
        raise CallerError(
            ErrorKind.UNAUTHENTICATED, "the Authorization: Bearer header is missing"
        )
    return key_digest(header.removeprefix(_SCHEME).strip())


def key_matches(given: str, digests: Iterable[str]) -> bool:
    """Return whether a digest is accepted, comparing in constant time.

    Parameters
    ----------
    given : str
        Digest of the key to check.
    digests : iterable of str
        Digests of the accepted keys.

    Returns
    -------
    bool
        Whether `given` is among `digests`.
    """
    matches = False
    for digest in digests:
        matches |= compare_digest(given, digest)
    return matches


def require_key(request: HttpRequest, digests: Iterable[str]) -> None:
    """Raise an error unless a request carries one of the accepted keys.

    Parameters
    ----------
    request : starlette.requests.Request
        The request.
    digests : iterable of str
        Digests of the accepted keys.

    Raises
    ------
    CallerError
        Of kind ``unauthenticated`` if the key is missing or not accepted.
    """
    if not key_matches(bearer_digest(request), digests):
        raise CallerError(
            ErrorKind.UNAUTHENTICATED, "the bearer key is not valid for this endpoint"
        )
