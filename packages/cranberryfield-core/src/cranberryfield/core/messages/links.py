"""Messages that open a link between two processes."""

from cranberryfield.core.ids import DataCentre, Incarnation, NodeId
from cranberryfield.core.messages.base import Message

__all__ = ["Failure", "Hello"]


class Hello(Message):
    """First message on a link, in both directions.

    Attributes
    ----------
    node : NodeId
        The sender.
    group : str
        Its installation.
    incarnation : Incarnation
        Counts the sender's starts.
    data_centre : DataCentre
        Where it runs.
    roles : tuple of str
        What it does.
    mesh, callers : str
        Its addresses, ``IP:PORT``.
    """

    node: NodeId
    group: str
    incarnation: Incarnation
    data_centre: DataCentre
    roles: tuple[str, ...]
    mesh: str
    callers: str


class Failure(Message):
    """Reply to a request that raised an error.

    Attributes
    ----------
    kind : str
        Value of the `ErrorKind`.
    detail : str
        One sentence for a person.
    """

    kind: str
    detail: str
