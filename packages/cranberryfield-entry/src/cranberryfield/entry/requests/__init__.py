"""Execution of accepted requests: records, attempts, claims and replication."""

from cranberryfield.entry.requests.records import RequestRecord, RequestState
from cranberryfield.entry.requests.records_section import RecordsSection
from cranberryfield.entry.requests.request import Request

__all__ = ["RecordsSection", "Request", "RequestRecord", "RequestState"]
