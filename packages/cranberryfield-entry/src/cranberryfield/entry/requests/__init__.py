"""Execution of accepted requests: records, attempts, claims and replication."""

from cranberryfield.entry.requests.records import RequestRecord, RequestState
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.requests.section import RecordsSection

__all__ = ["RecordsSection", "Request", "RequestRecord", "RequestState"]
