"""Messages of relays that reach upstreams through each other."""

from enum import Enum

from cranberryfield.core.ids import DataCentre, Incarnation, NodeId, UpstreamId
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = [
    "AskRelays",
    "OpenTunnel",
    "RelayAddress",
    "Relays",
    "TunnelFailure",
    "TunnelReply",
    "UpstreamPaused",
]


class AskRelays(Message):
    """Asks a control host for other relays."""


class RelayAddress(NestedRecord):
    """A relay, its data centre and its mesh address, ``IP:PORT``."""

    node: NodeId
    data_centre: DataCentre
    mesh: str


class Relays(Message):
    """Some of the relays that are linked with a control host."""

    relays: tuple[RelayAddress, ...]


class TunnelFailure(Enum):
    """Why a relay has not connected to an upstream.

    ``REFUSED``: the upstream refused the connection. ``UNREACHABLE``: it did not
    respond. ``UNAVAILABLE``: the relay does not connect to it, for example as it is
    cut off itself, is stopping, or knows that the upstream is leaving.
    """

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNAVAILABLE = "unavailable"


class OpenTunnel(Message):
    """First message on a tunnel: the upstream's address, ``IP:PORT``."""

    address: str


class TunnelReply(Message):
    """Answers an `OpenTunnel`; without a failure, the upstream's bytes follow."""

    failure: TunnelFailure | None


class UpstreamPaused(Message):
    """Tells the relay at the end of a tunnel that an upstream wants no requests.

    Attributes
    ----------
    upstream, incarnation
        The upstream process.
    pause_s : float
        Time for which it wants none, in seconds.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    pause_s: float
