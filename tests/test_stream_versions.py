"""Streams while upstreams of several software versions serve, on real processes."""

import socket
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import httpx
import pytest

from standins.platform_cluster import (
    CONTROL,
    RELAYS,
    deployment_document,
    read_stream,
    running_cluster,
)
from standins.platform_runner import STREAM_EVENTS
from standins.processes import wait_until
from standins.runner_fleet import RunnerFleet

OK, REFUSED = 200, 503
VERSIONS = ("v1", "v1.1", "v2")
RUNNERS = 6
STREAMS = 18
LONG_DEADLINE_MS = 60_000
FIRST_REQUEST_S = 1.0


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with running_cluster(tmp_path_factory.mktemp("cluster")) as running:
        running.depart("control-1", "i-1")
        assert running.declare_deployment("control-1", deployment_document(50)) == OK
        yield running


@pytest.fixture
def fleet(cluster):
    with RunnerFleet(cluster, RUNNERS, versions=VERSIONS) as running:
        for relay in RELAYS:
            wait_until(lambda one=relay: serves_all(cluster, running, one), relay)
        yield running


@pytest.fixture
def stack():
    with ExitStack() as entered:
        yield entered


def serves_all(cluster, fleet, relay):
    """Return whether a relay knows all runners of the fleet and no other."""
    lines = cluster.processes[relay].log.read_text().splitlines()
    known = {one for one in fleet.runner_ids for line in lines if f'"{one}"' in line}
    return known == set(fleet.runner_ids) and is_served(cluster, fleet, relay)


def is_served(cluster, fleet, relay):
    try:
        status, events = read_stream(cluster, relay, "probe")
    except httpx.HTTPError:
        return False
    return status == OK and events[0][1] in fleet.runner_ids


def take_up(cluster, relay, request, events):
    """Take a stream up again after the events that were received."""
    return read_stream(
        cluster,
        relay,
        f"{request}-again",
        **{"Resumes": request, "Last-Event-Id": str(events[-1][0])},
    )


def versions_of(fleet, events):
    return {fleet.version_of(runner) for _, runner in events}


# Guards against a stream that a caller takes up again at another relay, and that goes
# on at an upstream of another software version, whose events do not fit to the first.
@pytest.mark.parametrize("is_killed", [False, True], ids=["left", "killed"])
def test_a_stream_goes_on_at_the_version_that_began_it(cluster, fleet, is_killed):
    name = f"stream-{is_killed}"

    def begin(number):
        request = f"{name}-{number}"
        # Beginnings of different length, as callers lose their connections at any time.
        limit = STREAM_EVENTS if is_killed else 1 + number % 4
        return request, *read_stream(cluster, RELAYS[0], request, limit)

    with ThreadPoolExecutor(STREAMS) as threads:
        begun = [threads.submit(begin, number) for number in range(STREAMS)]
        if is_killed:
            wait_until(
                lambda: (
                    sum(words[0].startswith(name) for words in fleet.journal) == STREAMS
                ),
                "all streams run",
            )
            # Their first events have arrived when a later one has some.
            read_stream(cluster, RELAYS[1], "later", 4)
            cluster.processes[RELAYS[0]].kill()
        streams = [one.result() for one in begun]
    if is_killed:
        cluster.processes[RELAYS[0]].start()
    assert all(status == OK and events for _, status, events in streams)
    streams = [one for one in streams if len(one[2]) < STREAM_EVENTS]
    first = [events for _, _, events in streams]
    assert {version for one in first for version in versions_of(fleet, one)} == set(
        VERSIONS
    )
    with ThreadPoolExecutor(STREAMS) as threads:
        rest = list(
            threads.map(
                lambda one: take_up(cluster, RELAYS[1], one[0], one[2]), streams
            )
        )
    for begun_events, (status, events) in zip(first, rest, strict=True):
        assert status == OK
        together = begun_events + events
        assert [number for number, _ in together] == list(range(1, STREAM_EVENTS + 1))
        assert len(versions_of(fleet, together)) == 1


# Guards against a stream that goes on anywhere since nobody knows any more which
# version began it.
def test_a_stream_of_unknown_version_is_refused(cluster, fleet):
    status, events = read_stream(cluster, RELAYS[0], "forgotten", 2)
    assert status == OK
    for name in [*CONTROL, RELAYS[0]]:
        cluster.processes[name].kill()
    for name in [*CONTROL, RELAYS[0]]:
        cluster.processes[name].start()
    for relay in RELAYS:
        wait_until(lambda one=relay: is_served(cluster, fleet, one), relay)
    assert take_up(cluster, RELAYS[1], "forgotten", events) == (REFUSED, [])


# Guards against a stream that is refused since all control hosts have restarted,
# although its relay knows it.
def test_a_stream_goes_on_although_control_hosts_have_restarted(cluster, fleet):
    deadline = {"Deadline-Ms": str(LONG_DEADLINE_MS)}
    status, events = read_stream(cluster, RELAYS[0], "remembered", 2, **deadline)
    assert status == OK
    for name in CONTROL:
        cluster.processes[name].kill()
    for name in CONTROL:
        cluster.processes[name].start()
    for relay in RELAYS:
        wait_until(lambda one=relay: is_served(cluster, fleet, one), relay)
    wait_until(
        lambda: take_up(cluster, RELAYS[1], "remembered", events)[0] == OK,
        "a control host knows the stream",
    )


# Guards against a stream that cannot go on where only one version has ever served.
def test_a_stream_goes_on_if_there_is_one_version(cluster):
    with RunnerFleet(cluster, RUNNERS) as fleet:
        wait_until(lambda: is_served(cluster, fleet, RELAYS[1]), "the fleet serves")
        status, events = read_stream(cluster, RELAYS[0], "one-version", 2)
        assert status == OK
        status, rest = take_up(cluster, RELAYS[1], "one-version", events)
        assert status == OK
        assert len(events + rest) == STREAM_EVENTS


def begin_streams(cluster, name):
    """Begin streams at both relays and leave them; return their first events."""
    deadline = {"Deadline-Ms": str(LONG_DEADLINE_MS)}

    def begin(number):
        request = f"{name}-{number}"
        limit = 1 + number % 4
        relay = RELAYS[number % 2]
        return request, *read_stream(cluster, relay, request, limit, **deadline)

    with ThreadPoolExecutor(STREAMS) as threads:
        streams = list(threads.map(begin, range(STREAMS)))
    assert all(status == OK and events for _, status, events in streams)
    return {request: events for request, _, events in streams}


def take_up_all(cluster, streams):
    """Take streams up, each at one of the relays in turn."""
    with ThreadPoolExecutor(STREAMS) as threads:
        ends = [
            threads.submit(take_up, cluster, RELAYS[number % 2], request, events)
            for number, (request, events) in enumerate(streams.items())
        ]
        return [one.result() for one in ends]


def restart(cluster, names):
    for name in names:
        cluster.processes[name].kill()
    for name in names:
        cluster.processes[name].start()


def wait_until_announced(cluster, fleet):
    """Wait until a control host has heard of all runners of a fleet."""

    def is_announced():
        logs = [cluster.processes[one].log.read_text() for one in CONTROL]
        return all(any(f'"{one}"' in log for log in logs) for one in fleet.runner_ids)

    wait_until(is_announced, "the fleet is announced")


# Guards against streams that are refused though their version serves: they began while
# it was the only one, and all relays were killed when the second one appeared.
def test_streams_go_on_after_the_loss_of_all_relays(cluster):
    with RunnerFleet(cluster, RUNNERS) as first:
        for relay in RELAYS:
            wait_until(lambda one=relay: is_served(cluster, first, one), relay)
        streams = begin_streams(cluster, "all-relays")
        with RunnerFleet(cluster, RUNNERS, versions=("v2",), prefix="g") as second:
            wait_until_announced(cluster, second)
            restart(cluster, RELAYS)
            for relay in RELAYS:
                wait_until(lambda one=relay: cluster.is_ready(one), relay)
            ends = take_up_all(cluster, streams)
    for events, (status, rest) in zip(streams.values(), ends, strict=True):
        assert status == OK
        together = events + rest
        assert [number for number, _ in together] == list(range(1, STREAM_EVENTS + 1))
        assert {runner for _, runner in together} <= set(first.runner_ids)


# Guards against streams that are joined to the text of another version: the one that
# began them has left, and all hosts have lost their memory.
def test_streams_are_refused_after_the_loss_of_all_hosts(cluster, stack):
    with RunnerFleet(cluster, RUNNERS) as first:
        for relay in RELAYS:
            wait_until(lambda one=relay: is_served(cluster, first, one), relay)
        streams = begin_streams(cluster, "all-hosts")
        second = stack.enter_context(
            RunnerFleet(cluster, RUNNERS, versions=("v2",), prefix="h")
        )
        wait_until_announced(cluster, second)
    restart(cluster, [*CONTROL, *RELAYS])
    for relay in RELAYS:
        wait_until(lambda one=relay: is_served(cluster, second, one), relay)
    assert take_up_all(cluster, streams) == [(REFUSED, [])] * STREAMS


# Guards against a relay that waits for something before it serves after a loss of all
# relays. The time counts from the moment at which it accepts connections.
def test_first_requests_are_served_soon_after_the_loss_of_all_relays(cluster, fleet):
    restart(cluster, RELAYS)
    for relay in RELAYS:
        address = (cluster.ip_addresses[relay], cluster.relay_port)
        wait_until(lambda one=address: accepts(one), f"{relay} accepts connections")
    returned_at = time.monotonic()
    for relay in RELAYS:
        wait_until(lambda one=relay: cluster.request_status(one) == OK, relay)
    assert time.monotonic() - returned_at < FIRST_REQUEST_S


def accepts(address):
    try:
        socket.create_connection(address, 1.0).close()
    except OSError:
        return False
    return True


# Guards against ORDER: a relay that had stood still while upstreams of another version
# joined took streams up that had begun there.
@pytest.mark.parametrize("names_first", [True, False], ids=["named", "unnamed"])
def test_a_relay_that_stood_still_joins_no_versions(cluster, names_first):
    name = f"still-{names_first}"
    with RunnerFleet(cluster, 2, prefix=f"{name}-a") as before:
        wait_until(lambda: is_served(cluster, before, RELAYS[1]), RELAYS[1])
        cluster.processes[RELAYS[1]].freeze()
        try:
            with RunnerFleet(cluster, 2, versions=["v9"], prefix=f"{name}-b") as joined:
                streams = begin_at(cluster, RELAYS[0], name, joined)
                cluster.processes[RELAYS[1]].thaw()
                for request, events in streams.items():
                    extra = {"Resumes": request} if names_first else {}
                    status, rest = read_stream(
                        cluster,
                        RELAYS[1],
                        f"{request}-again",
                        **{"Last-Event-Id": str(events[-1][0]), **extra},
                    )
                    assert status in (OK, REFUSED)
                    assert {one for _, one in rest} <= set(joined.runner_ids)
                wait_until(
                    lambda: take_up_some(cluster, streams, joined),
                    f"{RELAYS[1]} goes on with a stream",
                )
        finally:
            cluster.processes[RELAYS[1]].thaw()


def begin_at(cluster, relay, name, fleet):
    """Begin streams at a relay; return the first events of some at a fleet."""
    streams = {}

    def begin_another():
        request = f"{name}-{time.monotonic_ns()}"
        deadline = {"Deadline-Ms": str(LONG_DEADLINE_MS)}
        status, events = read_stream(cluster, relay, request, 2, **deadline)
        if status == OK and events[0][1] in fleet.runner_ids:
            streams[request] = events
        return len(streams) >= RUNNERS

    wait_until(begin_another, f"{relay} begins streams at {fleet.runner_ids}")
    return streams


def take_up_some(cluster, streams, fleet):
    """Return whether a stream goes on at the fleet at which it began."""
    request, events = next(iter(streams.items()))
    status, rest = take_up(cluster, RELAYS[1], request, events)
    return status == OK and rest[0][1] in fleet.runner_ids
