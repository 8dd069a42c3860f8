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


def encoded_with(path, value):
    document = copy.deepcopy(DOCUMENT)
    container = document
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return msgspec.json.encode(document)


def test_a_valid_deployment_is_parsed():
    encoded = msgspec.json.encode(DOCUMENT)
    parsed = parse_deployment(encoded)
    (route,) = parsed.routes
    assert (parsed.version, parsed.document) == (7, encoded)
    assert (route.kind, route.rank, route.resumable) == (RouteKind.STREAM, 1, True)
    assert [(target.service, target.weight) for target in route.targets] == [
        ("s1", 90),
        ("s2", 10),
    ]
    assert parsed.services[0].engine.places == 32
    assert parsed.services[0].scaling.reclaimable_ratio == 0.18
    assert parsed.workspaces[0].counts_tokens
    assert parsed.limits.idle_timeout_ms == 15000


def test_a_route_may_name_a_single_service():
    document = copy.deepcopy(DOCUMENT)
    del document["routes"][0]["backends"]
    document["routes"][0]["service"] = "s2"
    parsed = parse_deployment(msgspec.json.encode(document))
    assert [target.service for target in parsed.routes[0].targets] == ["s2"]


@pytest.mark.parametrize(
    ("document", "message"),
    [
        (b"", "cannot be read"),
        (msgspec.json.encode(DOCUMENT)[:-20], "cannot be read"),
        (b"\xff\xfe", "cannot be read"),
        (b"[]", "cannot be read"),
        (encoded_with(["version"], "7"), "cannot be read"),
        (encoded_with(["version"], None), "cannot be read"),
        (encoded_with(["routes", 0, "route_type"], "other"), "cannot be read"),
        (encoded_with(["version"], 1 << 64), "cannot be read"),
        (encoded_with(["routes", 0, "timeout_ms"], 10**400), "cannot be read"),
        (encoded_with(["routes", 0, "max_attempts"], 1 << 64), "cannot be read"),
        (encoded_with(["services", 0, "engine", "slots"], 1 << 64), "cannot be read"),
        (encoded_with(["limits", "idle_timeout_ms"], 10**400), "cannot be read"),
        (encoded_with(["limits", "max_body_bytes"], -1), "cannot be read"),
        (encoded_with(["tenants", 0, "burst"], 10**400), "cannot be read"),
        (encoded_with(["routes", 0, "timeout_ms"], 0), "timeout"),
        (
            encoded_with(["routes", 0, "backends", 0, "service"], "s9"),
            "unknown service",
        ),
        (encoded_with(["routes", 0, "backends"], []), "add up to 0"),
        (encoded_with(["routes"], [ROUTE, ROUTE]), "2 routes"),
        (
            encoded_with(["routes"], [ROUTE, {**ROUTE, "hostname": "A.Example"}]),
            "2 routes",
        ),
        (
            encoded_with(
                ["tenants"],
                [*DOCUMENT["tenants"], {"name": "t2", "api_keys": ["k2"]}],
            ),
            "share a key",
        ),
    ],
)
def test_an_invalid_deployment_is_rejected_with_the_reason(document, message):
    with pytest.raises(ControlError, match=message):
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


def test_a_heartbeat_is_parsed():
    parsed = parse_announcement("i-1", msgspec.json.encode(HEARTBEAT))
    assert (parsed.upstream, parsed.service, parsed.data_centre) == (
        "i-1",
        "s1",
        "fann",
    )
    assert (parsed.incarnation, parsed.sequence, parsed.capacity) == (
        1786193390232,
        4,
        32,
    )
    assert (parsed.leaving, parsed.machine_class) == (False, "on-demand")
    assert parsed.software_version == "v1"


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
def test_departure_and_reclaim_fields_are_parsed(fields, leaving, machine_class):
    body = msgspec.json.encode({**HEARTBEAT, **fields})
    parsed = parse_announcement("i-1", body)
    assert (parsed.leaving, parsed.machine_class) == (leaving, machine_class)


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
        {"version": 3},
        {"born": 1 << 64},
        {"born": 0x9C41D07BE2A35F68_9C41D07BE2A35F68},
        # In microseconds.
        {"born": 1786193390232000},
        {"born": -1},
        {"seq": 1 << 64},
        {"slots": 1 << 64},
        {"leaves_ms": 1e30},
        {"leaves_ms": -1.0},
        {"leaves_ms": "soon"},
        {"service": "s" * 300},
        {"zone": "z" * 300},
        {"version": "v" * 300},
        {"preemptible": 1},
    ],
)
def test_a_heartbeat_with_an_invalid_field_is_rejected(fields):
    body = msgspec.json.encode({**HEARTBEAT, **fields})
    with pytest.raises(CallerError):
        parse_announcement("i-1", body)


@pytest.mark.parametrize("missing", ["service", "address", "zone", "state", "seq"])
def test_a_heartbeat_without_a_required_field_is_rejected(missing):
    body = {key: value for key, value in HEARTBEAT.items() if key != missing}
    with pytest.raises(CallerError):
        parse_announcement("i-1", msgspec.json.encode(body))


@pytest.mark.parametrize("body", [b"", b"{", b"null", b"[1]", b"\xff"])
def test_a_malformed_heartbeat_is_rejected(body):
    with pytest.raises(CallerError):
        parse_announcement("i-1", body)


@pytest.mark.parametrize(
    ("body", "expected"), [(b"", None), (b"{}", None), (b'{"born": 5}', 5)]
)
def test_a_departure_may_name_an_incarnation(body, expected):
    assert parse_departure(body) == expected


@pytest.mark.parametrize("born", [1 << 64, -1, 1786193390232000, "now"])
def test_a_departure_of_an_impossible_incarnation_is_rejected(born):
    with pytest.raises(CallerError):
        parse_departure(msgspec.json.encode({"born": born}))
