"""Registry of upstreams in a deployment with control hosts.

Upstreams announce themselves at a control host, which publishes their records to all
hosts; relay hosts replicate its table. Entry hosts that learn of upstreams and of
each other by gossip, without control hosts, use `cranberryfield.entry.membership`.
"""

from cranberryfield.entry.registry.publisher import RegistryPublisher
from cranberryfield.entry.registry.replica import RegistryReplica
from cranberryfield.entry.registry.table import (
    RegistryEntry,
    RegistryTable,
    accept_record,
    doubtful_among,
    record_reply,
)

__all__ = [
    "RegistryEntry",
    "RegistryPublisher",
    "RegistryReplica",
    "RegistryTable",
    "accept_record",
    "doubtful_among",
    "record_reply",
]
