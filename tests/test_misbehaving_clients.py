"""Clients that send more than they may, or leave what they are sent, at each listener.

Real processes on loopback with few descriptors. The bounds are those of the smallest
machines on which the processes run; a crowd ends at the first breach of its bound.
"""

from itertools import count

import httpx
import pytest
from h2.connection import H2Connection

from standins.crowd import Crowd, CrowdSpec
from standins.fleets import HOSTS, RELEVE_KEY, fleet_settings, start_upstreams
from standins.group import running_group
from standins.platform_cluster import deployment_document, running_cluster
from standins.platform_runner import ANSWER_HEADER, DURATION_HEADER
from standins.processes import wait_until

OK = 200
MIB = 1 << 20
#: Memory of the smallest machine of each role, in bytes.
RELAY_MEMORY_BYTES = 160 * MIB
CONTROL_MEMORY_BYTES = 256 * MIB
ENTRY_MEMORY_BYTES = 300 * MIB
#: Descriptors that a process may open here, and those left without the reserve that
#: is kept for files.
DESCRIPTORS = 500
MAX_DESCRIPTORS = 300
MAX_BODY_BYTES = 4 * MIB
#: Bytes that a client sends at most if nothing stops it.
SENT_BYTES = 16 * MIB

RELAY, CONTROL = "relay-1", "control-1"
#: Numbers of the announcements of the runner.
ANNOUNCEMENTS = count(2)
PIECE = b"x" * 4_096
CHUNK = b"1000\r\n" + PIECE + b"\r\n"
LINES = b"".join(b"Name-%d: value\r\n" % number for number in range(100))
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def request(target="/x/1", method="POST", body=b"", **headers):
    """Return a request that a runner serves."""
    lines = [f"{method} {target} HTTP/1.1", "Host: a.example", "Attempt-Id: crowd"]
    lines += ["Authorization: Token k1", "Deadline-Ms: 4000"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode()


def begun(*lines):
    """Return the beginning of a request without a length."""
    head = ["POST /x/1 HTTP/1.1", "Host: a.example", *lines]
    return "\r\n".join(head).encode() + b"\r\n"


def announced(size, target="/x/1"):
    return (
        f"POST {target} HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n".encode()
    )


def ahead(target):
    return f"GET {target} HTTP/1.1\r\nHost: a.example\r\n\r\n".encode()


def endless(head, unit, connections=100):
    return CrowdSpec(connections, head, unit, SENT_BYTES)


def within_limits(connections=100, size=MAX_BODY_BYTES, missing=1, **headers):
    """Return a crowd of requests with large bodies, without their last bytes."""
    head = request(body=bytes(size), **headers)
    return CrowdSpec(connections, head, PIECE, size - missing)


EXPECTING = request(Expect="100-continue", body=b"x") + b"x"
HANDSHAKE = (
    b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
)
#: Head of a masked binary frame of 30 MiB, and of one of 1 KiB with its payload.
LARGE_FRAME = b"\x82\xff" + (30 * MIB).to_bytes(8, "big") + bytes(4)
SMALL_FRAME = b"\x82\xfe" + (1_024).to_bytes(2, "big") + bytes(4 + 1_024)

#: Name, listener and crowd, at a relay.
RELAY_CROWDS = [
    ("ready-ahead", "ready", endless(b"", ahead("/readyz"))),
    ("ahead-without-headers", "callers", endless(b"", ahead("/x/1"))),
    ("ahead-expecting", "callers", endless(b"", EXPECTING)),
    ("ahead-whole", "callers", endless(b"", request())),
    ("metrics-ahead", "metrics", endless(b"", ahead("/metrics"))),
    ("body-announced", "callers", endless(announced(1 << 40), PIECE)),
    ("body-chunks", "callers", endless(begun() + CHUNKED, CHUNK)),
    ("ready-body", "ready", endless(announced(MAX_BODY_BYTES, "/readyz"), PIECE)),
    ("ready-chunks", "ready", endless(begun() + CHUNKED, CHUNK)),
    ("metrics-body", "metrics", endless(announced(MAX_BODY_BYTES, "/metrics"), PIECE)),
    ("bodies-unfinished", "callers", within_limits()),
    (
        "bodies-whole",
        "callers",
        within_limits(missing=0, **{DURATION_HEADER: 3_000}),
    ),
    ("request-line", "callers", endless(b"GET /", PIECE)),
    ("header-line", "callers", endless(begun() + b"Name: ", PIECE)),
    ("header-lines", "callers", endless(begun(), LINES)),
    ("chunk-size", "callers", endless(begun() + CHUNKED, b"0" * 4_096)),
    ("chunk-extension", "callers", endless(begun() + CHUNKED + b"1;", PIECE)),
    ("trailers", "callers", endless(begun() + CHUNKED + b"0\r\n", LINES)),
    (
        "bytes-after-a-request",
        "callers",
        endless(request(**{DURATION_HEADER: 3_000}), PIECE),
    ),
    (
        "answers-unread",
        "callers",
        endless(b"", request(**{ANSWER_HEADER: 400_000})),
    ),
    (
        "large-answers-unread",
        "callers",
        CrowdSpec(60, request(**{ANSWER_HEADER: 64 * MIB})),
    ),
    ("idle", "callers", CrowdSpec(450, b"", reconnections=4_000)),
    ("idle-ready", "ready", CrowdSpec(450, b"", reconnections=4_000)),
    ("head-begun", "callers", CrowdSpec(450, begun(), reconnections=4_000)),
    ("body-begun", "callers", CrowdSpec(450, announced(9), reconnections=4_000)),
    (
        "come-and-go",
        "callers",
        CrowdSpec(100, begun(), reconnections=3_000, closes=True),
    ),
    (
        "answered-and-kept",
        "callers",
        CrowdSpec(450, request(), reads=True, reconnections=4_000),
    ),
    ("mesh-header-lines", "mesh", endless(b"GET / HTTP/1.1\r\n", LINES)),
    (
        "mesh-large-frame",
        "mesh",
        CrowdSpec(60, HANDSHAKE + b"\r\n" + LARGE_FRAME, PIECE, 29 * MIB),
    ),
    ("mesh-frames", "mesh", endless(HANDSHAKE + b"\r\n", SMALL_FRAME)),
    ("mesh-idle", "mesh", CrowdSpec(450, b"", reconnections=4_000)),
]
#: The same at a control host, whose limit for a body is 32 MiB.
CONTROL_CROWDS = [
    ("ahead", "operators", endless(b"", ahead("/Config.Read"))),
    ("ahead-unknown", "operators", endless(b"", ahead("/none"))),
    (
        "bodies-unfinished",
        "operators",
        CrowdSpec(40, announced(31 * MIB, "/Config.Replace"), PIECE, 30 * MIB),
    ),
    ("body-announced", "operators", endless(announced(1 << 40), PIECE)),
    ("body-chunks", "operators", CrowdSpec(100, begun() + CHUNKED, CHUNK, 64 * MIB)),
    ("idle", "operators", CrowdSpec(450, b"", reconnections=4_000)),
    ("mesh-idle", "mesh", CrowdSpec(450, b"", reconnections=4_000)),
]
BEARER = f"Authorization: Bearer {RELEVE_KEY}"
#: Takes the place of the name of the first header, to add the key before it.
KEYED = f"{BEARER}\r\nHost".encode()


def http2_requests(count, *, has_key):
    """Return the beginnings of requests of one HTTP/2 connection, without a body."""
    connection = H2Connection()
    connection.initiate_connection()
    headers = [
        (":method", "POST"),
        (":path", "/v1/completions"),
        (":scheme", "http"),
        (":authority", "a"),
    ]
    if has_key:
        headers.append(("authorization", f"Bearer {RELEVE_KEY}"))
    for number in range(count):
        connection.send_headers(2 * number + 1, headers)
    return connection.data_to_send()


#: The same at an entry host, which hypercorn serves.
ENTRY_CROWDS = [
    ("ahead", endless(b"", ahead("/healthz/ready"))),
    ("ahead-unknown", endless(b"", ahead("/none"))),
    ("body-announced", endless(announced(1 << 40, "/v1/completions"), PIECE)),
    (
        "bodies-with-a-key",
        CrowdSpec(
            40,
            f"POST /v1/completions HTTP/1.1\r\nHost: a\r\n{BEARER}\r\n".encode()
            + CHUNKED,
            CHUNK,
            60 * MIB,
        ),
    ),
    ("header-lines", endless(b"GET / HTTP/1.1\r\nHost: a\r\n", LINES)),
    ("idle", CrowdSpec(450, b"", reconnections=4_000)),
    ("head-begun", CrowdSpec(450, begun(), reconnections=4_000)),
    ("body-begun", CrowdSpec(450, announced(9), reconnections=4_000)),
    ("come-and-go", CrowdSpec(100, begun(), reconnections=3_000, closes=True)),
    ("http2-streams", CrowdSpec(200, http2_requests(100, has_key=True))),
    ("http2-refused", CrowdSpec(200, http2_requests(100, has_key=False))),
]


def names_of(crowds):
    return [row[0] for row in crowds]


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    folder = tmp_path_factory.mktemp("cluster")
    with running_cluster(folder) as running:
        document = {
            **deployment_document(50),
            "limits": {"max_body_bytes": MAX_BODY_BYTES, "idle_timeout_ms": 60_000},
        }
        assert running.declare_deployment(CONTROL, document) == OK
        for name in (RELAY, CONTROL):
            running.processes[name].max_descriptors = DESCRIPTORS
        yield running


def restart(cluster, name, is_up):
    # A runner that is silent for long is forgotten.
    wait_until(
        lambda: cluster.announce("control-4", cluster.runner_port, next(ANNOUNCEMENTS)),
        "the runner is announced",
    )
    process = cluster.processes[name]
    process.kill()
    process.start()
    wait_until(is_up, f"{name} serves")
    return process


def relay_serves(cluster):
    return cluster.is_ready(RELAY) and cluster.request_status(RELAY) == OK


def control_serves(cluster):
    try:
        return cluster.call(CONTROL, "GET", "/Config.Read").status_code == OK
    except httpx.HTTPError:
        return False


def check_crowd(spec, address, process, max_memory_bytes, serves):
    """Run a crowd; check the bounds, and that the process serves beside it."""
    crowd = Crowd(spec, address, process.pid, max_memory_bytes, MAX_DESCRIPTORS)
    with crowd:
        crowd.wait_until_settled()
        assert not crowd.breach
        wait_until(serves, "an ordinary request is answered")
    assert not crowd.breach
    assert process.is_running
    print(f"peak: {crowd.peak}, closed by the server: {crowd.closed_count}")


@pytest.mark.parametrize(
    ("listener", "spec"), [row[1:] for row in RELAY_CROWDS], ids=names_of(RELAY_CROWDS)
)
def test_relay_stays_within_its_machine(cluster, listener, spec):
    process = restart(cluster, RELAY, lambda: relay_serves(cluster))
    ports = {
        "callers": cluster.relay_port,
        "ready": cluster.ready_port,
        "metrics": cluster.metrics_port,
        "mesh": cluster.mesh_port,
    }
    address = (cluster.ip_addresses[RELAY], ports[listener])
    check_crowd(
        spec, address, process, RELAY_MEMORY_BYTES, lambda: relay_serves(cluster)
    )


@pytest.mark.parametrize(
    ("listener", "spec"),
    [row[1:] for row in CONTROL_CROWDS],
    ids=names_of(CONTROL_CROWDS),
)
def test_control_host_stays_within_its_machine(cluster, listener, spec):
    process = restart(cluster, CONTROL, lambda: control_serves(cluster))
    ports = {"operators": cluster.control_port, "mesh": cluster.mesh_port}
    address = (cluster.ip_addresses[CONTROL], ports[listener])
    check_crowd(
        spec, address, process, CONTROL_MEMORY_BYTES, lambda: control_serves(cluster)
    )


# Until the deployment is known the limits are provisional, and far larger.
@pytest.mark.parametrize(
    "spec",
    [
        CrowdSpec(250, begun(), LINES, MIB - 4_096),
        endless(announced(1 << 40), PIECE),
        endless(begun() + CHUNKED, CHUNK),
        endless(b"", ahead("/x/1")),
    ],
    ids=["heads", "body-announced", "body-chunks", "ahead"],
)
def test_relay_without_a_deployment_stays_within_its_machine(cluster, spec):
    controls = [name for name in cluster.processes if name.startswith("control")]
    for name in controls:
        cluster.processes[name].freeze()
    try:
        process = cluster.processes[RELAY]
        process.kill()
        process.start()
        wait_until(lambda: cluster.request_status(RELAY) == 503, "the relay answers")
        address = (cluster.ip_addresses[RELAY], cluster.relay_port)
        check_crowd(
            spec,
            address,
            process,
            RELAY_MEMORY_BYTES,
            lambda: cluster.request_status(RELAY) == 503,
        )
    finally:
        for name in controls:
            cluster.processes[name].thaw()
    wait_until(lambda: relay_serves(cluster), "the relay serves again")


@pytest.mark.parametrize(
    "spec",
    [
        endless(b"", ahead("/x/1")),
        within_limits(20),
        CrowdSpec(200, begun(), reconnections=1_000),
    ],
    ids=["ahead", "bodies-unfinished", "head-begun"],
)
def test_relay_stops_while_such_clients_are_there(cluster, spec):
    process = restart(cluster, RELAY, lambda: relay_serves(cluster))
    address = (cluster.ip_addresses[RELAY], cluster.relay_port)
    crowd = Crowd(spec, address, process.pid, RELAY_MEMORY_BYTES, MAX_DESCRIPTORS)
    with crowd:
        crowd.wait_until_settled()
        assert not crowd.breach
        process.terminate()
        assert process.wait() == 0
    restart(cluster, RELAY, lambda: relay_serves(cluster))


@pytest.fixture(scope="module")
def group(tmp_path_factory):
    with running_group(tmp_path_factory.mktemp("group"), HOSTS) as running:
        running.wait_for_revision(
            running.change_settings(fleet_settings(), "f", "entry-1")
        )
        running.wait_for_upstreams(start_upstreams(running))
        running.hosts["entry-1"].process.max_descriptors = DESCRIPTORS
        yield running


def entry_serves(address):
    body = {"model": "redacteur", "prompt": "crack in the wall", "max_tokens": 4}
    try:
        response = httpx.post(
            f"http://{address}/v1/completions",
            json=body,
            headers={"Authorization": f"Bearer {RELEVE_KEY}"},
            timeout=5,
            trust_env=False,
        )
    except httpx.HTTPError:
        return False
    return response.status_code == OK


@pytest.mark.parametrize(
    "spec", [row[1] for row in ENTRY_CROWDS], ids=names_of(ENTRY_CROWDS)
)
def test_entry_host_stays_within_its_machine(group, spec):
    host = group.hosts["entry-1"]
    host.process.kill()
    host.process.start()
    wait_until(lambda: entry_serves(host.callers), "the entry host serves")
    address, _, port = host.callers.rpartition(":")
    check_crowd(
        spec,
        (address, int(port)),
        host.process,
        ENTRY_MEMORY_BYTES,
        lambda: entry_serves(host.callers),
    )


@pytest.mark.parametrize(
    "spec",
    [
        CrowdSpec(50, announced(9, "/v1/completions").replace(b"Host", KEYED)),
        CrowdSpec(50, begun()),
        endless(b"", ahead("/healthz/ready"), 50),
    ],
    ids=["body-begun", "head-begun", "ahead"],
)
def test_entry_host_stops_while_such_clients_are_there(group, spec):
    host = group.hosts["entry-1"]
    host.process.kill()
    host.process.start()
    wait_until(lambda: entry_serves(host.callers), "the entry host serves")
    address, _, port = host.callers.rpartition(":")
    crowd = Crowd(
        spec,
        (address, int(port)),
        host.process.pid,
        ENTRY_MEMORY_BYTES,
        MAX_DESCRIPTORS,
    )
    with crowd:
        crowd.wait_until_settled()
        assert not crowd.breach
        host.process.terminate()
        assert host.process.wait() == 0
    host.process.start()
    wait_until(lambda: entry_serves(host.callers), "the entry host serves")
