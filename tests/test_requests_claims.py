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
BOUNDS = {
    "level": "system",
    "set": {"claim_holder_lease_ms": 2500, "retention_ms": 20_000},
}


@pytest.fixture(scope="module")
def group():
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), HOSTS) as running,
    ):
        edits = [*fleet_settings(), BOUNDS]
        running.wait_revision(running.change_settings(edits, "f", "entry-1"))
        for name in ("booking-app-1", "booking-app-2"):
            running.add_service(name, "booking-app", "fann", work_ms=WORK_MS)
        running.wait_upstreams(2)
        yield running


def book(group, node, key, **headers):
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


def book_in_background(group, node, key):
    results = []
    thread = threading.Thread(target=lambda: results.append(book(group, node, key)))
    thread.start()
    return thread, results


def show(group, node, key):
    response = httpx.get(
        f"http://{group.hosts[node].callers}/v1/requests/{key}",
        headers={"Authorization": f"Bearer {NOTARY_KEY}"},
        timeout=10,
        trust_env=False,
    )
    return response.json()


def runs_by_name(group):
    return [entry.run for entry in group.journal() if entry.event == "started"]


def start_one(group, node):
    """Start a booking in a thread and wait until an upstream runs it.

    Return its key, the number of runs before it, the thread and its results.
    """
    key = uuid.uuid4().hex
    before = len(runs_by_name(group))
    thread, results = book_in_background(group, node, key)
    wait_until(lambda: len(runs_by_name(group)) > before, "the booking runs")
    return key, before, thread, results


def resend_until_final(group, nodes, key):
    """Resend until the answer is final, as the users' programs do; return it."""
    answers = []

    def is_final():
        answers.append(book(group, nodes[len(answers) % len(nodes)], key))
        status, problem = answers[-1]
        return status == 200 or problem.get("kind") == "outcome_unknown"

    wait_until(is_final, "a final answer")
    return answers[-1]


def test_every_host_gives_the_one_answer_and_shows_it(group):
    key, before, thread, results = start_one(group, "entry-1")
    status, problem = book(group, "entry-2", key)
    assert (status, problem["kind"]) == (409, "key_busy")
    assert show(group, "entry-3", key)["state"] == "running"
    thread.join()
    assert results[0][0] == 200
    nodes = ["entry-1", "entry-2", "entry-3"]
    assert all(book(group, node, key) == results[0] for node in nodes)
    shown = [show(group, node, key) for node in nodes]
    assert {view["state"] for view in shown} == {"answered"}
    assert key in shown[2]["outcome"]["body"]
    assert len(runs_by_name(group)) == before + 1


def test_idempotent_call_is_shared_too(group):
    key = uuid.uuid4().hex
    before = len(runs_by_name(group))
    nodes = ["entry-1", "entry-2", "entry-3"]
    headers = {"Cranberryfield-Idempotent": "true"}
    answers = [book(group, node, key, **headers) for node in nodes]
    assert answers[0][0] == 200
    assert answers == answers[:1] * 3
    assert len(runs_by_name(group)) == before + 1


def test_claimer_killed_in_mid_run(group):
    key, before, thread, _ = start_one(group, "entry-1")
    group.hosts["entry-1"].process.kill()
    thread.join()
    status, problem = resend_until_final(group, ["entry-2", "entry-3"], key)
    assert (status, problem["was_run"]) == (409, "unknown")
    assert show(group, "entry-3", key)["kind"] == "outcome_unknown"
    group.hosts["entry-1"].process.start()
    wait_until(lambda: group.status("entry-1"), "entry-1 answers")
    group.wait_upstreams(2)
    status, problem = resend_until_final(group, ["entry-1"], key)
    assert (status, problem["was_run"]) == (409, "unknown")
    assert len(runs_by_name(group)) == before + 1


def test_claimer_frozen_in_mid_run_and_thawed_late(group):
    key, before, thread, results = start_one(group, "entry-1")
    group.hosts["entry-1"].process.freeze()
    status, problem = resend_until_final(group, ["entry-2", "entry-3"], key)
    assert (status, problem["was_run"]) == (409, "unknown")
    group.hosts["entry-1"].process.thaw()
    wait_until(
        lambda: show(group, "entry-2", key)["state"] == "answered",
        "the late answer is recorded",
    )
    assert book(group, "entry-3", key)[0] == 200
    thread.join()
    assert len(runs_by_name(group)) == before + 1


def test_no_quorum_refuses_and_then_serves(group):
    group.wait_upstreams(2)
    lost = ["control-1", "control-2"]
    for node in lost:
        group.hosts[node].process.freeze()
    key = uuid.uuid4().hex
    before = len(runs_by_name(group))
    status, problem = book(group, "entry-2", key)
    assert (status, problem["kind"]) == (503, "no_quorum")
    assert len(runs_by_name(group)) == before
    for node in lost:
        group.hosts[node].process.thaw()
    assert resend_until_final(group, ["entry-2", "entry-3"], key)[0] == 200
    assert len(runs_by_name(group)) == before + 1
