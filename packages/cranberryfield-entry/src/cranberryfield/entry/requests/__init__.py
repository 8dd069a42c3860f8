"""Requests from acceptance to answer: records, attempts and claims."""

from cranberryfield.entry.requests.records import RequestRecord, RequestState
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.requests.section import RecordsSection

__all__ = ["RecordsSection", "Request", "RequestRecord", "RequestState"]
