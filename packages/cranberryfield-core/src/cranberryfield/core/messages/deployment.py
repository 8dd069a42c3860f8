"""Messages about the declared deployment and the hosts that follow it."""

from cranberryfield.core.ids import NodeId
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = [
    "AskControlHosts",
    "AskDeploymentPart",
    "ControlHost",
    "ControlHosts",
    "DeclareDeployment",
    "DeploymentDeclared",
    "DeploymentPart",
    "DeploymentTransfer",
    "DeploymentView",
    "FollowDeployment",
    "ReadDeployment",
]


class DeclareDeployment(Message):
    """Puts a whole deployment in force if its version is the highest.

    Attributes
    ----------
    version : int
        Version number that the operator assigned.
    content : bytes
        The encoded deployment.
    """

    version: int
    content: bytes


class DeploymentDeclared(Message):
    """Result of a `DeclareDeployment`.

    Attributes
    ----------
    version : int
        The highest version declared so far.
    took_effect : bool
        Whether the command changed anything.
    """

    version: int
    took_effect: bool


class FollowDeployment(Message):
    """Requests the deployment from the leader if newer than `version`.

    Attributes
    ----------
    version : int
        Version that the sender has; -1 if none.
    takes_parts : bool
        Whether the sender reads a `DeploymentTransfer` and asks for its parts.
    """

    version: int
    takes_parts: bool = False


class DeploymentTransfer(NestedRecord):
    """Encoded difference to a newer version, which is fetched in parts.

    Parts are small, so that they do not delay other messages on the link, and those
    that have arrived are kept when a link fails or the leader changes.

    Attributes
    ----------
    version, base : int
        Version that results, and version to which the difference applies; -1 if it
        contains the whole deployment.
    size : int
        Size of the encoded difference, in bytes.
    digest : bytes
        Digest of all of it.
    content : bytes
        All of it if it fits into one part; else empty.
    """

    version: int
    base: int
    size: int
    digest: bytes
    content: bytes


class AskDeploymentPart(Message):
    """Requests a part of a `DeploymentTransfer`, from `offset` on."""

    version: int
    base: int
    digest: bytes
    offset: int


class DeploymentPart(Message):
    """A part of a `DeploymentTransfer`; empty if the sender no longer has it."""

    data: bytes


class ReadDeployment(Message):
    """Requests the highest version acknowledged before this request was sent."""


class DeploymentView(Message):
    """A deployment and whether it is known to be the newest version.

    Attributes
    ----------
    version : int
        Highest version that the sender has applied.
    content : bytes
        The encoded deployment; empty if the requesting host has this version.
    is_current : bool
        Whether no newer version can have been acknowledged when the request
        arrived.
    leader : NodeId or None
        The leader of the control group, if known.
    transfer : DeploymentTransfer or None
        Difference to this version, in place of `content`, for hosts that take parts.
    """

    version: int
    content: bytes
    is_current: bool
    leader: NodeId | None = None
    transfer: DeploymentTransfer | None = None


class ControlHost(NestedRecord):
    """A control host and the address of its mesh listener."""

    node: NodeId
    mesh: str


class AskControlHosts(Message):
    """Asks a control host for the control hosts that it is linked with."""


class ControlHosts(Message):
    """Control hosts that the sender is linked with, including itself."""

    hosts: tuple[ControlHost, ...]
