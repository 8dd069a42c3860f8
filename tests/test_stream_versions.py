"""Streams while upstreams of several software versions serve, on real processes."""

from concurrent.futures import ThreadPoolExecutor

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
