"""Parsing of deployments and runner heartbeats, both valid and invalid."""

import copy

import msgspec
import pytest

from cranberryfield.core.deployment import RouteKind
from cranberryfield.core.errors import CallerError, ControlError
from cranberryfield.platform.announcements import parse_announcement, parse_departure
from cranberryfield.platform.deployments import parse_deployment

ROUTE = {
    "name": "r1",
    "hostname": "a.example",
    "path_prefix": "/x/",
    "route_type": "streaming",
    "timeout_ms": 9000,
    "latency_goal_ms": 500,
    "priority": 1,
    "backends": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
    "max_attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "itl_target_ms": 500,
    "field of a later version": 1,
}
SERVICE = {
    "name": "s1",
    "health_path": "/healthz",
    "max_conns": 250,
    "engine": {"slots": 32, "kv_capacity": 680949, "models": [{"name": "m"}]},
    "scaling": {
        "min": 1,
        "max": 5,
        "boot_s": 4.0,
        "price_ratio": 0.18,
        "zone_prices": {"fann": 0.8},
    },
}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE],
    "services": [SERVICE, {"name": "s2"}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {
            "name": "t1",
            "api_keys": ["k1", "k2"],
            "priority": 1,
            "unit": "token_count",
            "uncached_tokens": 200,
            "rate_per_s": 182202,
            "burst": 182202,
        }
    ],
}


def changed(path, value):
    document = copy.deepcopy(DOCUMENT)
    place = document
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    return msgspec.json.encode(document)


def test_a_whole_document_is_read_under_the_products_names():
    encoded = msgspec.json.encode(DOCUMENT)
    found = parse_deployment(encoded)
    (route,) = found.routes
    assert (found.version, found.document) == (7, encoded)
    assert (route.kind, route.rank, route.resumable) == (RouteKind.STREAM, 1, True)
    assert [(one.service, one.weight) for one in route.targets] == [
        ("s1", 90),
        ("s2", 10),
    ]
    assert found.services[0].engine.places == 32
    assert found.services[0].scaling.reclaimable_ratio == 0.18
    assert found.workspaces[0].counts_tokens
    assert found.limits.idle_timeout_ms == 15000


def test_a_route_may_name_one_service():
    document = copy.deepcopy(DOCUMENT)
    del document["routes"][0]["backends"]
    document["routes"][0]["service"] = "s2"
    found = parse_deployment(msgspec.json.encode(document))
    assert [one.service for one in found.routes[0].targets] == ["s2"]


@pytest.mark.parametrize(
    ("document", "words"),
    [
        (b"", "cannot be read"),
        (msgspec.json.encode(DOCUMENT)[:-20], "cannot be read"),
        (b"\xff\xfe", "cannot be read"),
        (b"[]", "cannot be read"),
        (changed(["version"], "7"), "cannot be read"),
        (changed(["version"], None), "cannot be read"),
        (changed(["routes", 0, "route_type"], "other"), "cannot be read"),
        (changed(["routes", 0, "timeout_ms"], 0), "timeout"),
        (changed(["routes", 0, "backends", 0, "service"], "s9"), "unknown service"),
        (changed(["routes", 0, "backends"], []), "add up to 0"),
        (changed(["routes"], [ROUTE, ROUTE]), "2 routes"),
        (
            changed(
                ["tenants"],
                [*DOCUMENT["tenants"], {"name": "t2", "api_keys": ["k2"]}],
            ),
            "share a key",
        ),
    ],
)
def test_an_invalid_document_is_refused_with_its_fault(document, words):
    with pytest.raises(ControlError, match=words):
        parse_deployment(document)


HEARTBEAT = {
    "service": "s1",
    "address": "10.128.0.9:8080",
    "zone": "fann",
    "version": "v1",
    "slots": 32,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": 1786193390232,
}


def test_a_heartbeat_is_read():
    found = parse_announcement("i-1", msgspec.json.encode(HEARTBEAT))
    assert (found.upstream, found.service, found.data_centre) == ("i-1", "s1", "fann")
    assert (found.incarnation, found.sequence, found.capacity) == (1786193390232, 4, 32)
    assert (found.leaving, found.machine_class) == (False, "on-demand")


@pytest.mark.parametrize(
    ("fields", "leaving", "machine_class"),
    [
        ({"state": "draining"}, True, "on-demand"),
        ({"preemptible": True}, False, "reclaimable"),
        (
            {"state": "draining", "preemptible": True, "leaves_ms": 2000.5},
            True,
            "reclaimable",
        ),
    ],
)
def test_notices_are_read(fields, leaving, machine_class):
    body = msgspec.json.encode({**HEARTBEAT, **fields})
    found = parse_announcement("i-1", body)
    assert (found.leaving, found.machine_class) == (leaving, machine_class)


@pytest.mark.parametrize(
    "fields",
    [
        {"state": "resting"},
        {"state": None},
        {"service": None},
        {"service": 4},
        {"service": ""},
        {"address": "nowhere"},
        {"address": None},
        {"slots": 0},
        {"slots": "32"},
        {"seq": -1},
        {"seq": "4"},
        {"born": "now"},
        {"born": 1.5},
        {"zone": 3},
    ],
)
def test_a_heartbeat_of_another_writer_names_no_runner(fields):
    body = msgspec.json.encode({**HEARTBEAT, **fields})
    with pytest.raises(CallerError):
        parse_announcement("i-1", body)


@pytest.mark.parametrize("missing", ["service", "address", "zone", "state", "seq"])
def test_a_heartbeat_without_a_field_names_no_runner(missing):
    body = {key: value for key, value in HEARTBEAT.items() if key != missing}
    with pytest.raises(CallerError):
        parse_announcement("i-1", msgspec.json.encode(body))


@pytest.mark.parametrize("body", [b"", b"{", b"null", b"[1]", b"\xff"])
def test_bytes_that_are_no_heartbeat_name_no_runner(body):
    with pytest.raises(CallerError):
        parse_announcement("i-1", body)


@pytest.mark.parametrize(
    ("body", "expected"), [(b"", None), (b"{}", None), (b'{"born": 5}', 5)]
)
def test_a_departure_may_say_which_start_it_means(body, expected):
    assert parse_departure(body) == expected
