import pytest

from cranberryfield.core.deployment import (
    Deployment,
    Route,
    RouteKind,
    RouteTable,
    ServiceSpec,
    WeightedService,
    WorkspaceSpec,
    decode_deployment,
    encode_deployment,
    validate_deployment,
)


def make_route(prefix, host="a.example", service="drafts", **changes):
    fields = {
        "name": f"{host}{prefix}",
        "kind": RouteKind.IDEMPOTENT,
        "targets": (WeightedService(service, 1),),
        "timeout_ms": 800.0,
        "target_ms": 100.0,
    }
    return Route(host=host, prefix=prefix, **{**fields, **changes})


def make_deployment(*routes, workspaces=()):
    return Deployment(3, routes, (ServiceSpec("drafts"),), workspaces)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/x/y/z", "/x/y/"),
        ("a.example", "/x/y/", "/x/y/"),
        ("a.example:8080", "/x/other?to=/x/y/", "/x/"),
        ("A.Example", "/x/", "/x/"),
        ("a.example", "/x", None),
        ("a.example", "/xy/", None),
        ("b.example", "/x/", None),
        ("a.example", "", None),
    ],
)
def test_find_route_returns_the_longest_prefix(host, path, expected):
    table = RouteTable.from_deployment(
        make_deployment(make_route("/x/"), make_route("/x/y/"))
    )
    found = table.find_route(host, path)
    assert (found and found.prefix) == expected


@pytest.mark.parametrize(
    ("deployment", "message"),
    [
        (make_deployment(make_route("/x/", service="gone")), "unknown service gone"),
        (make_deployment(make_route("/x/"), make_route("/x/")), "2 routes"),
        (
            make_deployment(make_route("/x/", targets=(WeightedService("drafts", 0),))),
            "add up to 0",
        ),
        (make_deployment(make_route("/x/", targets=())), "add up to 0"),
        (make_deployment(make_route("/x/", timeout_ms=0)), "timeout"),
        (
            make_deployment(
                workspaces=(WorkspaceSpec("a", ("k",)), WorkspaceSpec("b", ("k",)))
            ),
            "workspaces a, b share a key",
        ),
    ],
)
def test_each_fault_is_reported(deployment, message):
    (fault,) = validate_deployment(deployment)
    assert message in fault


def test_valid_deployment_has_no_faults_and_can_be_encoded():
    valid_deployment = make_deployment(
        make_route("/x/"), workspaces=(WorkspaceSpec("a", ("k", "l")),)
    )
    assert validate_deployment(valid_deployment) == []
    assert decode_deployment(encode_deployment(valid_deployment)) == valid_deployment


@pytest.mark.parametrize(("key", "name"), [("k", "a"), ("l", "a"), ("m", None)])
def test_find_workspace_by_key(key, name):
    table = RouteTable.from_deployment(
        make_deployment(workspaces=(WorkspaceSpec("a", ("k", "l")),))
    )
    found = table.find_workspace(key)
    assert (found and found.name) == name
