"""Calls of operators for rollouts, valid and invalid, and their statuses."""

import anyio
import msgspec
import pytest

from cranberryfield.core.errors import ErrorKind, error_of_kind
from cranberryfield.core.http1 import RequestHead
from cranberryfield.core.messages.rollouts import (
    RolloutBegun,
    RolloutStage,
    RolloutView,
)
from cranberryfield.daemon.cluster import ControlOperations
from cranberryfield.platform.control_requests import answer_control_request

ORDER = {"service": "s1", "to": "v2", "duration_s": 12}


class RecordedExchange:
    """A call of an operator, which records the response."""

    def __init__(self, method, target, body=b""):
        self.head = RequestHead(method.encode(), target.encode(), [])
        self.body = body

    async def respond(self, status, headers, body):
        self.status, self.answer = status, msgspec.json.decode(body)


class RolloutOperations:
    """Operations of a control host, which record orders."""

    def __init__(self, error=None, stage=RolloutStage.OBSERVING, number=1):
        self.error, self.stage, self.number = error, stage, number
        self.orders = []

    async def begin(self, order):
        if self.error is not None:
            raise error_of_kind(self.error, "refused")
        self.orders.append(order)
        return RolloutBegun(1, True)

    async def read(self, service):
        return RolloutView(self.number, service, "v2", self.stage)

    def call(self, exchange, is_enabled=True):
        calls = (self.begin, self.read) if is_enabled else (None, None)
        operations = ControlOperations(None, None, None, None, *calls)
        anyio.run(answer_control_request, exchange, operations)
        return exchange.status, exchange.answer


def begin(body, **options):
    exchange = RecordedExchange("POST", "/Rollouts.Begin", body)
    return RolloutOperations(**options).call(exchange)[0]


def test_a_valid_order_is_passed_on():
    operations = RolloutOperations()
    body = msgspec.json.encode({**ORDER, "duration_s": 12.0004, "later": 1})
    exchange = RecordedExchange("POST", "/Rollouts.Begin", body)
    assert operations.call(exchange)[0] == 200
    [order] = operations.orders
    assert (order.service, order.target, order.duration_ms) == ("s1", "v2", 12_001)


#: An invalid order that was retried or accepted would never end.
INVALID_ORDERS = [
    b"",
    b"\xff",
    b"[]",
    b"{",
    *(
        msgspec.json.encode({**ORDER, key: value})
        for key, value in [
            ("to", ""),
            ("to", "  "),
            ("to", 3),
            ("to", "v" * 201),
            ("service", ""),
            ("service", None),
            ("duration_s", 0),
            ("duration_s", -1),
            ("duration_s", "12"),
            ("duration_s", True),
            ("duration_s", 1e300),
        ]
    ),
    *(
        msgspec.json.encode({key: ORDER[key] for key in ORDER if key != missing})
        for missing in ORDER
    ),
]


@pytest.mark.parametrize("body", INVALID_ORDERS)
def test_an_invalid_order_ends_for_good(body):
    assert begin(body) == 400


#: An operator repeats the order after a 5xx only.
STATUSES = [
    (ErrorKind.UNKNOWN_SERVICE, 400),
    (ErrorKind.CONFLICT, 409),
    (ErrorKind.NOT_READY, 503),
    (ErrorKind.NO_QUORUM, 503),
    (ErrorKind.QUEUE_FULL, 503),
]


@pytest.mark.parametrize(("kind", "status"), STATUSES)
def test_status_of_a_refused_order(kind, status):
    assert begin(msgspec.json.encode(ORDER), error=kind) == status


STATES = [
    (RolloutStage.OBSERVING, "in_progress"),
    (RolloutStage.ADVANCING, "in_progress"),
    (RolloutStage.SWITCHING, "in_progress"),
    (RolloutStage.COMPLETED, "completed"),
    (RolloutStage.ROLLED_BACK, "rolled_back"),
]


@pytest.mark.parametrize(("stage", "state"), STATES)
def test_state_of_a_rollout(stage, state):
    exchange = RecordedExchange("GET", "/Rollouts.Read/s1")
    answer = RolloutOperations(stage=stage).call(exchange)
    assert answer == (200, {"state": state, "to": "v2"})


def test_a_service_without_rollout_is_not_found():
    exchange = RecordedExchange("GET", "/Rollouts.Read/s1")
    assert RolloutOperations(number=0).call(exchange)[0] == 404


@pytest.mark.parametrize(
    "call", [("POST", "/Rollouts.Begin"), ("GET", "/Rollouts.Read/s")]
)
def test_without_the_setting_calls_are_unknown(call):
    exchange = RecordedExchange(*call, msgspec.json.encode(ORDER))
    status, answer = RolloutOperations().call(exchange, is_enabled=False)
    assert status == 400
    assert answer["error"].startswith("unknown call")
