"""At which software version a relay lets a stream go on within one answer."""

import pytest

from cranberryfield.core.deployment import RouteKind
from tests.relay_harness import (
    RelayHarness,
    crash,
    get_request,
    refuse,
    send_raw,
    stream_events,
)

TOTAL = 4
BREAKS = stream_events(1, 2, ends=False)
ENDS = stream_events(1, TOTAL)


async def crash_in_mid_stream(request, stream):
    await stream_events(1, 2, ends=False)(request, stream)
    return await crash(request, stream)


# Versions of the upstreams, script of the first one, whether the stream goes on, and
# the upstreams that get nothing. Those after the first have the whole stream.
RESUMPTIONS = {
    "another of its version": (["v1", "v2", "v1"], BREAKS, True, [1]),
    "another version only": (["v1", "v2", "v2"], BREAKS, False, [1, 2]),
    "it crashed, and another of its version": (
        ["v1", "v2", "v1"],
        crash_in_mid_stream,
        True,
        [1],
    ),
    "it crashed, and no other": (
        ["v1", "v2", "v2"],
        crash_in_mid_stream,
        False,
        [1, 2],
    ),
    "before its first event": (["v1", "v2", "v2"], refuse(), True, []),
    "no versions": (["", "", ""], BREAKS, True, []),
}


# Guards against a stream that goes on at an upstream of another software version, whose
# events do not fit to the first ones.
@pytest.mark.parametrize(
    ("versions", "first", "goes_on", "untouched"),
    RESUMPTIONS.values(),
    ids=RESUMPTIONS.keys(),
)
def test_a_stream_goes_on_at_its_version_only(versions, first, goes_on, untouched):
    harness = RelayHarness(
        [first, ENDS, ENDS],
        RouteKind.STREAM,
        versions=versions,
        resumable=True,
        max_attempts=3,
    )
    harness.prefer(0)
    response = send_raw(harness, get_request())
    assert len(harness.upstreams[0].requests) == 1
    events = [response.count(b"data: e%d\n" % n) for n in range(1, TOTAL + 1)]
    assert events == ([1] * TOTAL if goes_on else [1, 1, 0, 0])
    # The last chunk, without which the answer is visibly broken off.
    assert response.endswith(b"0\r\n\r\n") is goes_on
    assert not any(harness.upstreams[number].requests for number in untouched)
