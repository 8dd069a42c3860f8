"""Which workspace a caller's key belongs to."""

from starlette.requests import Request as HttpRequest

from cranberryfield.core.errors import CallerError, ErrorKind
from cranberryfield.core.http import given_digest, key_matches
from cranberryfield.core.ids import WorkspaceId
from cranberryfield.core.settings import LevelKind, SettingsTree, parse_level

__all__ = ["workspace_of_key"]


def workspace_of_key(request: HttpRequest, tree: SettingsTree) -> WorkspaceId:
    """Return the workspace whose key a request carries.

    Parameters
    ----------
    request : starlette.requests.Request
        The request.
    tree : SettingsTree
        The settings in force.

    Returns
    -------
    WorkspaceId
        The workspace.

    Raises
    ------
    CallerError
        Of kind ``unauthenticated``.
    """
    given = given_digest(request)
    found = None
    for name, state in tree.levels.items():
        level = parse_level(name)
        if level.kind is not LevelKind.WORKSPACE:
            continue
        if key_matches(given, state.values.get("key_hashes", ())):
            found = level.workspace
    if found is None:
        raise CallerError(ErrorKind.UNAUTHENTICATED, "the key is not accepted here")
    return found
