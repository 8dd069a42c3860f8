"""Answers that continue when their entry host is killed, frozen or changed."""

import signal
import tempfile
import uuid
from contextlib import contextmanager
from pathlib import Path

import httpx
import pytest

from standins.fleets import HOSTS, RELEVE_KEY, fleet_settings
from standins.group import running_group
from standins.processes import wait_until
from standins.tokens import CompletionRequest, answer_text

TOKENS = 40
BODY = {"model": "redacteur", "prompt": "crack", "max_tokens": TOKENS, "stream": True}
EXPECTED_TEXT = answer_text(CompletionRequest("redacteur", "crack", max_tokens=TOKENS))


@pytest.fixture(scope="module")
def group():
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), HOSTS) as running,
    ):
        revision = running.change_settings(fleet_settings(), "f", "entry-1")
        running.wait_revision(revision)
        for name in ("redacteur-1", "redacteur-2"):
            running.add_engine(name, "redacteur", "fann", step_ms=20.0)
        running.wait_upstreams(2)
        yield running


@contextmanager
def open_stream(group, node, key, last_id="0", body=BODY):
    headers = {"Authorization": f"Bearer {RELEVE_KEY}", "Last-Event-ID": last_id}
    if key is not None:
        headers["Idempotency-Key"] = key
    with (
        httpx.Client(timeout=20, trust_env=False) as client,
        client.stream(
            "POST",
            f"http://{group.hosts[node].callers}/v1/completions",
            json=body,
            headers=headers,
        ) as response,
    ):
        response.lines = response.iter_lines()
        yield response


def read_events(response, limit=None):
    """Return ids and payloads of the events, at most `limit` if it is given."""
    assert response.status_code == 200, response.read()
    events, event_id = [], ""
    for line in response.lines:
        name, _, value = line.partition(": ")
        if name == "id":
            event_id = value
        if name == "data":
            events.append((event_id, value))
            if len(events) == limit:
                break
    return events


def joined_text(events):
    chunks = [httpx.Response(200, content=data).json() for _, data in events]
    return "".join(chunk["choices"][0]["text"] for chunk in chunks)


def check_complete(events):
    """Check that the events are all those of one run, in order and without repeats."""
    numbers = [int(id.partition("-")[0]) for id, _ in events]
    assert numbers == list(range(1, len(events) + 1))
    assert events[-1][1] == "[DONE]"
    assert joined_text(events[:-1]) == EXPECTED_TEXT
    assert len({id.partition("-")[2].partition(".")[0] for id, _ in events}) == 1


def strip_epochs(events):
    return [(id.partition(".")[0], data) for id, data in events]


def start_and_resume_events(group):
    """Return the start and resume events of all runs.

    End events are left out: the journal may still receive those of an earlier test.
    """
    return [
        (entry.event, entry.run)
        for entry in group.journal()
        if entry.event in ("started", "resumed")
    ]


def journal_entries(group, first_id):
    tag = first_id.partition("-")[2].partition(".")[0]
    return [entry for entry in group.journal() if entry.run.startswith(tag)]


def event_names(entries):
    return [entry.event for entry in entries if entry.event != "cancelled"]


def restart_host(group, node):
    group.hosts[node].process.kill()
    group.hosts[node].process.start()
    wait_until(lambda: group.status(node), f"{node} answers")
    wait_ready(group, node)


def wait_ready(group, node):
    statuses = []

    def is_ready():
        with open_stream(group, node, uuid.uuid4().hex) as response:
            statuses.append(response.status_code)
        return statuses[-1] == 200

    wait_until(is_ready, f"{node} serves")
    assert set(statuses) <= {200, 503}


def test_every_host_attaches_to_the_one_run(group):
    key = uuid.uuid4().hex
    with open_stream(group, "entry-1", key) as first:
        events = read_events(first, 5)
        with open_stream(group, "entry-2", key, events[-1][0]) as second:
            rest = read_events(second)
        check_complete(events + rest)
    with open_stream(group, "entry-3", key, events[-1][0]) as third:
        assert read_events(third) == rest
    with open_stream(group, "entry-3", key) as fourth:
        assert read_events(fourth) == events + rest
    assert event_names(journal_entries(group, rest[0][0])) == ["started", "finished"]
    for host in group.hosts.values():
        if "entry" in host.plan.roles:
            view = httpx.get(
                f"http://{host.callers}/v1/requests/{key}",
                headers={"Authorization": f"Bearer {RELEVE_KEY}"},
                trust_env=False,
            ).json()
            assert (view["state"], view["events"]) == (
                "answered",
                len(events + rest) - 1,
            )


def test_other_body_is_refused_on_every_host(group):
    key = uuid.uuid4().hex
    with open_stream(group, "entry-1", key) as first:
        read_events(first, 1)
        for node in ("entry-2", "entry-3"):
            with open_stream(
                group, node, key, body={**BODY, "prompt": "else"}
            ) as other:
                assert other.status_code == 422


# Killed host, host where the caller continues, signal sent before the kill.
KILL_CASES = [("entry-1", "entry-2", None), ("entry-3", "entry-1", signal.SIGUSR1)]


@pytest.mark.parametrize(("killed_node", "resume_node", "notice"), KILL_CASES)
def test_killed_host(group, killed_node, resume_node, notice):
    key = uuid.uuid4().hex
    with open_stream(group, killed_node, key) as first:
        events = read_events(first, 20)
        if notice is not None:
            group.hosts[killed_node].process.send_signal(notice)
        group.hosts[killed_node].process.kill()
    with open_stream(group, resume_node, key, events[-1][0]) as second:
        events += read_events(second)
    check_complete(events)
    entries = journal_entries(group, events[0][0])
    assert event_names(entries) == ["started", "resumed", "finished"]
    resumed = next(entry for entry in entries if entry.event == "resumed")
    assert 20 <= resumed.tokens < TOKENS
    restart_host(group, killed_node)


def test_frozen_host_thawed_late_adds_nothing(group):
    key = uuid.uuid4().hex
    with open_stream(group, "entry-1", key) as first:
        events = read_events(first, 10)
        group.hosts["entry-1"].process.freeze()
        with open_stream(group, "entry-2", key, events[-1][0]) as second:
            rest = read_events(second)
        check_complete(events + rest)
        group.hosts["entry-1"].process.thaw()
        late_lines = list(first.lines)
    # Events that the thawed host still sends must belong to the same answer.
    known = {data for _, data in events + rest}
    payloads = [line[6:] for line in late_lines if line.startswith("data: ")]
    assert set(payloads) <= known
    wait_ready(group, "entry-1")
    with open_stream(group, "entry-1", key, events[-1][0]) as reattached:
        assert strip_epochs(read_events(reattached)) == strip_epochs(rest)


def test_part_of_an_answer_that_nobody_keeps_is_not_begun_anew(group):
    before = start_and_resume_events(group)
    for last_id in ("7-0123abcd.0", "7"):
        with open_stream(group, "entry-2", uuid.uuid4().hex, last_id) as response:
            problem = response.read()
        assert response.status_code == 410
        assert b"key_expired" in problem
    assert start_and_resume_events(group) == before


def test_request_without_a_key_is_cancelled_with_its_caller(group):
    with open_stream(group, "entry-2", None) as response:
        events = read_events(response, 3)
    wait_until(
        lambda: (
            [one.event for one in journal_entries(group, events[0][0])][-1:]
            == ["cancelled"]
        ),
        "the run is cancelled",
    )


def test_full_memory_refuses_truthfully(group):
    edit = {"level": "system", "set": {"record_memory_bytes": 100}}
    revision = group.change_settings([edit], uuid.uuid4().hex, "entry-1")
    group.wait_revision(revision)
    before = start_and_resume_events(group)
    with open_stream(group, "entry-2", None) as response:
        problem = httpx.Response(200, content=response.read()).json()
    assert (response.status_code, problem["kind"]) == (503, "records_full")
    assert (problem["was_run"], start_and_resume_events(group)) == ("no", before)
    edit = {"level": "system", "unset": ["record_memory_bytes"]}
    group.change_settings([edit], uuid.uuid4().hex, "entry-1")


def test_reclaimed_host_hands_its_answers_over(group):
    key = uuid.uuid4().hex
    with open_stream(group, "entry-2", key) as first:
        events = read_events(first, 10)
        group.hosts["entry-2"].process.send_signal(signal.SIGUSR1)
        rest = list(first.lines)
    # The last event says that the answer continues, and on which host.
    event_lines = [line for line in rest if line.startswith("event: ")]
    assert event_lines == ["event: moved"]
    moved_index = rest.index("event: moved")
    moved = httpx.Response(200, content=rest[moved_index + 1][6:]).json()
    ids = [line[4:] for line in rest[:moved_index] if line.startswith("id: ")]
    payloads = [line[6:] for line in rest[:moved_index] if line.startswith("data: ")]
    events += zip(ids, payloads, strict=True)
    nodes = {host.callers: node for node, host in group.hosts.items()}
    assert nodes[moved["host"]] in ("entry-1", "entry-3")
    with open_stream(group, nodes[moved["host"]], key, events[-1][0]) as second:
        events += read_events(second)
    check_complete(events)
    assert group.hosts["entry-2"].process.wait() == 0
    assert event_names(journal_entries(group, events[0][0])) == [
        "started",
        "resumed",
        "finished",
    ]
    restart_host(group, "entry-2")


def test_planned_stop_cuts_no_answer(group):
    with open_stream(group, "entry-3", None) as response:
        events = read_events(response, 5)
        group.hosts["entry-3"].process.terminate()
        events += read_events(response)
    check_complete(events)
    assert group.hosts["entry-3"].process.wait() == 0
    restart_host(group, "entry-3")
