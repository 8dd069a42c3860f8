"""Upstreams that announce themselves at control hosts, known on all hosts."""

from cranberryfield.entry.registry.hub import RegistryHub
from cranberryfield.entry.registry.mirror import RegistryMirror
from cranberryfield.entry.registry.table import (
    UpstreamEntry,
    UpstreamTable,
    accept_record,
    digest_table,
)

__all__ = [
    "RegistryHub",
    "RegistryMirror",
    "UpstreamEntry",
    "UpstreamTable",
    "accept_record",
    "digest_table",
]
