"""Upstreams that write an earlier answer once more on a kept connection."""

import anyio
import pytest

from cranberryfield.core.deployment import RouteKind
from standins.scripted_upstream import ReceivedRequest
from tests.relay_harness import RESPONSE_HEAD, RelayHarness, read_all, respond

IDEMPOTENT, ONCE = RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT
NOT_RUN = b"Not-Run: 1\r\n"


def refusal(request_id, status=503):
    """Return a refusal; without an id if it is None."""
    head = RESPONSE_HEAD % (status, (request_id or "").encode()) + NOT_RUN
    if request_id is None:
        head = head.replace(b"Id: \r\n", b"")
    return head + b"Content-Length: 0\r\n\r\n"


class RepeatingUpstream:
    """Refuses the first request, writes the refusal once more, and runs the others."""

    def __init__(self, has_id, status, delay_s):
        self.has_id = has_id
        self.status = status
        self.delay_s = delay_s
        self.refused = None
        self.runs = []

    async def __call__(self, request: ReceivedRequest, stream):
        request_id = request.header("id")
        if self.refused is None:
            self.refused = request_id
            await stream.send(refusal(request_id, self.status))
            return True
        repeated = refusal(self.refused if self.has_id else None, self.status)
        if request.connection == 1:
            await stream.send(repeated)
            await anyio.sleep(self.delay_s)
        self.runs.append(request_id)
        return await respond(body=b"answer to " + request_id.encode())(request, stream)


def send(harness, ids, port_of=None):
    """Send requests one after the other; return status and body of each answer."""
    answers = []

    async def conversation(stream):
        for request_id in ids:
            async with await anyio.connect_tcp("127.0.0.1", harness.port) as caller:
                await caller.send(
                    b"GET /x/1 HTTP/1.1\r\nHost: a.example\r\nId: %s\r\n"
                    b"Connection: close\r\n\r\n" % request_id.encode()
                )
                raw = await read_all(caller)
            answers.append((int(raw.split()[1]), raw.partition(b"\r\n\r\n")[2]))

    anyio.run(harness.run, conversation)
    return answers


# Guards against REFUSED and TWICE: a refusal that was written once more was taken for
# the answer to a later request, which the upstream was running.
@pytest.mark.parametrize("status", [503, 421, 400])
@pytest.mark.parametrize("has_id", [True, False], ids=["with id", "without"])
@pytest.mark.parametrize("kind", [ONCE, IDEMPOTENT])
@pytest.mark.parametrize("delay_s", [0.0, 0.05])
def test_a_repeated_refusal_answers_no_other_request(status, has_id, kind, delay_s):
    first = RepeatingUpstream(has_id, status, delay_s)
    harness = RelayHarness([first], kind)
    answers = send(harness, ["r1", "r2", "r3"])
    for request_id, (answered, body) in zip(["r2", "r3"], answers[1:], strict=True):
        if first.runs.count(request_id):
            assert answered in (200, 502), body
        if answered == 200:
            assert body == b"answer to " + request_id.encode()
        if kind is ONCE:
            assert first.runs.count(request_id) <= 1
    assert answers[2][0] == 200


# Guards against the same for a request that its caller sends again under its id.
@pytest.mark.parametrize("kind", [ONCE, IDEMPOTENT])
def test_a_repeated_refusal_answers_no_second_attempt(kind):
    first = RepeatingUpstream(True, 503, 0.05)
    harness = RelayHarness([first], kind)
    (refused, _), (answered, body) = send(harness, ["r1", "r1"])
    assert (refused, answered, body) == (503, 200, b"answer to r1")
    assert first.runs == ["r1"]


def test_a_refusal_without_an_id_on_a_new_connection_is_one():
    async def refuse_without_id(request, stream):
        await stream.send(refusal(None))
        return True

    answers = send(RelayHarness([refuse_without_id], ONCE), ["r1"])
    assert answers[0][0] == 503
