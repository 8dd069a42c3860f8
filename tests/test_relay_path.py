"""Relay between a caller and upstreams that disconnect, refuse or mix up answers."""

import anyio
import pytest

from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.deployment import (
    RouteKind,
)
from cranberryfield.entry.relay.windowed_retry_budget import spend_windowed_retry
from tests.relay_harness import (
    RESPONSE_HEAD,
    RelayHarness,
    get_request,
    in_sequence,
    never_respond,
    read_all,
    refuse,
    reset_connection,
    respond,
    respond_after_foreign,
    send_raw,
    stream_events,
)


def test_a_request_and_its_answer_pass_unchanged():
    harness = RelayHarness([respond(body=b"\x00bytes", extra=b"X-Answer: Kept\r\n")])
    sent = (
        b"POST /x/%7Ea//b?q=%20A HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n"
        b"X-MiXed: CaSe\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    response = send_raw(harness, sent)
    (request,) = harness.received_requests
    assert request.head.startswith("POST /x/%7Ea//b?q=%20A HTTP/1.1\r\n")
    assert "X-MiXed: CaSe" in request.head
    assert request.header("x-hop") is None
    assert request.body == b"abcde"
    assert response.startswith(b"HTTP/1.1 200")
    assert b"X-Answer: Kept" in response
    assert response.endswith(b"\r\n\r\n\x00bytes")


@pytest.mark.parametrize(
    ("kind", "scripts", "status", "runs"),
    [
        (RouteKind.IDEMPOTENT, [reset_connection, respond()], 200, 2),
        (RouteKind.IDEMPOTENT, [reset_connection, reset_connection], 502, 2),
        (RouteKind.IDEMPOTENT, [respond(500), respond()], 200, 2),
        (RouteKind.IDEMPOTENT, [respond(500), respond(500)], 500, 2),
        (RouteKind.IDEMPOTENT, [respond(404), respond()], 404, 1),
        (RouteKind.NON_IDEMPOTENT, [reset_connection, respond()], 502, 1),
        (RouteKind.NON_IDEMPOTENT, [respond(500), respond()], 500, 1),
        (RouteKind.NON_IDEMPOTENT, [refuse(), respond()], 200, 2),
        (RouteKind.NON_IDEMPOTENT, [refuse(), refuse()], 503, 2),
        (RouteKind.NON_IDEMPOTENT, [respond(421), respond()], 200, 2),
        (RouteKind.NON_IDEMPOTENT, [respond(503), respond()], 502, 1),
        (RouteKind.NON_IDEMPOTENT, [respond(429), respond()], 502, 1),
        (RouteKind.IDEMPOTENT, [respond(503), respond(503)], 503, 2),
        (RouteKind.STREAM, [refuse(), stream_events(1, 3)], 200, 2),
        (RouteKind.STREAM, [reset_connection, stream_events(1, 3)], 502, 1),
    ],
)
def test_what_may_run_again_is_tried_elsewhere(kind, scripts, status, runs):
    # Shared by both upstreams: the order does not depend on which is chosen first.
    script = in_sequence(*scripts)
    harness = RelayHarness([script, script], kind)
    response = send_raw(harness, get_request())
    assert response.startswith(b"HTTP/1.1 %d" % status)
    assert len(harness.received_requests) == runs


# Guards against requests that are refused although an upstream would serve them, since
# their attempts went to upstreams whose addresses other processes have taken.
@pytest.mark.parametrize("max_attempts", [1, 2])
@pytest.mark.parametrize(
    "kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT, RouteKind.STREAM]
)
def test_answers_of_other_processes_do_not_use_up_the_attempts(kind, max_attempts):
    answer = stream_events(1, 3) if kind is RouteKind.STREAM else respond()
    script = in_sequence(*[respond(421)] * 4, answer)
    harness = RelayHarness([script] * 5, kind, max_attempts=max_attempts)
    assert send_raw(harness, get_request()).startswith(b"HTTP/1.1 200")
    assert len(harness.received_requests) == 5


@pytest.mark.parametrize(
    ("kind", "script", "used"),
    [
        (RouteKind.IDEMPOTENT, respond(), 1),
        (RouteKind.IDEMPOTENT, respond(500), 1),
        (RouteKind.IDEMPOTENT, refuse(), 0),
        (RouteKind.NON_IDEMPOTENT, reset_connection, 1),
        (RouteKind.STREAM, stream_events(1, 3), 1),
        (RouteKind.STREAM, stream_events(1, 2, ends=False), 1),
        (RouteKind.STREAM, refuse(), 0),
    ],
)
def test_a_quota_is_charged_for_what_may_have_run(kind, script, used):
    harness = RelayHarness([script], kind)
    send_raw(harness, get_request())
    assert harness.quota.used == used


# Guards against a failure of the relay's own in place of the one that an upstream has
# answered, where no other upstream may be tried.
def test_the_failure_of_an_only_upstream_is_delivered():
    harness = RelayHarness([respond(500, b"own words")])
    response = send_raw(harness, get_request())
    assert response.startswith(b"HTTP/1.1 500")
    assert response.endswith(b"own words")


def test_an_answer_to_another_request_is_never_delivered():
    harness = RelayHarness([respond_after_foreign(b"mine")])
    response = send_raw(harness, get_request())
    assert response.endswith(b"\r\n\r\nmine")
    assert b"wrong" not in response
    assert len(harness.received_requests) == 1


@pytest.mark.parametrize(
    ("resumable", "is_whole", "after"), [(True, True, "2"), (False, False, None)]
)
def test_a_broken_stream_goes_on_elsewhere_if_it_may(resumable, is_whole, after):
    script = in_sequence(stream_events(1, 2, ends=False), stream_events(1, 4))
    harness = RelayHarness([script, script], RouteKind.STREAM, resumable=resumable)
    response = send_raw(harness, get_request())
    assert response.endswith(b"0\r\n\r\n") is is_whole
    last = 4 if is_whole else 2
    for number in range(1, last + 1):
        assert response.count(b"data: e%d\n\n" % number) == 1
    assert b"id: 99" not in response
    resumed = [
        one.header("after") for one in harness.received_requests if one.header("after")
    ]
    assert resumed == ([after] if after else [])


@pytest.mark.parametrize("kind", list(RouteKind))
def test_the_caller_who_leaves_ends_the_work(kind):
    harness = RelayHarness([never_respond], kind)

    async def conversation(stream):
        await stream.send(get_request())
        while not harness.received_requests:
            await anyio.sleep(0.01)
        await stream.aclose()
        while not harness.upstreams[0].closed_connections and kind is not None:
            await anyio.sleep(0.01)
            if harness.upstreams[0].closed_connections:
                return
            # The script of the stand-in never returns, so the end of the attempt
            # shows only in the relay.
            if not any(
                load.own_attempts for load in harness.relay._loads.loads.values()
            ):
                return

    anyio.run(harness.run, conversation)


@pytest.mark.parametrize(
    ("kind", "scripts", "status"),
    [
        (RouteKind.IDEMPOTENT, [never_respond], 504),
        (RouteKind.NON_IDEMPOTENT, [never_respond], 504),
        (RouteKind.STREAM, [never_respond], 504),
    ],
)
def test_the_deadline_ends_a_request_with_an_answer(kind, scripts, status):
    harness = RelayHarness(scripts, kind)
    response = send_raw(harness, get_request(b"Time: 0.3"))
    assert response.startswith(b"HTTP/1.1 %d" % status)
    assert b'"unknown"' in response


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (
            b"POST /x/ HTTP/1.1\r\nHost: a\r\nId: r1\r\nContent-Length: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"GET /x/ HTTP/1.1\r\nHost: a\r\nHost: b\r\nId: r1\r\n\r\n", 400),
        (b"GET /x/ HTTP/1.1\r\nId: r1\r\nNo Colon\r\n\r\n", 400),
        (b"GET /x/ HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 20_000 + b"\r\n\r\n", 431),
        (
            b"POST /x/ HTTP/1.1\r\nHost: a\r\nId: r1\r\nContent-Length: 2000\r\n\r\n",
            413,
        ),
    ],
)
def test_what_two_readers_could_read_differently_is_refused(sent, status):
    harness = RelayHarness([respond()])
    response = send_raw(harness, sent)
    assert response.startswith(b"HTTP/1.1 %d" % status)
    assert harness.received_requests == []


def test_a_stop_ends_what_it_has_read_and_accepts_no_more():
    harness = RelayHarness(
        [in_sequence(stream_events(1, 2), respond())], RouteKind.STREAM
    )

    async def slow(request, stream):
        await stream.send(RESPONSE_HEAD % (200, request.header("id").encode()))
        await stream.send(b"Transfer-Encoding: chunked\r\n\r\n")
        await harness.released.wait()
        event = b"id: 1\ndata: a\n\n"
        await stream.send(b"%x\r\n" % len(event) + event + b"\r\n0\r\n\r\n")
        return False

    harness.upstreams[0].script = slow

    async def conversation(stream):
        harness.released = anyio.Event()
        address = ("127.0.0.1", harness.port)
        async with await anyio.connect_tcp(*address) as idle:
            await stream.send(get_request())
            while not harness.received_requests:
                await anyio.sleep(0.01)
            harness.state.connection_close = True
            harness.state.stop_event.set()
            with pytest.raises(anyio.EndOfStream):
                await idle.receive()
        with pytest.raises(OSError):
            while True:
                await (await anyio.connect_tcp(*address)).aclose()
        harness.released.set()
        response = await read_all(stream)
        assert response.endswith(b"0\r\n\r\n")
        assert b"data: a" in response

    anyio.run(harness.run, conversation)


@pytest.mark.parametrize(
    ("kind", "status"),
    [(RouteKind.IDEMPOTENT, 200), (RouteKind.NON_IDEMPOTENT, 504)],
)
def test_a_kept_connection_that_has_fallen_silent_is_given_up(kind, status):
    script = in_sequence(respond(), respond(), never_respond, respond())
    harness = RelayHarness([script, script], kind)
    sent = b"GET /x/ HTTP/1.1\r\nHost: a.example\r\nId: r%d\r\nTime: 1\r\n\r\n"

    async def conversation(stream):
        response = b""
        for number in range(3):
            # The first two requests go to different upstreams, so that both have an
            # idle connection at the third.
            harness.relay._loads.load_of("u0").failure_ratio = float(number == 0)
            harness.relay._loads.load_of("u1").failure_ratio = float(number == 1)
            await stream.send(sent % number)
            response = await stream.receive()
            await anyio.sleep(0.02)
        assert response.startswith(b"HTTP/1.1 %d" % status)

    anyio.run(harness.run, conversation)


# Attempts that the route allows, upstreams, and whether a retry is left.
SLOW_ANSWERS = [
    ("one attempt", 1, 2, True),
    ("one upstream", 2, 1, True),
    ("no retry left", 2, 2, False),
]


# Guards against answers that are given up although nothing else may be tried.
@pytest.mark.parametrize(
    ("max_attempts", "upstreams", "has_retry"),
    [row[1:] for row in SLOW_ANSWERS],
    ids=[row[0] for row in SLOW_ANSWERS],
)
def test_slow_answer_is_awaited_if_nothing_else_may_be_tried(
    max_attempts, upstreams, has_retry
):
    respond_at_once = respond()

    async def respond_late(request, stream):
        await anyio.sleep(0.6)
        return await respond_at_once(request, stream)

    script = in_sequence(*[respond_at_once] * upstreams, respond_late)
    harness = RelayHarness([script] * upstreams, max_attempts=max_attempts)
    budget = harness.relay._budget
    budget.ratio = 0.0
    while not has_retry and spend_windowed_retry(budget, "drafts", monotonic_clock()):
        pass
    sent = b"GET /x/ HTTP/1.1\r\nHost: a.example\r\nId: r%d\r\nTime: 1\r\n\r\n"

    async def conversation(stream):
        for number in range(upstreams + 1):
            for one in range(upstreams):
                load = harness.relay._loads.load_of(f"u{one}")
                load.failure_ratio = float(number == one)
            await stream.send(sent % number)
            response = await stream.receive()
            await anyio.sleep(0.02)
        assert response.startswith(b"HTTP/1.1 200")

    anyio.run(harness.run, conversation)
    assert len(harness.received_requests) == upstreams + 1


def test_connections_to_upstreams_are_kept_and_never_with_surplus_bytes():
    respond_normally = respond(extra=b"")

    async def with_surplus(request, stream):
        await respond_normally(request, stream)
        await stream.send(b"HTTP/1.1 200 X\r\nSigned: yes\r\nId: r3\r\n\r\n")
        return True

    harness = RelayHarness([in_sequence(respond(), respond(), with_surplus, respond())])
    sent = b"GET /x/ HTTP/1.1\r\nHost: a.example\r\nId: r%d\r\n\r\n"

    async def conversation(stream):
        for number in range(4):
            await stream.send(sent % number)
            response = b""
            while not response.endswith(b"answer"):
                response += await stream.receive()
            await anyio.sleep(0.05)

    anyio.run(harness.run, conversation)
    assert [request.connection for request in harness.received_requests] == [1, 1, 1, 2]
