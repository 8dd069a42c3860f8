"""Forwards requests to upstreams and their responses to callers, unchanged."""

from cranberryfield.entry.relay.budget import RetryBudget, note_request, take_retry
from cranberryfield.entry.relay.loads import LoadSection, UpstreamLoad
from cranberryfield.entry.relay.relay import Relay
from cranberryfield.entry.relay.request import (
    AnswerFacts,
    RelayRequest,
    UpstreamDialect,
)

__all__ = [
    "AnswerFacts",
    "LoadSection",
    "Relay",
    "RelayRequest",
    "RetryBudget",
    "UpstreamDialect",
    "UpstreamLoad",
    "note_request",
    "take_retry",
]
