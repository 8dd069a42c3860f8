"""Shared slots over real processes: two relays and a runner of two slots."""

from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from standins.platform_cluster import CONTROL, RELAYS, running_cluster
from standins.processes import wait_until

SLOTS = 2
RUN_MS = 150.0
REQUESTS = 12


def start_cluster(folder, is_shared):
    settings = [f"shared_slots: {str(is_shared).lower()}"]
    return running_cluster(folder, settings, SLOTS)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with start_cluster(tmp_path_factory.mktemp("shared"), True) as running:
        yield running


def send_together(cluster, name, deadline_ms=4_000):
    """Send requests to both relays at once; return their responses and start times."""
    ids = [f"{name}-{number}" for number in range(REQUESTS)]

    def send(number):
        return cluster.send_request(
            RELAYS[number % len(RELAYS)],
            request=ids[number],
            run_ms=RUN_MS,
            deadline_ms=deadline_ms,
        )

    with ThreadPoolExecutor(REQUESTS) as threads:
        responses = list(threads.map(send, range(REQUESTS)))
    lines = [line.split() for line in cluster.runs_path.read_text().splitlines()]
    return responses, sorted(float(one[2]) for one in lines if one[0] in ids)


def most_at_once(starts):
    return max(
        sum(start <= other < start + RUN_MS / 1000 for other in starts)
        for start in starts
    )


def logged(cluster, names, event):
    return [
        line
        for name in names
        for text in cluster.processes[name].log.read_text().splitlines()
        if f'"{event}"' in text and (line := msgspec.json.decode(text))
    ]


def wait_until_shared(cluster):
    def is_shared():
        before = cluster.runs_path.read_text().count("\n")
        responses, starts = send_together(cluster, f"probe{before}")
        is_whole = all(one is not None and one.is_success for one in responses)
        return is_whole and most_at_once(starts) <= SLOTS

    wait_until(is_shared, "slots are shared")


# Guards against relays that each send into an upstream that the other has filled.
def test_relays_together_use_no_more_slots_than_there_are(cluster):
    wait_until_shared(cluster)
    responses, starts = send_together(cluster, "shared")
    assert [one.status_code for one in responses] == [200] * REQUESTS
    assert (len(starts), most_at_once(starts)) == (REQUESTS, SLOTS)


# Guards against a request that waits for a slot until its deadline, although it could
# have been told at once to come back.
def test_what_cannot_be_served_in_time_is_refused_as_not_run(cluster):
    wait_until_shared(cluster)
    # The first run teaches how long a slot is held.
    send_together(cluster, "teach")
    responses, starts = send_together(cluster, "short", deadline_ms=500)
    # The status by which the platform says that a request was not run.
    refused = [one for one in responses if one.status_code == 503]
    assert len(starts) + len(refused) == REQUESTS
    assert refused
    assert all("retry-after" in one.headers for one in refused)
    log = logged(cluster, RELAYS, "request ended")
    outcomes = [one["outcome"] for one in log if one["request"].startswith("short")]
    assert sum("no slot of the service" in one for one in outcomes) == len(refused)
    assert most_at_once(starts) <= SLOTS


# Guards against relays that refuse, or wait, while the owner of the slots is lost.
def test_relays_serve_without_the_owner_and_share_again_with_the_next(cluster):
    wait_until_shared(cluster)
    known = logged(cluster, CONTROL, "leader known")
    leader = max(known, key=lambda line: line["term"])["leader"]
    owner = leader.partition("~")[0]
    cluster.processes[owner].kill()
    responses, _ = send_together(cluster, "lost")
    assert [one.status_code for one in responses] == [200] * REQUESTS
    text = "slots not shared: their owner is out of reach or lends nothing yet"
    wait_until(lambda: logged(cluster, RELAYS, text), "the loss is logged")
    wait_until(
        lambda: logged(cluster, RELAYS, "slots shared again"), "the return is logged"
    )
    cluster.processes[owner].start()
    wait_until_shared(cluster)


# Shows that the first test can fail: the same load without the setting.
def test_without_the_setting_the_runner_is_overfilled(tmp_path):
    with start_cluster(tmp_path, False) as running:
        _, starts = send_together(running, "apart")
        assert most_at_once(starts) > SLOTS
        assert not logged(running, RELAYS, "slots shared")
