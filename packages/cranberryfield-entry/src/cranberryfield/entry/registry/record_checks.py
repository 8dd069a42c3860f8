"""Checks of the records of upstreams that other processes send."""

import re
from collections.abc import Iterator
from ipaddress import ip_address

import structlog

from cranberryfield.core.ids import NodeId
from cranberryfield.core.messages.membership import UpstreamRecord, UpstreamUpdate
from cranberryfield.core.numbers import MAX_INTEGER, MAX_TEXT_LENGTH

__all__ = ["find_record_fault", "usable_records"]

MS_PER_S = 1000
#: Ids go into headers of requests.
UPSTREAM_ID = re.compile(r"[!-~]+")
MAX_PORT = 65_535

logger = structlog.get_logger(__name__)


def find_record_fault(record: UpstreamRecord) -> str | None:
    """Return why a record names no upstream to use; None if it does.

    Examples
    --------
    >>> record = UpstreamRecord("u", 1, 1, "s", "d", "10.0.0.1:80", "", (), 8, 0)
    >>> find_record_fault(record)
    >>> import msgspec
    >>> find_record_fault(msgspec.structs.replace(record, capacity=1 << 64))
    'capacity is out of range'
    >>> find_record_fault(msgspec.structs.replace(record, address="10.0.0.1:70000"))
    'the address is not IP:PORT'
    """
    for name in ("incarnation", "sequence", "capacity", "lease_ms", "leave_ms"):
        if not 0 <= getattr(record, name) <= MAX_INTEGER:
            return f"{name} is out of range"
    load = record.load
    if not all(
        0 <= count <= MAX_INTEGER
        for count in (load.running, load.queued, load.prefill_tokens)
    ):
        return "load is out of range"
    texts = (
        record.upstream,
        record.service,
        record.data_centre,
        record.machine_class,
        record.home,
        record.software_version,
        *record.capabilities,
    )
    if any(len(text) > MAX_TEXT_LENGTH for text in texts):
        return "a text is too long"
    if not UPSTREAM_ID.fullmatch(record.upstream):
        return "the id is empty or has characters that headers cannot carry"
    if not record.service:
        return "the service has no name"
    if not _is_address(record.address):
        return "the address is not IP:PORT"
    return None


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        return False
    is_decimal = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    return is_decimal and 0 < int(port) <= MAX_PORT


def usable_records(
    sender: NodeId, update: UpstreamUpdate, now: float
) -> Iterator[tuple[UpstreamRecord, float]]:
    """Return the usable records of an update, and when each was announced.

    The others are logged and skipped, so that one of them, for instance from a build
    that checks less, does not keep the rest from being known.

    Parameters
    ----------
    sender : NodeId
        Process that has sent the update.
    update : UpstreamUpdate
        The update.
    now : float
        Monotonic time in seconds.

    Yields
    ------
    tuple of (UpstreamRecord, float)
        A record, and the monotonic time in seconds of its announcement.
    """
    for index, record in enumerate(update.records):
        fault = find_record_fault(record)
        if fault is None and index >= len(update.ages_ms):
            fault = "it has no age"
        elif fault is None and not 0 <= update.ages_ms[index] <= MAX_INTEGER:
            fault = "the age is out of range"
        if fault is not None:
            logger.warning(
                "record of an upstream skipped",
                upstream=record.upstream[:MAX_TEXT_LENGTH],
                told_by=sender,
                reason=fault,
            )
            continue
        yield record, now - update.ages_ms[index] / MS_PER_S
