"""Helpers shared by all HTTP endpoints: bearer keys, errors, request bodies."""

from cranberryfield.core.http.auth import (
    bearer_digest,
    key_digest,
    key_matches,
    require_key,
)
from cranberryfield.core.http.bodies import decode_json, read_body
from cranberryfield.core.http.problems import handle_error, problem_response

__all__ = [
    "bearer_digest",
    "decode_json",
    "handle_error",
    "key_digest",
    "key_matches",
    "problem_response",
    "read_body",
    "require_key",
]
