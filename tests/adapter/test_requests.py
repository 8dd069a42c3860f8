"""Headers of caller requests, of requests to runners, and of runner responses."""

from types import SimpleNamespace

import anyio
import msgspec
import pytest

from cranberryfield.core.deployment import (
    Deployment,
    Route,
    RouteKind,
    RouteTable,
    ServiceSpec,
    WeightedService,
    WorkspaceSpec,
)
from cranberryfield.core.errors import (
    CallerError,
    ErrorKind,
    UnavailableError,
    WasRun,
)
from cranberryfield.core.http1 import RequestHead, ResponseHead, find_header
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.stated_loads import StatedLoad
from cranberryfield.platform.callers import answer_error, read_request
from cranberryfield.platform.runner_codec import UPSTREAM_CODEC

NOW = 50.0
TARGETS = (WeightedService("s1", 90), WeightedService("s2", 10))
RECORD = UpstreamRecord("i-1", 1, 1, "s1", "fann", "10.0.0.1:80", "", (), 8, 0)


def route_table():
    workspaces = (WorkspaceSpec("t1", ("k1",), rank=3),)
    routes = (
        Route("r1", "a.example", "/x/", RouteKind.STREAM, TARGETS, 9_000.0, 500.0),
        Route(
            "r2",
            "a.example",
            "/open/",
            RouteKind.IDEMPOTENT,
            TARGETS[:1],
            800.0,
            100.0,
            public=True,
        ),
    )
    services = (ServiceSpec("s1"), ServiceSpec("s2"))
    return RouteTable.from_deployment(Deployment(1, routes, services, workspaces))


def parse(target=b"/x/1", routes=None, **headers):
    sent = {"Host": "a.example", "Attempt-Id": "9c41", "Authorization": "Token k1"}
    sent.update({name.replace("_", "-"): value for name, value in headers.items()})
    pairs = [(k.encode(), v.encode()) for k, v in sent.items() if v is not None]
    exchange = SimpleNamespace(head=RequestHead(b"POST", target, pairs), body=b"body")
    return read_request(exchange, routes or route_table(), lambda: NOW)


def test_request_headers_are_parsed():
    parsed = parse(
        Deadline_Ms="4000",
        Token_Usage="1460,80",
        Prefix_Hash="5c1e:800,91bd:410",
        Last_Event_Id="12",
        Resumes="7d3e",
    )
    assert (parsed.id, parsed.route.name, parsed.workspace.name) == ("9c41", "r1", "t1")
    assert parsed.deadline == NOW + 4.0
    assert (parsed.prompt_tokens, parsed.output_tokens) == (1460, 80)
    assert [(part.id, part.tokens) for part in parsed.prompt_parts] == [
        ("5c1e", 800),
        ("91bd", 410),
    ]
    assert (parsed.last_event_id, parsed.first_request) == ("12", "7d3e")
    assert parsed.rank == 3


@pytest.mark.parametrize(
    ("target", "headers", "kind"),
    [
        (b"/y/1", {}, ErrorKind.UNKNOWN_SERVICE),
        (b"/x/1", {"Host": "b.example"}, ErrorKind.UNKNOWN_SERVICE),
        (b"/x/1", {"Authorization": None}, ErrorKind.UNAUTHENTICATED),
        (b"/x/1", {"Authorization": "Token k9"}, ErrorKind.UNAUTHENTICATED),
        (b"/x/1", {"Authorization": "Bearer k1"}, ErrorKind.UNAUTHENTICATED),
        (b"/x/1", {"Attempt_Id": None}, ErrorKind.BAD_REQUEST),
    ],
)
def test_a_request_without_a_valid_route_key_or_id_is_rejected(target, headers, kind):
    with pytest.raises(CallerError) as caught:
        parse(target, **headers)
    assert caught.value.kind is kind


@pytest.mark.parametrize(
    ("value", "remaining_s"),
    [("4000", 4.0), ("20000", 9.0), (None, 9.0), ("soon", 9.0), ("1500.5", 1.5005)],
)
def test_the_earlier_of_route_and_caller_deadline_applies(value, remaining_s):
    assert parse(Deadline_Ms=value).deadline == pytest.approx(NOW + remaining_s)


@pytest.mark.parametrize(
    "value",
    [None, "", "many", "1,", "a:b", "a:,:9", "a:\xb2", "-5,-5", f"a:{'9' * 4500}"],
)
def test_invalid_token_counts_and_prefixes_are_ignored(value):
    parsed = parse(Token_Usage=value, Prefix_Hash=value)
    assert (parsed.prompt_tokens, parsed.output_tokens, parsed.prompt_parts) == (
        0,
        0,
        (),
    )


def test_a_public_route_needs_no_key():
    assert parse(b"/open/1", Authorization=None).workspace is None


def test_requests_with_one_prefix_share_a_service_and_others_follow_the_weights():
    same = {parse(Attempt_Id=str(n), Prefix_Hash="aa:9").service for n in range(20)}
    assert len(same) == 1
    services = [parse(Attempt_Id=f"id{n}").service for n in range(400)]
    assert 0.82 < services.count("s1") / len(services) < 0.97


RESERVED_HEADERS = [
    "Tenant",
    "Target_Instance",
    "Kv_Retain",
    "Pin_Ms",
    "Kv_Backup",
    "Kv_From",
]


@pytest.mark.parametrize("name", RESERVED_HEADERS)
def test_reserved_headers_of_callers_are_not_forwarded(name):
    request = parse(**{name: "spoofed"})
    headers = UPSTREAM_CODEC.encode(request, RECORD, 700, None)
    assert b"spoofed" not in [value for _, value in headers]


def test_a_runner_gets_the_request_and_workspace_but_not_the_key():
    request = parse(X_Own="Kept", Token_Usage="10,5", Connection="close, X-Hop")
    headers = UPSTREAM_CODEC.encode(request, RECORD, 700, "12")
    expected = {
        b"host": "a.example",
        b"attempt-id": "9c41",
        b"x-own": "Kept",
        b"token-usage": "10,5",
        b"deadline-ms": "700",
        b"tenant": "t1",
        b"target-instance": "i-1",
        b"request-urgency": "3",
        b"last-event-id": "12",
    }
    for name, value in expected.items():
        assert find_header(headers, name) == value
    assert find_header(headers, b"authorization") is None
    assert find_header(headers, b"connection") is None


@pytest.mark.parametrize(
    ("status", "headers", "not_run", "misdirected", "signed"),
    [
        (200, {"Server-Signature": "s"}, False, False, True),
        (503, {"Not-Executed": "1"}, True, False, False),
        (421, {}, False, True, False),
        (503, {}, False, False, False),
    ],
)
def test_response_headers_are_parsed(status, headers, not_run, misdirected, signed):
    pairs = [(k.encode(), v.encode()) for k, v in headers.items()]
    facts = UPSTREAM_CODEC.decode(ResponseHead(status, pairs))
    assert (facts.not_run, facts.is_misdirected) == (not_run, misdirected)
    assert facts.is_signed is signed


# Stated limit, the rate that is read, and the text that cannot be read.
STATED_LIMITS = [
    (None, None, None),
    ("1.4", 1.4, None),
    ("12", 12.0, None),
    # As programs write numbers of double precision.
    ("0.12345678901234568", 0.12345678901234568, None),
    ("0", 0.0, None),
    ("", None, ""),
    ("few", None, "few"),
    ("-1", None, "-1"),
    ("nan", None, "nan"),
    ("inf", None, "inf"),
    ("1.4, 2", None, "1.4, 2"),
]


@pytest.mark.parametrize(("stated", "rate", "invalid"), STATED_LIMITS)
def test_limit_of_a_runner_is_parsed(stated, rate, invalid):
    pairs = [] if stated is None else [(b"Server-Limit", stated.encode())]
    metadata = UPSTREAM_CODEC.decode(ResponseHead(200, pairs))
    invalid_fields = () if invalid is None else (("limit", invalid),)
    assert (metadata.limit_per_s, metadata.invalid_fields) == (rate, invalid_fields)


@pytest.mark.parametrize(("stated", "rate", "invalid"), STATED_LIMITS)
def test_statement_of_a_brittle_runner_is_parsed(stated, rate, invalid):
    pairs = [] if stated is None else [(b"Server-Brittle", stated.encode())]
    metadata = UPSTREAM_CODEC.decode(ResponseHead(200, pairs))
    invalid_fields = () if invalid is None else (("brittle", invalid),)
    assert metadata.tolerated_refusals_per_s == rate
    assert metadata.invalid_fields == invalid_fields


# Values of Instance-Load, the load, and what cannot be read.
STATED_LOADS = [
    ([], None, []),
    (["3,1,6"], StatedLoad(3, 1, 6), []),
    (["3,1,6,100"], StatedLoad(3, 1, 6, 1.0), []),
    ([" 3, 1 ,6 , 170.5 "], StatedLoad(3, 1, 6, 1.705), []),
    (["3,1,6,100", "4,0,6,120"], StatedLoad(4, 0, 6, 1.2), []),
    (["3,1,6,100", "none"], StatedLoad(3, 1, 6, 1.0), ["none"]),
    ([""], None, [""]),
    (["3,1"], None, ["3,1"]),
    (["-3,1,6,100"], None, ["-3,1,6,100"]),
    (["3,1,6,-5"], None, ["3,1,6,-5"]),
    (["3,1,6,0"], None, ["3,1,6,0"]),
    (["3,1,0,100"], None, ["3,1,0,100"]),
    (["3,1,6,nan"], None, ["3,1,6,nan"]),
    (["3,1,6,100,7"], None, ["3,1,6,100,7"]),
    (["1234567890,1,6,100"], None, ["1234567890,1,6,100"]),
    (["1.5,1,6,100"], None, ["1.5,1,6,100"]),
]


@pytest.mark.parametrize(("values", "load", "invalid"), STATED_LOADS)
def test_load_of_a_runner_is_parsed(values, load, invalid):
    pairs = [(b"Instance-Load", value.encode()) for value in values]
    metadata = UPSTREAM_CODEC.decode(ResponseHead(200, pairs))
    assert metadata.load == load
    assert list(metadata.invalid_fields) == [("load", text) for text in invalid]


# Status, values of Retry-After, the pause in seconds, and what cannot be read.
PAUSES = [
    (503, ["2"], 2.0, []),
    (503, ["0.25"], 0.25, []),
    (503, ["0"], 0.0, []),
    (503, ["7200"], 7200.0, []),
    (503, [], None, []),
    (503, ["1", "3"], 3.0, []),
    (503, ["soon", "3"], 3.0, ["soon"]),
    (503, ["-1"], None, ["-1"]),
    (503, ["nan"], None, ["nan"]),
    (503, ["1e9"], None, ["1e9"]),
    (503, [""], None, [""]),
    (503, ["Fri, 04 Dec 2026 10:00:00 GMT"], None, ["Fri, 04 Dec 2026 10:00:00 GMT"]),
    (429, ["2"], None, []),
    (200, ["2"], None, []),
]


@pytest.mark.parametrize(("status", "values", "pause_s", "invalid"), PAUSES)
def test_pause_that_a_runner_asks_for_is_parsed(status, values, pause_s, invalid):
    pairs = [(b"Retry-After", value.encode()) for value in values]
    metadata = UPSTREAM_CODEC.decode(ResponseHead(status, pairs))
    assert metadata.pause_s == pause_s
    assert list(metadata.invalid_fields) == [("pause", text) for text in invalid]


# Values of Server-Leaving, whether the runner leaves, and what cannot be read.
LEAVING_FLAGS = [
    ([], False, []),
    (["1"], True, []),
    (["0"], False, []),
    (["true"], False, ["true"]),
    ([""], False, [""]),
    (["1", "1"], True, []),
    (["0", "1"], True, []),
    (["yes", "1"], True, ["yes"]),
]


@pytest.mark.parametrize(("values", "is_leaving", "invalid"), LEAVING_FLAGS)
def test_notice_of_a_leaving_runner_is_parsed(values, is_leaving, invalid):
    pairs = [(b"Server-Leaving", value.encode()) for value in values]
    metadata = UPSTREAM_CODEC.decode(ResponseHead(200, pairs))
    assert metadata.is_leaving is is_leaving
    assert list(metadata.invalid_fields) == [("leaving", text) for text in invalid]


class RecordingExchange:
    """Caller's side of an exchange, which records the response."""

    async def respond(self, status, headers, body):
        self.status, self.headers, self.body = status, dict(headers), body


CRASHES, NOT_READY = ErrorKind.REQUEST_CRASHES_UPSTREAMS, ErrorKind.NOT_READY
# Statuses other than 408, 421, 429 and 503 promise nothing to the platform's clients.
ERROR_STATUSES = [
    (NOT_READY, WasRun.NO, 503),
    (CRASHES, WasRun.NO, 503),
    (CRASHES, WasRun.YES, 502),
    (CRASHES, WasRun.UNKNOWN, 502),
]


@pytest.mark.parametrize(("kind", "was_run", "status"), ERROR_STATUSES)
def test_error_response_promises_not_run_only_if_true(kind, was_run, status):
    error = UnavailableError(kind, "detail", was_run=was_run, retry_after_s=2.5)
    exchange = RecordingExchange()
    anyio.run(answer_error, exchange, error)
    problem = msgspec.json.decode(exchange.body)
    assert exchange.status == problem["status"] == status
    assert exchange.headers[b"Retry-After"] == b"2.500"
    assert problem["was_run"] == was_run.value
