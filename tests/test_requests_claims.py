"""Bookings that run at most once although hosts are killed or frozen."""

import tempfile
import threading
import uuid
from pathlib import Path

import httpx
import pytest

from standins.fleets import HOSTS, NOTARY_KEY, fleet_settings
from standins.group import running_group
from standins.processes import wait_until

WORK_MS = 1500
SHORT_LIMITS = {
    "level": "system",
    "set": {"claim_holder_lease_ms": 2500, "retention_ms": 20_000},
}


@pytest.fixture(scope="module")
def group():
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), HOSTS) as running,
    ):
        edits = [*fleet_settings(), SHORT_LIMITS]
        running.wait_revision(running.change_settings(edits, "f", "entry-1"))
        for name in ("booking-app-1", "booking-app-2"):
            running.add_service(name, "booking-app", "fann", work_ms=WORK_MS)
        running.wait_upstreams(2)
        yield running


def send_booking(group, node, key, **headers):
    """Send the booking once; return the status and the body or the error details.

    The status is 0 if no response arrives.
    """
    headers |= {"Authorization": f"Bearer {NOTARY_KEY}", "Idempotency-Key": key}
    try:
        response = httpx.post(
            f"http://{group.hosts[node].callers}/services/booking-app/slots",
            content=key.encode(),
            headers=headers,
            timeout=10,
            trust_env=False,
        )
    except httpx.HTTPError:
        return 0, {}
    return response.status_code, response.json()


def send_booking_in_thread(group, node, key):
    results = []
    thread = threading.Thread(
        target=lambda: results.append(send_booking(group, node, key))
    )
    thread.start()
    return thread, results


def get_request_view(group, node, key):
    response = httpx.get(
        f"http://{group.hosts[node].callers}/v1/requests/{key}",
        headers={"Authorization": f"Bearer {NOTARY_KEY}"},
        timeout=10,
        trust_env=False,
    )
    return response.json()


def started_runs(group):
    return [entry.run for entry in group.journal() if entry.event == "started"]


def start_booking(group, node):
    """Start a booking in a thread and wait until an upstream runs it.

    Return its key, the number of runs before it, the thread and its results.
    """
    key = uuid.uuid4().hex
    runs_before = len(started_runs(group))
    thread, results = send_booking_in_thread(group, node, key)
    wait_until(lambda: len(started_runs(group)) > runs_before, "the booking runs")
    return key, runs_before, thread, results


def resend_until_final(group, nodes, key):
    """Resend until the answer is final, as the users' programs do; return it."""
    answers = []

    def is_final():
        answers.append(send_booking(group, nodes[len(answers) % len(nodes)], key))
        status, problem = answers[-1]
        return status == 200 or problem.get("kind") == "outcome_unknown"

    wait_until(is_final, "a final answer")
    return answers[-1]


def test_every_host_gives_the_one_answer_and_shows_it(group):
    key, runs_before, thread, results = start_booking(group, "entry-1")
    status, problem = send_booking(group, "entry-2", key)
    assert (status, problem["kind"]) == (409, "key_busy")
    assert get_request_view(group, "entry-3", key)["state"] == "running"
    thread.join()
    assert results[0][0] == 200
    nodes = ["entry-1", "entry-2", "entry-3"]
    assert all(send_booking(group, node, key) == results[0] for node in nodes)
    views = [get_request_view(group, node, key) for node in nodes]
    assert {view["state"] for view in views} == {"answered"}
    assert key in views[2]["outcome"]["body"]
    assert len(started_runs(group)) == runs_before + 1


def test_idempotent_call_is_shared_too(group):
    key = uuid.uuid4().hex
    runs_before = len(started_runs(group))
    nodes = ["entry-1", "entry-2", "entry-3"]
    headers = {"Cranberryfield-Idempotent": "true"}
    answers = [send_booking(group, node, key, **headers) for node in nodes]
    assert answers[0][0] == 200
    assert answers == answers[:1] * 3
    assert len(started_runs(group)) == runs_before + 1


def test_claimer_killed_in_mid_run(group):
    key, runs_before, thread, _ = start_booking(group, "entry-1")
    group.hosts["entry-1"].process.kill()
    thread.join()
    status, problem = resend_until_final(group, ["entry-2", "entry-3"], key)
    assert (status, problem["was_run"]) == (409, "unknown")
    assert get_request_view(group, "entry-3", key)["kind"] == "outcome_unknown"
    group.hosts["entry-1"].process.start()
    wait_until(lambda: group.status("entry-1"), "entry-1 answers")
    group.wait_upstreams(2)
    status, problem = resend_until_final(group, ["entry-1"], key)
    assert (status, problem["was_run"]) == (409, "unknown")
    assert len(started_runs(group)) == runs_before + 1


def test_claimer_frozen_in_mid_run_and_thawed_late(group):
    key, runs_before, thread, results = start_booking(group, "entry-1")
    group.hosts["entry-1"].process.freeze()
    status, problem = resend_until_final(group, ["entry-2", "entry-3"], key)
    assert (status, problem["was_run"]) == (409, "unknown")
    group.hosts["entry-1"].process.thaw()
    wait_until(
        lambda: get_request_view(group, "entry-2", key)["state"] == "answered",
        "the late answer is recorded",
    )
    assert send_booking(group, "entry-3", key)[0] == 200
    thread.join()
    assert len(started_runs(group)) == runs_before + 1


def test_no_quorum_refuses_and_then_serves(group):
    group.wait_upstreams(2)
    frozen_nodes = ["control-1", "control-2"]
    for node in frozen_nodes:
        group.hosts[node].process.freeze()
    key = uuid.uuid4().hex
    runs_before = len(started_runs(group))
    status, problem = send_booking(group, "entry-2", key)
    assert (status, problem["kind"]) == (503, "no_quorum")
    assert len(started_runs(group)) == runs_before
    for node in frozen_nodes:
        group.hosts[node].process.thaw()
    assert resend_until_final(group, ["entry-2", "entry-3"], key)[0] == 200
    assert len(started_runs(group)) == runs_before + 1
