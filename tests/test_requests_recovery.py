"""Answers that continue after reclaims, silent connections and crashes."""

import tempfile
import threading
import time
import uuid
from pathlib import Path

import httpx
import pytest

from standins.fleets import HOSTS, RELEVE_KEY, fleet_settings
from standins.group import running_group
from standins.links import ENTRIES
from standins.processes import wait_until
from standins.tokens import CompletionRequest, answer_text

STEP_MS = 20.0
RECLAIM_MS = 1500
ENGINE_NAMES = ["redacteur-1", "redacteur-2", "redacteur-3"]
SILENCE_LIMITS = {"level": "service/redacteur", "set": {"silence_floor_ms": 500}}


@pytest.fixture(scope="module")
def group():
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), HOSTS, proxied=True) as running,
    ):
        edits = [*fleet_settings(), SILENCE_LIMITS]
        running.wait_revision(running.change_settings(edits, "f", "entry-1"))
        for name in ENGINE_NAMES:
            running.add_engine(
                name, "redacteur", "fann", step_ms=STEP_MS, reclaim_ms=RECLAIM_MS
            )
        running.wait_upstreams(3)
        yield running


class Caller(threading.Thread):
    """Thread that reads one answer; resends until it is complete or finally refused."""

    def __init__(self, group, node, tokens=40, **fields):
        super().__init__()
        self.key = uuid.uuid4().hex
        prompt = uuid.uuid4().hex
        self.text = answer_text(CompletionRequest("", prompt, max_tokens=tokens))
        self.body = {"model": "redacteur", "prompt": prompt, "max_tokens": tokens}
        self.body |= {"stream": True, **fields}
        self.url = f"http://{group.hosts[node].callers}/v1/completions"
        self.events = []
        self.refusals = []

    def run(self):
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline and not self.is_finished:
            self.read_answer()

    @property
    def is_finished(self):
        final = [one for one in self.refusals if one["retry_after_s"] is None]
        return bool(final) or self.events[-1:] == ["[DONE]"]

    def read_answer(self):
        headers = {"Authorization": f"Bearer {RELEVE_KEY}", "Idempotency-Key": self.key}
        if self.events:
            headers["Last-Event-ID"] = str(len(self.events))
        with (
            httpx.Client(timeout=20, trust_env=False) as client,
            client.stream("POST", self.url, json=self.body, headers=headers) as answer,
        ):
            if answer.is_error:
                self.refusals.append(httpx.Response(200, content=answer.read()).json())
                time.sleep(0.1)
                return
            for line in answer.iter_lines():
                name, _, value = line.partition(": ")
                if name == "data":
                    self.events.append(value)

    def check_complete(self):
        self.join()
        assert not self.refusals
        assert self.events[-1] == "[DONE]"
        chunks = [httpx.Response(200, content=one).json() for one in self.events[:-1]]
        assert "".join(one["choices"][0]["text"] for one in chunks) == self.text


def wait_run(group, caller):
    """Wait for the first events of the answer; return its run and its upstream."""
    wait_until(lambda: len(caller.events) >= 3, "the answer has begun")
    run = httpx.Response(200, content=caller.events[0]).json()["id"]
    return run, journal_entries(group, run)[0].upstream


def journal_entries(group, run):
    return [entry for entry in group.journal() if entry.run == run]


def event_names(group, run):
    return [
        one.event for one in journal_entries(group, run) if one.event != "cancelled"
    ]


def restart_upstream(group, name):
    group.restart_upstream(name)
    wait_until(
        lambda: all(
            any(
                one["upstream"] == name
                and one["incarnation"] == group.incarnation(name)
                and not one["leaving"]
                for one in group.known_upstreams(node)
            )
            for node in ("entry-1", "entry-2", "entry-3")
        ),
        f"{name} is back",
    )


# Name of the case, tokens of the answer, expected journal events of the run.
RECLAIM_CASES = [
    ("finishes there", 30, ["started", "finished"]),
    ("moves", 150, ["started", "exported", "imported", "resumed", "finished"]),
]


@pytest.mark.parametrize(
    ("tokens", "events"),
    [row[1:] for row in RECLAIM_CASES],
    ids=[row[0] for row in RECLAIM_CASES],
)
def test_announced_reclaim(group, tokens, events):
    caller = Caller(group, "entry-1", tokens)
    caller.start()
    run, upstream = wait_run(group, caller)
    group.upstreams[upstream].terminate()
    caller.check_complete()
    assert event_names(group, run) == events
    assert sum(one.recomputed_tokens for one in journal_entries(group, run)) == 0
    restart_upstream(group, upstream)


def test_upstream_dies_partway_through_its_reclaim(group):
    caller = Caller(group, "entry-2", 60)
    caller.start()
    run, upstream = wait_run(group, caller)
    group.upstreams[upstream].terminate()
    wait_until(
        lambda: any(one.event == "leaving" for one in group.journal()),
        "the upstream announces that it is leaving",
    )
    group.upstreams[upstream].kill()
    caller.check_complete()
    assert event_names(group, run) == ["started", "resumed", "finished"]
    restart_upstream(group, upstream)


def test_silent_connection_is_resumed_over_a_new_one(group):
    caller = Caller(group, "entry-1", 100)
    caller.start()
    run, upstream = wait_run(group, caller)
    group.links.silence(ENTRIES, upstream)
    caller.check_complete()
    entries = journal_entries(group, run)
    assert {entry.upstream for entry in entries} == {upstream}
    assert [one.event for one in entries][-1] == "finished"
    group.links.drop_stale()


def test_frozen_upstream_is_left(group):
    caller = Caller(group, "entry-3", 60)
    caller.start()
    run, upstream = wait_run(group, caller)
    group.upstreams[upstream].freeze()
    caller.check_complete()
    resumed = [one for one in journal_entries(group, run) if one.event == "resumed"]
    assert [one.upstream != upstream for one in resumed] == [True]
    group.upstreams[upstream].thaw()
    restart_upstream(group, upstream)


def test_crashing_request_is_refused_everywhere_and_harms_no_other(group):
    other_callers = [Caller(group, f"entry-{1 + n % 3}", 60) for n in range(4)]
    for caller in other_callers:
        caller.start()
    for caller in other_callers:
        wait_until(lambda one=caller: len(one.events) >= 3, "the answer has begun")
    crashing_caller = Caller(group, "entry-1", crash=True)
    crashing_caller.run()
    for caller in other_callers:
        caller.check_complete()
    resenders = [Caller(group, f"entry-{n}") for n in (1, 2, 3)]
    for caller in resenders:
        caller.body = crashing_caller.body
        caller.run()
    kinds = [caller.refusals[-1]["kind"] for caller in (crashing_caller, *resenders)]
    assert kinds == ["request_crashes_upstreams"] * 4
    crashes = [one for one in group.journal() if one.event == "crashed"]
    assert len(crashes) == 2
