"""Headers of caller requests, of requests to runners, and of runner responses."""

from types import SimpleNamespace

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
from cranberryfield.core.errors import CallerError, ErrorKind
from cranberryfield.core.http1 import RequestHead, ResponseHead, find_header
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.platform.callers import read_request
from cranberryfield.platform.runner_codec import UPSTREAM_CODEC

NOW = 50.0
TARGETS = (WeightedService("s1", 90), WeightedService("s2", 10))
RECORD = UpstreamRecord("i-1", 1, 1, "s1", "fann", "10.0.0.1:80", "", (), 8, 0)


def table():
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


def read(target=b"/x/1", found=None, **headers):
    sent = {"Host": "a.example", "Attempt-Id": "9c41", "Authorization": "Token k1"}
    sent.update({name.replace("_", "-"): value for name, value in headers.items()})
    pairs = [(k.encode(), v.encode()) for k, v in sent.items() if v is not None]
    exchange = SimpleNamespace(head=RequestHead(b"POST", target, pairs), body=b"body")
    return read_request(exchange, found or table(), lambda: NOW)


def test_a_request_is_read_under_the_products_names():
    found = read(
        Deadline_Ms="4000",
        Token_Usage="1460,80",
        Prefix_Hash="5c1e:800,91bd:410",
        Last_Event_Id="12",
    )
    assert (found.id, found.route.name, found.workspace.name) == ("9c41", "r1", "t1")
    assert found.deadline == NOW + 4.0
    assert (found.prompt_tokens, found.output_tokens) == (1460, 80)
    assert [(one.id, one.tokens) for one in found.prompt_parts] == [
        ("5c1e", 800),
        ("91bd", 410),
    ]
    assert (found.last_event_id, found.rank) == ("12", 3)


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
def test_what_fits_no_route_or_key_is_refused(target, headers, kind):
    with pytest.raises(CallerError) as caught:
        read(target, **headers)
    assert caught.value.kind is kind


@pytest.mark.parametrize(
    ("given", "left_s"),
    [("4000", 4.0), ("20000", 9.0), (None, 9.0), ("soon", 9.0), ("1500.5", 1.5005)],
)
def test_the_shorter_of_two_deadlines_counts(given, left_s):
    assert read(Deadline_Ms=given).deadline == pytest.approx(NOW + left_s)


@pytest.mark.parametrize("given", [None, "", "many", "1,", "a:b", "a:,:9"])
def test_figures_that_cannot_be_read_count_as_none(given):
    found = read(Token_Usage=given, Prefix_Hash=given)
    assert (found.prompt_tokens, found.output_tokens, found.prompt_parts) == (0, 0, ())


def test_a_public_route_needs_no_key():
    assert read(b"/open/1", Authorization=None).workspace is None


def test_requests_of_one_prompt_go_to_one_service_and_others_by_weight():
    same = {read(Attempt_Id=str(n), Prefix_Hash="aa:9").service for n in range(20)}
    assert len(same) == 1
    found = [read(Attempt_Id=f"id{n}").service for n in range(400)]
    assert 0.82 < found.count("s1") / len(found) < 0.97


SPOOFED = ["Tenant", "Target_Instance", "Kv_Retain", "Pin_Ms", "Kv_Backup", "Kv_From"]


@pytest.mark.parametrize("name", SPOOFED)
def test_what_the_system_sets_is_never_a_clients(name):
    request = read(**{name: "spoofed"})
    headers = UPSTREAM_CODEC.encode(request, RECORD, 700, None)
    assert b"spoofed" not in [value for _, value in headers]


def test_a_runner_gets_the_request_and_who_sent_it_but_not_the_key():
    request = read(X_Own="Kept", Token_Usage="10,5", Connection="close, X-Hop")
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
def test_responses_are_read(status, headers, not_run, misdirected, signed):
    pairs = [(k.encode(), v.encode()) for k, v in headers.items()]
    facts = UPSTREAM_CODEC.decode(ResponseHead(status, pairs))
    assert (facts.not_run, facts.is_misdirected) == (not_run, misdirected)
    assert facts.is_signed is signed
