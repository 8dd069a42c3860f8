"""Messages that open a link between two processes."""

from cranberryfield.core.features import FeatureLevel
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
        Name of its installation.
    incarnation : Incarnation
        Number that grows with each start of the sender.
    data_centre : DataCentre
        Its data centre.
    roles : tuple of str
        Its roles, such as ``control``.
    mesh, callers : str
        Its addresses for other processes and for callers, ``IP:PORT``.
    feature_level : int
        Highest `FeatureLevel` that it understands. Not of that type, as it may be
        higher than any level that the receiver knows.
    """

    node: NodeId
    group: str
    incarnation: Incarnation
    data_centre: DataCentre
    roles: tuple[str, ...]
    mesh: str
    callers: str
    feature_level: int = FeatureLevel.BASE


class Failure(Message):
    """Reply to a request that raised an error.

    Attributes
    ----------
    kind : str
        Value of the `ErrorKind`.
    detail : str
        Human-readable explanation in one sentence.
    """

    kind: str
    detail: str
