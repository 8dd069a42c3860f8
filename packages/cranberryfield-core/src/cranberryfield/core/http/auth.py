"""Bearer keys: stored as digests, compared in constant time."""

from collections.abc import Iterable
from hashlib import sha256
from hmac import compare_digest

from starlette.requests import Request as HttpRequest

from cranberryfield.core.errors import CallerError, ErrorKind

__all__ = ["given_digest", "key_digest", "key_matches", "require_key"]

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


def given_digest(request: HttpRequest) -> str:
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
        Of kind ``unauthenticated`` if it carries none.
    """
    header = request.headers.get("Authorization", "")
    if not header.startswith(_SCHEME):
        raise CallerError(
            ErrorKind.UNAUTHENTICATED, "the header Authorization: Bearer is missing"
        )
    return key_digest(header.removeprefix(_SCHEME).strip())


def key_matches(given: str, digests: Iterable[str]) -> bool:
    """Compare a digest with each accepted one, in constant time.

    Parameters
    ----------
    given : str
        Digest of the key that was given.
    digests : iterable of str
        Digests of the accepted keys.

    Returns
    -------
    bool
        Whether it is among them.
    """
    found = False
    for digest in digests:
        found |= compare_digest(given, digest)
    return found


def require_key(request: HttpRequest, digests: Iterable[str]) -> None:
    """Refuse a request that carries none of the accepted keys.

    Parameters
    ----------
    request : starlette.requests.Request
        The request.
    digests : iterable of str
        Digests of the accepted keys.

    Raises
    ------
    CallerError
        Of kind ``unauthenticated``.
    """
    if not key_matches(given_digest(request), digests):
        raise CallerError(ErrorKind.UNAUTHENTICATED, "the key is not accepted here")
