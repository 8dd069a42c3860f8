"""Recognition of requests that crash the upstreams that run them."""

from cranberryfield.entry.quarantine.fingerprint import (
    body_digest,
    request_fingerprint,
)

__all__ = ["body_digest", "request_fingerprint"]
