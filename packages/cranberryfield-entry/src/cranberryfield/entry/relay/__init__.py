"""Forwards requests to upstreams and their responses to callers, unchanged."""

from cranberryfield.entry.relay.loads import LoadSection, UpstreamLoad
from cranberryfield.entry.relay.relay import Relay
from cranberryfield.entry.relay.request import (
    RelayRequest,
    ResponseMetadata,
    UpstreamCodec,
)
from cranberryfield.entry.relay.windowed_retry_budget import (
    WindowedRetryBudget,
    credit_request,
    spend_windowed_retry,
)

__all__ = [
    "LoadSection",
    "Relay",
    "RelayRequest",
    "ResponseMetadata",
    "UpstreamCodec",
    "UpstreamLoad",
    "WindowedRetryBudget",
    "credit_request",
    "spend_windowed_retry",
]
