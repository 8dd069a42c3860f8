import anyio
import pytest

from cranberryfield.core.errors import ErrorKind, UnavailableError, WasRun
from cranberryfield.core.settings import EffectiveSettings
from cranberryfield.entry.admission import AdmissionGate
from cranberryfield.entry.requests.request import Request


def request(workspace="a", deadline=1e9, **fields):
    return Request(
        workspace, "s", "k", True, "r", True, "POST", "/", "t", b"", b"",
        "standard", deadline, EffectiveSettings(**fields),
    )  # fmt: skip


async def try_run(gate, incoming, results):
    try:
        async with gate.acquire_slot(incoming):
            results.append("ran")
    except UnavailableError as error:
        assert error.was_run is WasRun.NO
        assert error.retry_after_s > 0
        results.append(error.kind)


REFUSALS = [
    ("passed deadline", {"deadline": 0.0}, ErrorKind.DEADLINE_EXCEEDED),
    ("drained", {"drained": True}, ErrorKind.DRAINED),
    ("full queue", {"queue_limit": 0}, ErrorKind.QUEUE_FULL),
]


@pytest.mark.parametrize(
    ("fields", "kind"), [row[1:] for row in REFUSALS], ids=[row[0] for row in REFUSALS]
)
def test_request_without_a_slot_is_refused_at_once(fields, kind):
    async def run():
        gate, results = AdmissionGate(lambda service: 1), []
        async with gate.acquire_slot(request()):
            await try_run(gate, request("b", **fields), results)
        assert results == [kind]
        await try_run(gate, request("b"), results)
        assert results == [kind, "ran"]

    anyio.run(run)


def test_waiting_request_runs_when_a_slot_is_free():
    async def run():
        gate, results = AdmissionGate(lambda service: 1), []
        async with anyio.create_task_group() as tasks, gate.acquire_slot(request()):
            tasks.start_soon(try_run, gate, request("b"), results)
            await anyio.sleep(0.01)
            assert results == []
        assert results == ["ran"]

    anyio.run(run)


def test_request_evicted_from_a_full_queue_is_refused_at_once():
    async def run():
        gate, flood, other = AdmissionGate(lambda service: 1), [], []
        async with anyio.create_task_group() as tasks, gate.acquire_slot(request()):
            for _ in range(3):
                tasks.start_soon(try_run, gate, request("a", queue_limit=3), flood)
            await anyio.sleep(0.01)
            tasks.start_soon(try_run, gate, request("b", queue_limit=3), other)
            await anyio.sleep(0.01)
            assert (flood, other) == ([ErrorKind.QUEUE_FULL], [])
        assert (flood[1:], other) == (["ran", "ran"], ["ran"])

    anyio.run(run)
