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
    deployment_faults,
    encode_deployment,
)


def route(prefix, host="a.example", service="drafts", **changes):
    fields = {
        "name": f"{host}{prefix}",
        "kind": RouteKind.IDEMPOTENT,
        "targets": (WeightedService(service, 1),),
        "timeout_ms": 800.0,
        "target_ms": 100.0,
    }
    return Route(host=host, prefix=prefix, **{**fields, **changes})


def deployment(*routes, workspaces=()):
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
def test_the_longest_prefix_wins(host, path, expected):
    table = RouteTable.from_deployment(deployment(route("/x/"), route("/x/y/")))
    found = table.find_route(host, path)
    assert (found and found.prefix) == expected


@pytest.mark.parametrize(
    ("faulty", "words"),
    [
        (deployment(route("/x/", service="gone")), "unknown service gone"),
        (deployment(route("/x/"), route("/x/")), "2 routes"),
        (
            deployment(route("/x/", targets=(WeightedService("drafts", 0),))),
            "add up to 0",
        ),
        (deployment(route("/x/", targets=())), "add up to 0"),
        (deployment(route("/x/", timeout_ms=0)), "timeout"),
        (
            deployment(
                workspaces=(WorkspaceSpec("a", ("k",)), WorkspaceSpec("b", ("k",)))
            ),
            "workspaces a, b share a key",
        ),
    ],
)
def test_what_cannot_work_is_named(faulty, words):
    (fault,) = deployment_faults(faulty)
    assert words in fault


def test_a_sound_deployment_has_no_faults_and_survives_encoding():
    sound = deployment(route("/x/"), workspaces=(WorkspaceSpec("a", ("k", "l")),))
    assert deployment_faults(sound) == []
    assert decode_deployment(encode_deployment(sound)) == sound


@pytest.mark.parametrize(("key", "name"), [("k", "a"), ("l", "a"), ("m", None)])
def test_keys_name_their_workspace(key, name):
    table = RouteTable.from_deployment(
        deployment(workspaces=(WorkspaceSpec("a", ("k", "l")),))
    )
    found = table.find_workspace(key)
    assert (found and found.name) == name
