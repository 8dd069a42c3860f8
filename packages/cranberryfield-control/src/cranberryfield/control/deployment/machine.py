"""State machine that replicates the deployment with the highest version."""

import msgspec

from cranberryfield.core.messages.deployment import (
    DeclareDeployment,
    DeploymentDeclared,
)

__all__ = ["NO_VERSION", "DeploymentState", "apply_declaration"]

#: Version while no deployment has been declared.
NO_VERSION = -1


class DeploymentState(msgspec.Struct, array_like=True):
    """The deployment with the highest version declared so far.

    Attributes
    ----------
    version : int
        Version of the deployment.
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
        Changed in place if the declared version is higher than the present one.
    command : DeclareDeployment
        The declaration. A version that is not higher is ignored, whatever its
        content, so only the first of two concurrent declarations of a version
        takes effect.

    Returns
    -------
    DeploymentDeclared
        The version in force, and whether this declaration took effect.

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
