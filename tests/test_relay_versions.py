"""At which software version a relay lets a stream go on."""

import anyio
import msgspec
import pytest

from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.deployment import RouteKind
from cranberryfield.entry.streams import FoundOrigin, StreamOrigin, VersionEvidence
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


def confirm_versions(monkeypatch, harness, versions):
    """Have a majority of control hosts say which versions may have begun streams."""
    find = harness.streams.find
    evidence = VersionEvidence(frozenset(versions), frozenset(versions), True, True)

    async def find_with_evidence(*asked):
        found = await find(*asked)
        return FoundOrigin(found.origin, True, evidence=evidence)

    monkeypatch.setattr(harness.streams, "find", find_with_evidence)


# Versions of the upstreams, what is known of the stream as service and version, the id
# that the caller names, the upstream at which it goes on, and whether the refusal else
# says when to come back: only if control hosts have not answered, as here.
TAKEN_UP = {
    "its version": (["v1", "v2"], ("drafts", "v2"), "first", 1, False),
    "its version is gone": (["v1", "v1"], ("drafts", "v2"), "first", None, False),
    "unknown, one version": (["v1", "v1"], None, "first", None, True),
    "unknown, no versions": (["", ""], None, "first", 0, False),
    "unknown, several versions": (["v1", "v2"], None, "first", None, True),
    "no id, one version": (["v1", "v1"], None, "", None, True),
    "no id, no versions": (["", ""], None, "", 0, False),
    "no id, several versions": (["v1", "v2"], ("drafts", "v2"), "", None, False),
    "another stream": (["v1", "v2"], ("drafts", "v2"), "other", None, True),
    "no upstream known yet": ([], None, "", None, True),
    "another service": (["v1", "v1"], ("other", "v1"), "first", None, False),
}


# Guards against a caller's stream that goes on at another version, and against one that
# is refused although its version serves.
@pytest.mark.parametrize(
    ("versions", "origin", "resumes", "expected", "may_return"),
    TAKEN_UP.values(),
    ids=TAKEN_UP.keys(),
)
def test_at_which_upstream_a_stream_is_taken_up(
    versions, origin, resumes, expected, may_return
):
    harness = RelayHarness(
        [ENDS] * len(versions), RouteKind.STREAM, versions=versions, resumable=True
    )
    harness.prefer(0)
    if origin is not None:
        deadline = monotonic_clock() + 10.0
        harness.streams.record("first", StreamOrigin(*origin), deadline)
    named = [b"Resumes: " + resumes.encode()] if resumes else []
    response = send_raw(harness, get_request(b"Last: 2", *named))
    counts = [len(one.requests) for one in harness.upstreams]
    assert counts == [int(number == expected) for number in range(len(versions))]
    delays = harness.retry_delays_s
    assert len(delays) == (expected is None)
    assert any(delays) is may_return
    if expected is None:
        refusal = msgspec.json.decode(response.partition(b"\r\n\r\n")[2])
        assert refusal == {"kind": "no_upstream", "run": "no"}
    else:
        assert response.count(b"data: ") == TOTAL - 2


# Versions that a majority of control hosts knows, beside one version of upstreams here,
# and whether a stream of which nobody knows goes on.
CONFIRMED = [(["v1"], True), (["v1", "v2"], False), (["v2"], False)]


# Guards against a stream that goes on at the one version that a relay has heard of,
# though another one has served.
@pytest.mark.parametrize("resumes", [b"Resumes: first", b"X: none"])
@pytest.mark.parametrize(("confirmed", "goes_on"), CONFIRMED)
def test_an_unknown_stream_goes_on_at_an_only_version(
    monkeypatch, resumes, confirmed, goes_on
):
    harness = RelayHarness([ENDS], RouteKind.STREAM, versions=["v1"], resumable=True)
    confirm_versions(monkeypatch, harness, confirmed)
    response = send_raw(harness, get_request(b"Last: 2", resumes))
    assert len(harness.upstreams[0].requests) == goes_on
    assert response.count(b"data: ") == (TOTAL - 2 if goes_on else 0)
    assert harness.retry_delays_s == ([] if goes_on else [None])


def test_a_stream_that_was_taken_up_keeps_its_origin(monkeypatch):
    harness = RelayHarness([ENDS], RouteKind.STREAM, versions=["v1"], resumable=True)
    with monkeypatch.context() as patches:
        confirm_versions(patches, harness, ["v1"])
        send_raw(harness, get_request(b"Last: 2", b"Resumes: first"))
    assert len(harness.upstreams[0].requests) == 1
    # Callers name the request that had the first event, not the one that went on.
    assert anyio.run(harness.streams.find, "r1") == FoundOrigin(None, False)


def test_the_origin_of_a_stream_is_known_before_its_run():
    known = []

    async def look_up(request, stream):
        known.append(await harness.streams.find("r1"))
        return await ENDS(request, stream)

    harness = RelayHarness([look_up], RouteKind.STREAM, versions=["v1"], resumable=True)
    send_raw(harness, get_request())
    assert known == [FoundOrigin(StreamOrigin("drafts", "v1"), True)]
