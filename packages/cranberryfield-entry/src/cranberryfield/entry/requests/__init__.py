"""Requests from acceptance to answer: records, attempts and claims."""

from cranberryfield.entry.requests.records import (
    RecordsSection,
    RequestRecord,
    RequestState,
)
from cranberryfield.entry.requests.request import Request

__all__ = ["RecordsSection", "Request", "RequestRecord", "RequestState"]
