"""Applies declarations of a whole deployment: the highest version wins."""

import msgspec

from cranberryfield.core.messages.deployment import (
    DeclareDeployment,
    DeploymentDeclared,
)

__all__ = ["NO_VERSION", "DeploymentState", "apply_declaration"]

#: Version of a group to which no deployment was declared yet.
NO_VERSION = -1


class DeploymentState(msgspec.Struct, array_like=True):
    """The deployment with the highest version declared so far.

    Attributes
    ----------
    version : int
        Its version.
    content : bytes
        The encoded deployment.
    """

    version: int = NO_VERSION
    content: bytes = b""


def apply_declaration(
    state: DeploymentState, command: DeclareDeployment
) -> DeploymentDeclared:
    """Apply a committed declaration.

    Parameters
    ----------
    state : DeploymentState
        Changed in place if the version is higher than the one held.
    command : DeclareDeployment
        The declaration. One whose version is held already changes nothing,
        whatever its content, so that of two that race one alone is in force.

    Returns
    -------
    DeploymentDeclared
        The highest version after it.

    Examples
    --------
    >>> state = DeploymentState()
    >>> apply_declaration(state, DeclareDeployment(7, b"a")).took_effect
    True
    >>> apply_declaration(state, DeclareDeployment(7, b"b")).took_effect
    False
    >>> state.content
    b'a'
    """
    is_newer = command.version > state.version
    if is_newer:
        state.version, state.content = command.version, command.content
    return DeploymentDeclared(state.version, is_newer)
