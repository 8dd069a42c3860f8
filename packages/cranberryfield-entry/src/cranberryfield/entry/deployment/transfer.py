"""Parts of a newer deployment that have arrived at this host."""

from dataclasses import dataclass
from hashlib import blake2b

from cranberryfield.core.errors import ErrorKind, ProtocolError
from cranberryfield.core.messages.deployment import (
    AskDeploymentPart,
    DeploymentTransfer,
)

__all__ = ["IncomingDeployment", "add_part", "next_ask", "received", "start_transfer"]

DIGEST_BYTES = 8


@dataclass(slots=True)
class IncomingDeployment:
    """A difference between two versions that arrives in parts.

    Attributes
    ----------
    transfer : DeploymentTransfer
        What is transferred.
    data : bytearray
        What has arrived of it.
    """

    transfer: DeploymentTransfer
    data: bytearray


def start_transfer(
    incoming: IncomingDeployment | None, transfer: DeploymentTransfer, version: int
) -> IncomingDeployment | None:
    """Return the transfer to go on with after an offer.

    Parameters
    ----------
    incoming : IncomingDeployment or None
        Transfer in progress.
    transfer : DeploymentTransfer
        The offer.
    version : int
        Version in force on this host.

    Returns
    -------
    IncomingDeployment or None
        The one in progress if the offer is the same, or if it still leads to a newer
        version than the one in force: a host that began anew with each version would
        get none while versions follow each other faster than a transfer takes.
    """
    if transfer.version <= version or transfer.size <= 0:
        return incoming
    if incoming is not None and incoming.transfer.version > version:
        present = incoming.transfer
        is_same = (present.version, present.base, present.digest) == (
            transfer.version,
            transfer.base,
            transfer.digest,
        )
        if is_same or (incoming.data and present.base in (version, -1)):
            return incoming
    return IncomingDeployment(transfer, bytearray(transfer.content))


def next_ask(incoming: IncomingDeployment) -> AskDeploymentPart | None:
    """Return the request for the next part; None if all have arrived."""
    transfer = incoming.transfer
    if len(incoming.data) >= transfer.size:
        return None
    return AskDeploymentPart(
        transfer.version, transfer.base, transfer.digest, len(incoming.data)
    )


def add_part(incoming: IncomingDeployment, offset: int, data: bytes) -> bool:
    """Add a part; return False if the sender no longer has it."""
    if not data or offset != len(incoming.data):
        return bool(data)
    incoming.data += data
    return True


def received(incoming: IncomingDeployment) -> bytes:
    """Return the whole difference.

    Raises
    ------
    ProtocolError
        If its digest differs from that of the offer.
    """
    data = bytes(incoming.data)
    if blake2b(data, digest_size=DIGEST_BYTES).digest() != incoming.transfer.digest:
        raise ProtocolError(
            ErrorKind.PROTOCOL, "difference of deployments has another digest"
        )
    return data
