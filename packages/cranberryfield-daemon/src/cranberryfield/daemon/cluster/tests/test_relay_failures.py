"""Requests that a fault of the program stops, without sockets."""

from random import Random
from types import SimpleNamespace

import anyio
import pytest

from cranberryfield.core.errors import ErrorKind, WasRun
from cranberryfield.core.http1.listeners import ListenerFactory, ProcessLimits
from cranberryfield.core.metrics import Metrics
from cranberryfield.daemon.cluster.relay import RelayHost


class RecordingExchange:
    """Exchange that records how it ends."""

    def __init__(self, response_started):
        self.response_started = response_started
        self.is_aborted = False
        self.head = SimpleNamespace(target=b"/x/1")

    def abort(self):
        self.is_aborted = True


def handle(error, response_started=False):
    """Handle a request that ends with an error; return its exchange and answers."""
    answers = []

    async def answer_error(exchange, answered):
        answers.append(answered)

    async def fail(request, exchange):
        raise error

    host = RelayHost(
        None,
        SimpleNamespace(answer_error=answer_error),
        None,
        SimpleNamespace(watch=lambda watcher: None),
        *[None] * 2,
        SimpleNamespace(handle=fail),
        *[None] * 5,
        Metrics(),
        lambda: 0.0,
        Random(1),
        ListenerFactory(ProcessLimits(8, 8, 1 << 20), Metrics(), lambda: 0.0),
    )
    host._read_request = lambda exchange: SimpleNamespace(id="r1")
    exchange = RecordingExchange(response_started)
    anyio.run(host._handle_request, exchange)
    return exchange, answers


# Guards against LOST: the connection was closed without an answer.
def test_request_that_fails_on_the_relay_is_answered():
    exchange, answers = handle(KeyError("upstream"))
    (answer,) = answers
    assert (answer.kind, answer.was_run) == (ErrorKind.UPSTREAM_FAILED, WasRun.UNKNOWN)
    assert not exchange.is_aborted


# Guards against an answer that looks complete although the relay has failed.
def test_response_that_fails_after_its_beginning_is_broken_off():
    exchange, answers = handle(KeyError("upstream"), response_started=True)
    assert exchange.is_aborted
    assert answers == []


def test_lost_connection_of_the_caller_is_no_failure():
    lost = anyio.BrokenResourceError()
    with pytest.raises(anyio.BrokenResourceError):
        handle(lost)
