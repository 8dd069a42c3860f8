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
        The operator's number for it.
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
    """Asks the leader for the deployment if it is newer than `version`."""

    version: int


class ReadDeployment(Message):
    """Asks for the highest version that was acknowledged before the question."""


class DeploymentView(Message):
    """A deployment, and whether it is known to be the newest.

    Attributes
    ----------
    version : int
        Highest version that the sender has applied.
    content : bytes
        The encoded deployment; empty if the asking host has this version.
    is_current : bool
        Whether no newer version can have been acknowledged when the question
        arrived.
    leader : NodeId or None
        The leader of the control group, if known.
    """

    version: int
    content: bytes
    is_current: bool
    leader: NodeId | None = None


class ControlHost(NestedRecord):
    """A control host and where its mesh listens."""

    node: NodeId
    mesh: str


class AskControlHosts(Message):
    """Asks a control host which control hosts it knows."""


class ControlHosts(Message):
    """The control hosts that the sender is linked with, itself included."""

    hosts: tuple[ControlHost, ...]
