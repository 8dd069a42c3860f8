"""Requests at a relay whose upstreams state limits in their answers."""

import msgspec
import pytest

from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.deployment import RouteKind
from cranberryfield.entry.limits.stated_limits import StatedLimit
from tests.relay_harness import (
    RelayHarness,
    respond,
    send_all,
)

LIMITED = respond(body=b"limited", extra=b"Limit: 0.5\r\n")
FREE = respond(body=b"free")
IDEMPOTENT, ONCE = RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT


# Guards against requests that wait for an upstream at its limit, or that go there.
@pytest.mark.parametrize("kind", [IDEMPOTENT, ONCE])
def test_request_that_no_upstream_may_take_is_refused_at_once(kind):
    harness = RelayHarness([LIMITED], kind)
    served, refused = send_all(harness, 2)
    assert served == b"limited"
    assert msgspec.json.decode(refused) == {"kind": "no_upstream", "run": "no"}
    assert len(harness.received_requests) == 1


def test_upstreams_without_a_limit_take_what_those_with_one_may_not():
    harness = RelayHarness([LIMITED, FREE])
    bodies = send_all(harness, 20)
    assert bodies.count(b"limited") <= 1
    assert set(bodies) <= {b"limited", b"free"}


# Guards against retries beyond the limit.
def test_retry_needs_a_token_like_a_first_attempt():
    harness = RelayHarness([respond(500, b"failed"), FREE])
    harness.limits.limits["u1", 1] = StatedLimit(0.5, monotonic_clock())
    assert send_all(harness, 1) == [b"failed"]
    assert not harness.upstreams[1].requests
