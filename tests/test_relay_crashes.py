"""Which requests a relay suspects of crashing upstreams, and which it refuses."""

import anyio
import msgspec
import pytest

from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.deployment import RouteKind
from cranberryfield.entry.quarantine import (
    RUN_SETTLED_S,
    Crash,
    count_crashes,
    digest_prompt_parts,
    record_crash,
)
from cranberryfield.entry.relay.crash_detection import CONFIRM_DELAY_S
from cranberryfield.entry.relay.request import PromptPart
from tests.relay_harness import (
    RESPONSE_HEAD,
    RelayHarness,
    crash,
    get_request,
    in_sequence,
    never_respond,
    read_all,
    refuse,
    reset_connection,
    respond,
    send_raw,
    stream_events,
)

POLL_S = 0.01


def crash_in_mid_answer(first, last):
    """Stream events, then crash."""
    stream_first_events = stream_events(first, last, ends=False)

    async def script(request, stream):
        await stream_first_events(request, stream)
        return await crash(request, stream)

    return script


async def crash_in_mid_body(request, stream):
    head = RESPONSE_HEAD % (200, request.header("id").encode())
    await stream.send(head + b"Content-Length: 9\r\n\r\nhalf")
    return await crash(request, stream)


def known_crashes(harness):
    """Return whether each recorded crash came after the answer had begun."""
    return [
        one.had_answered
        for crashes in harness.suspects.crashes.values()
        for one in crashes
    ]


IDEMPOTENT, ONCE, STREAM = (
    RouteKind.IDEMPOTENT,
    RouteKind.NON_IDEMPOTENT,
    RouteKind.STREAM,
)
# Kind, scripts in the order of attempts, and whether the answer had begun in each
# crash that is recorded.
ENDS = [
    ("crash", ONCE, [crash], [False]),
    ("crash in mid-answer", ONCE, [crash_in_mid_body], [True]),
    ("crash in mid-stream", STREAM, [crash_in_mid_answer(1, 2)], [True]),
    ("lost connection", ONCE, [reset_connection], []),
    ("broken stream", STREAM, [stream_events(1, 2, ends=False)], []),
    ("failure", ONCE, [respond(500)], []),
    ("crash, then success", IDEMPOTENT, [crash, respond()], []),
    ("crash, then failure", IDEMPOTENT, [crash, respond(500)], [False]),
    ("two crashes", IDEMPOTENT, [crash, crash], [False, False]),
]


@pytest.mark.parametrize(
    ("kind", "scripts", "expected"),
    [row[1:] for row in ENDS],
    ids=[row[0] for row in ENDS],
)
def test_which_ends_of_attempts_are_crashes(kind, scripts, expected):
    script = in_sequence(*scripts)
    harness = RelayHarness([script] * len(scripts), kind)
    send_raw(harness, get_request())
    assert known_crashes(harness) == expected


# Guards against a crash that goes unnoticed since the process that ends still
# accepts a connection for a moment.
def test_crash_is_noticed_although_the_listener_closes_last():
    harness = RelayHarness([crash], ONCE)
    harness.upstreams[0].listener_delay_s = 0.03

    async def conversation(stream):
        await stream.send(get_request())
        await read_all(stream)
        while not harness.suspects.crashes:
            await anyio.sleep(POLL_S)

    anyio.run(harness.run, conversation)
    assert known_crashes(harness) == [False]


# Guards against a crash that goes unnoticed since the caller of the request has left
# before; few upstreams end a run at once when its connection is closed.
def test_crash_is_noticed_although_the_caller_has_left():
    has_run = anyio.Event()

    async def crash_later(request, stream):
        has_run.set()
        await anyio.sleep(0.05)
        return await crash(request, stream)

    harness = RelayHarness([crash_later], ONCE)

    async def conversation(stream):
        await stream.send(get_request())
        await has_run.wait()
        await stream.aclose()
        while not harness.suspects.crashes:
            await anyio.sleep(POLL_S)

    anyio.run(harness.run, conversation)
    assert known_crashes(harness) == [False]


# Time from the end of the attempt to the crash that another host notices, in seconds,
# and whether the request is suspected.
LATE_CRASHES = [("soon after", 0.2, True), ("before", -0.2, False)]


@pytest.mark.parametrize(
    ("after_s", "is_suspected"),
    [row[1:] for row in LATE_CRASHES],
    ids=[row[0] for row in LATE_CRASHES],
)
def test_crash_that_another_host_notices_when_the_caller_has_left(
    after_s, is_suspected
):
    harness = RelayHarness([never_respond], ONCE)

    async def conversation(stream):
        await stream.send(get_request())
        while not harness.received_requests:
            await anyio.sleep(POLL_S)
        await stream.aclose()
        left_at = monotonic_clock()
        await anyio.sleep(2 * CONFIRM_DELAY_S)
        harness.suspects.crashed_at["u0", 1] = left_at + after_s
        await anyio.sleep(2 * CONFIRM_DELAY_S)

    anyio.run(harness.run, conversation)
    assert bool(harness.suspects.crashes) is is_suspected


# Changes of the record that is announced after a lost connection to an upstream of
# incarnation 1 that still accepts, and whether this shows that it has crashed.
ANNOUNCEMENTS = [
    ("another id at its address", {"upstream": "new"}, True),
    ("its id, started again", {"incarnation": 2}, True),
    ("itself", {"sequence": 2}, False),
    ("itself, leaving", {"leaving": True}, False),
    ("another id elsewhere", {"upstream": "new", "address": "127.0.0.1:1"}, False),
    ("older id at its address", {"upstream": "old", "incarnation": 0}, False),
]


@pytest.mark.parametrize(
    ("changes", "is_crash"),
    [row[1:] for row in ANNOUNCEMENTS],
    ids=[row[0] for row in ANNOUNCEMENTS],
)
def test_lost_connection_is_a_crash_once_another_process_is_there(changes, is_crash):
    harness = RelayHarness([reset_connection], ONCE)

    async def conversation(stream):
        await stream.send(get_request())
        await read_all(stream)
        await anyio.sleep(2 * CONFIRM_DELAY_S)
        record = harness.table.entries["u0"].record
        announced = msgspec.structs.replace(record, **changes)
        replacement = msgspec.structs.replace(record, upstream="late")
        harness.detector.on_announcement(announced)
        assert bool(harness.suspects.crashes) is is_crash
        harness.detector.on_announcement(replacement)
        assert bool(harness.suspects.crashes) is not announced.leaving

    anyio.run(harness.run, conversation)


def test_answer_of_another_process_shows_that_the_former_one_has_crashed():
    harness = RelayHarness([in_sequence(reset_connection, respond(421))], ONCE)

    async def conversation(stream):
        for _ in range(2):
            async with await anyio.connect_tcp("127.0.0.1", harness.port) as caller:
                await caller.send(get_request())
                await read_all(caller)
            await anyio.sleep(2 * CONFIRM_DELAY_S)

    anyio.run(harness.run, conversation)
    assert known_crashes(harness) == [False]


def test_end_of_a_leaving_upstream_is_no_crash():
    async def leave_and_crash(request, stream):
        harness.mark_leaving(0)
        return await crash(request, stream)

    harness = RelayHarness([leave_and_crash], ONCE)
    send_raw(harness, get_request())
    assert not harness.suspects.crashes


# When the crash was noticed, the end of the attempt, and whether it is suspected.
KNOWN_CRASHES = [
    ("before the attempt", 0.0, crash, False),
    ("during the attempt", 1e12, crash, True),
    ("before the upstream was back", 0.0, reset_connection, False),
]


@pytest.mark.parametrize(
    ("crashed_at", "script", "is_suspected"),
    [row[1:] for row in KNOWN_CRASHES],
    ids=[row[0] for row in KNOWN_CRASHES],
)
def test_attempt_on_an_upstream_that_is_known_to_have_crashed(
    crashed_at, script, is_suspected
):
    harness = RelayHarness([script], ONCE)
    harness.suspects.crashed_at["u0", 1] = crashed_at
    send_raw(harness, get_request())
    assert bool(harness.suspects.crashes) is is_suspected


def test_crashes_do_not_count_towards_the_attempts_of_a_route():
    scripts = in_sequence(crash, respond(500), respond())
    harness = RelayHarness([scripts] * 3, IDEMPOTENT)
    assert send_raw(harness, get_request()).startswith(b"HTTP/1.1 200")
    assert len(harness.received_requests) == 3


# Guards against a request that is quarantined while it waits for an upstream, and
# then runs on it.
def test_request_that_is_quarantined_while_it_waits_does_not_run():
    harness = RelayHarness([respond()], ONCE)
    processes = ["a", "b", "c"]

    async def conversation(stream):
        await stream.send(get_request())
        await read_all(stream)
        (fingerprint,) = harness.suspects.completed_at
        for process in processes[:2]:
            record_crash(harness.suspects, fingerprint, Crash(process, 1, 1e12))

        async def reserve(upstream, fingerprint, deadline):
            record_crash(harness.suspects, fingerprint, Crash(processes[2], 1, 1e12))
            return True

        harness.reserver.reserve = reserve
        async with await anyio.connect_tcp("127.0.0.1", harness.port) as caller:
            await caller.send(get_request())
            response = await read_all(caller)
        refusal = msgspec.json.decode(response.partition(b"\r\n\r\n")[2])
        assert refusal == {"kind": "request_crashes_upstreams", "run": "no"}

    anyio.run(harness.run, conversation)
    assert len(harness.received_requests) == 1


# Guards against callers that send many equal requests, which would all be refused after
# three crashes beside them.
def test_equal_request_that_was_answered_is_not_suspected():
    harness = RelayHarness([in_sequence(respond(), crash)], ONCE)

    async def conversation(stream):
        for _ in range(2):
            async with await anyio.connect_tcp("127.0.0.1", harness.port) as caller:
                await caller.send(get_request())
                await read_all(caller)

    anyio.run(harness.run, conversation)
    assert len(harness.received_requests) == 2
    assert not harness.suspects.crashes


# Guards against a quarantined request that is sent to further upstreams, or refused
# with the claim that it has not run although this attempt of it has.
@pytest.mark.parametrize(
    ("kind", "was_run"),
    [(IDEMPOTENT, ["yes", "no"]), (ONCE, ["unknown", "unknown", "yes", "no"])],
)
def test_request_that_crashed_three_upstreams_is_refused(kind, was_run):
    harness = RelayHarness([crash] * 5, kind)

    async def conversation(stream):
        for expected in was_run:
            async with await anyio.connect_tcp("127.0.0.1", harness.port) as caller:
                await caller.send(get_request())
                response = await read_all(caller)
            refusal = msgspec.json.decode(response.partition(b"\r\n\r\n")[2])
            assert refusal["run"] == expected

    anyio.run(harness.run, conversation)
    assert len(harness.received_requests) == 3
    (fingerprint,) = harness.suspects.crashes
    assert count_crashes(harness.suspects, fingerprint) == 3


async def crash_after_head(request, stream):
    """Send the head of an answer and crash before its first event."""
    await stream.send(RESPONSE_HEAD % (200, request.header("id").encode()))
    await stream.send(b"Transfer-Encoding: chunked\r\n\r\n")
    return await crash(request, stream)


async def crash_long_after_the_first_event(request, stream):
    """Send the first event, one more when the run has settled, and crash."""
    id_header = request.header("id").encode()
    await stream.send(RESPONSE_HEAD % (200, id_header))
    await stream.send(b"Transfer-Encoding: chunked\r\n\r\n")
    for number in range(2):
        event = b"id: %d\ndata: e\n\n" % number
        await stream.send(b"%x\r\n" % len(event) + event + b"\r\n")
        await anyio.sleep(RUN_SETTLED_S + 0.1)
    return await crash(request, stream)


PROMPT = (PromptPart("shared", 100), PromptPart("own", 100))
SHARED = digest_prompt_parts("drafts", ("shared", "own"))
# Kind, script, and prompt parts that may have caused the crash.
SUSPECT_PARTS = [
    ("before the answer", ONCE, crash, SHARED),
    ("before the first event", STREAM, crash_after_head, SHARED),
    ("after the first event", STREAM, crash_in_mid_answer(1, 2), SHARED),
    ("later", STREAM, crash_long_after_the_first_event, ()),
]


# Guards against innocent parts being suspected for crashes long after the run began,
# which a part does not cause.
@pytest.mark.parametrize(
    ("kind", "script", "expected"),
    [row[1:] for row in SUSPECT_PARTS],
    ids=[row[0] for row in SUSPECT_PARTS],
)
def test_which_prompt_parts_are_suspected(kind, script, expected):
    harness = RelayHarness([script], kind, prompt_parts=PROMPT)
    send_raw(harness, get_request())
    ((one,),) = harness.suspects.crashes.values()
    assert one.prompt_parts == expected


# Kind, script after which the part is no longer suspected, and whether it is so.
SETTLED_RUNS = [
    ("success", ONCE, respond(), True),
    ("complete stream", STREAM, stream_events(1, 2), True),
    ("failure", ONCE, respond(500), False),
    ("refusal of the caller", ONCE, respond(404), False),
    ("refusal", ONCE, refuse(), False),
    ("stream in progress", STREAM, crash_long_after_the_first_event, True),
]


# Guards against a part that is refused for the crashes of others although runs with it
# end well, and against one that is cleared by answers that no run has begun.
@pytest.mark.parametrize(
    ("kind", "script", "is_cleared"),
    [row[1:] for row in SETTLED_RUNS],
    ids=[row[0] for row in SETTLED_RUNS],
)
def test_which_runs_clear_their_prompt_parts(kind, script, is_cleared):
    harness = RelayHarness([script], kind, prompt_parts=PROMPT)
    before = monotonic_clock() - 10.0
    record_crash(harness.suspects, b"other", Crash("x", 1, before, prompt_parts=SHARED))
    send_raw(harness, get_request())
    assert ((SHARED[0], ("x", 1)) in harness.suspects.cleared) is is_cleared


# Guards against a request with a refused part that is sent to an upstream, or refused
# with the claim that it has not run although this attempt of it has.
@pytest.mark.parametrize(("known_crashes", "was_run"), [(3, "no"), (2, "yes")])
def test_request_with_a_refused_prompt_part(known_crashes, was_run):
    harness = RelayHarness([crash], ONCE, prompt_parts=PROMPT)
    now = monotonic_clock()
    for number in range(known_crashes):
        at = now - 10.0 + number
        one = Crash(f"x{number}", 1, at, prompt_parts=SHARED)
        record_crash(harness.suspects, b"%d" % number, one)
    response = send_raw(harness, get_request())
    refusal = msgspec.json.decode(response.partition(b"\r\n\r\n")[2])
    assert refusal == {"kind": "request_crashes_upstreams", "run": was_run}
    assert len(harness.received_requests) == (known_crashes < 3)


# Guards against a request whose part is refused while its first attempt runs, and which
# then crashes another upstream.
def test_no_further_attempt_follows_once_the_prompt_part_is_refused():
    async def crash_with_others(request, stream):
        for number in range(2):
            at = monotonic_clock() - 10.0 + number
            one = Crash(f"x{number}", 1, at, prompt_parts=SHARED)
            record_crash(harness.suspects, b"%d" % number, one)
        return await crash(request, stream)

    harness = RelayHarness([crash_with_others] * 3, IDEMPOTENT, prompt_parts=PROMPT)
    response = send_raw(harness, get_request())
    refusal = msgspec.json.decode(response.partition(b"\r\n\r\n")[2])
    assert (refusal["kind"], refusal["run"]) == ("request_crashes_upstreams", "yes")
    assert len(harness.received_requests) == 1
