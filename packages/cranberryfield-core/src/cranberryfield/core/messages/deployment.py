"""Messages about the declared deployment and the hosts that follow it."""

from cranberryfield.core.ids import NodeId
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = [
    "AskControlHosts",
    "ControlHost",
    "ControlHosts",
    "DeclareDeployment",
    "DeploymentDeclared",
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
    """Requests the deployment from the leader if newer than `version`."""

    version: int


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
    """

    version: int
    content: bytes
    is_current: bool
    leader: NodeId | None = None


class ControlHost(NestedRecord):
    """A control host and the address of its mesh listener."""

    node: NodeId
    mesh: str


class AskControlHosts(Message):
    """Asks a control host for the control hosts that it is linked with."""


class ControlHosts(Message):
    """Control hosts that the sender is linked with, including itself."""

    hosts: tuple[ControlHost, ...]
