"""Demonstration on loopback: ``make demo``.

Runs both fleets, reclaims one engine and stops one entry host while responses
are being streamed, and checks that every response is still complete.
"""

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import anyio
import msgspec

from standins.caller import CallerResponse, call_service, stream_completion
from standins.fleets import (
    HOSTS,
    NOTARY_KEY,
    RELEVE_KEY,
    fleet_settings,
    start_upstreams,
)
from standins.group import Group, running_group
from standins.tokens import CompletionRequest, completion_text

__all__ = ["main"]

STREAMS = 24
TOKENS = 200
BOOKINGS = 12
STEP_MS = 10.0
RECLAIM_MS = 400
EVENTS_BEFORE_FAULTS = 40


class Check(msgspec.Struct):
    """Result of one check."""

    request: str
    passed: bool
    detail: str


async def _run_requests(group: Group) -> list[Check]:
    checks: list[Check] = []
    progress: Counter[str] = Counter()
    hosts = group.entry_addresses

    async def stream(number: int, model: str, key: str) -> None:
        body = {
            "model": model,
            "prompt": f"wall {number}: describe the crack",
            "max_tokens": TOKENS,
            "seed": number,
        }
        name = f"{model}-{number}"
        rotated = hosts[number % len(hosts) :] + hosts[: number % len(hosts)]

        def record_progress(answer: CallerResponse) -> None:
            progress[name] = answer.events

        answer = await stream_completion(rotated, key, name, body, record_progress)
        expected = completion_text(msgspec.convert(body, CompletionRequest))
        passed = answer.is_complete and answer.text == expected
        checks.append(
            Check(name, passed, f"{answer.events} events, met {answer.errors}")
        )

    async def book(number: int) -> None:
        name = f"booking-{number}"
        body = f"slot {number}".encode()
        path = "booking-app/appointments"
        answer = await call_service(hosts, NOTARY_KEY, name, path, body)
        passed = answer.is_complete and f"slot {number}" in answer.text
        checks.append(Check(name, passed, f"met {answer.errors}"))

    async def faults() -> None:
        while sum(one >= EVENTS_BEFORE_FAULTS for one in progress.values()) < STREAMS:
            await anyio.sleep(0.02)
        print("reclaiming redacteur-1 and stopping entry-1 in mid-answer")
        group.upstreams["redacteur-1"].terminate()
        group.hosts["entry-1"].process.terminate()
        for number in range(BOOKINGS):
            await book(number)

    models = [("redacteur", RELEVE_KEY), ("archives", RELEVE_KEY)]
    models.append(("clerk-lm", NOTARY_KEY))
    async with anyio.create_task_group() as tasks:
        for number in range(STREAMS):
            tasks.start_soon(stream, number, *models[number % len(models)])
        tasks.start_soon(faults)
    return checks


def _check_once(group: Group) -> Check:
    started = Counter(
        entry.run
        for entry in group.journal()
        if entry.upstream.startswith("booking-app") and entry.event == "started"
    )
    twice = [run for run, count in started.items() if count > 1]
    passed = not twice and len(started) == BOOKINGS
    return Check(
        "bookings run once", passed, f"{len(started)} runs, {len(twice)} twice"
    )


def _check_entry_stop(group: Group) -> Check:
    code = group.hosts["entry-1"].process.wait()
    return Check("entry-1 stopped cleanly", code == 0, f"exit code {code}")


def _check_resumed(group: Group) -> Check:
    resumed = sum(entry.event == "resumed" for entry in group.journal())
    detail = f"{resumed} runs went on at another engine"
    return Check("the reclaim met running answers", resumed > 0, detail)


def main() -> int:
    """Run the demonstration.

    Returns
    -------
    int
        Exit status: 0 only if every check passed.
    """
    started_at = time.monotonic()
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), HOSTS) as group,
    ):
        revision = group.change_settings(fleet_settings(), "fleets", "entry-1")
        group.wait_for_revision(revision)
        count = start_upstreams(group, step_ms=STEP_MS, reclaim_ms=RECLAIM_MS)
        group.wait_for_upstreams(count)
        print(f"{len(group.hosts)} hosts and {count} upstreams are up")
        changed = group.change_settings(
            [{"level": "system", "set": {"queue_limit": 512}}], "limit", "entry-2"
        )
        group.wait_for_revision(changed)
        print(f"settings revision {changed} is in force on every host")
        checks = anyio.run(_run_requests, group)
        checks += [_check_once(group), _check_entry_stop(group)]
        checks.append(_check_resumed(group))
    for check in sorted(checks, key=lambda one: one.request):
        print(f"{'ok  ' if check.passed else 'FAIL'} {check.request}: {check.detail}")
    failed = sum(not check.passed for check in checks)
    print(f"{time.monotonic() - started_at:.1f} s")
    print(f"{len(checks) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
