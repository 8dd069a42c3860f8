"""Authentication of callers by the API keys of workspaces."""

from starlette.requests import Request as HttpRequest

from cranberryfield.core.errors import CallerError, ErrorKind
from cranberryfield.core.http import bearer_digest, key_matches
from cranberryfield.core.ids import WorkspaceId
from cranberryfield.core.settings import LevelKind, SettingsTree, parse_level

__all__ = ["authenticate_workspace"]


def authenticate_workspace(request: HttpRequest, tree: SettingsTree) -> WorkspaceId:
    """Return the workspace of the API key in a request.

    Parameters
    ----------
    request : starlette.requests.Request
        HTTP request.
    tree : SettingsTree
        Settings in force.

    Returns
    -------
    WorkspaceId
        Workspace that the key belongs to.

    Raises
    ------
    CallerError
        Of kind ``unauthenticated`` if the key is missing or unknown.
    """
    given = bearer_digest(request)
    found = None
    for name, state in tree.levels.items():
        level = parse_level(name)
        if level.kind is not LevelKind.WORKSPACE:
            continue
        if key_matches(given, state.values.get("key_hashes", ())):
            found = level.workspace
    if found is None:
        raise CallerError(
            ErrorKind.UNAUTHENTICATED, "the key is missing or belongs to no workspace"
        )
    return found
