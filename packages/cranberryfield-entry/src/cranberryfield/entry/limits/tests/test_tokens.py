from random import Random

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.messages.limits import LeaseTokens
from cranberryfield.core.settings import EffectiveSettings
from cranberryfield.entry.limits.shared import SharedLimits, keeper_of
from cranberryfield.entry.limits.tokens import (
    BURST_S,
    KEEP_S,
    HostTokens,
    KeeperTokens,
    Taken,
    lease_tokens,
    take_lease,
    take_token,
)
from cranberryfield.entry.requests.request import Request

asks = st.lists(
    st.tuples(st.floats(0, 0.5), st.integers(1, 20), st.floats(0, 1)), max_size=60
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(asks, st.sampled_from([0.5, 3.0, 100.0]))
def test_no_more_is_leased_than_the_limit_and_its_burst(steps, rate):
    keeper, now, leased, held = KeeperTokens(), 0.0, 0, 0
    for pause_s, wanted, returned_part in steps:
        now += pause_s
        returned = int(held * returned_part)
        granted = lease_tokens(keeper, rate, wanted, returned, now)
        assert 0 <= granted <= wanted
        leased += granted - returned
        held += granted - returned
        assert leased <= now * rate + max(1.0, rate * BURST_S) + 1e-6


STEPS = [
    ("nothing held", (0, 0.0, -1.0), 0.0, Taken.ASK),
    ("held", (2, 0.0, -1.0), 0.1, Taken.ADMITTED),
    ("held too long", (2, 0.0, -1.0), KEEP_S, Taken.ASK),
    ("keeper has none yet", (0, 0.0, 1.0), 0.5, Taken.REFUSED),
    ("keeper may have some", (0, 0.0, 1.0), 1.0, Taken.ASK),
]


@pytest.mark.parametrize(
    ("state", "now", "taken"),
    [row[1:] for row in STEPS],
    ids=[row[0] for row in STEPS],
)
def test_what_a_host_decides_alone(state, now, taken):
    assert take_token(HostTokens(*state), now) is taken


@pytest.mark.parametrize(
    ("granted", "taken"), [(0, Taken.REFUSED), (1, Taken.ADMITTED)]
)
def test_lease_replaces_what_was_held(granted, taken):
    host = HostTokens()
    take_lease(host, granted, 0.5, 0.0)
    assert take_token(host, 0.1) is taken


def request(rate):
    return Request(
        "w", "s", "k", True, "r", True, "POST", "/", "t", b"", b"",
        "standard", 1e9, EffectiveSettings(rate_limit_per_s=rate),
    )  # fmt: skip


class Meshes:
    """Delivers messages between the hosts of a test unless `cut` is set."""

    def __init__(self):
        self.handlers, self.cut = {}, False

    def of(self, node):
        mesh = type("FakeMesh", (), {})()
        mesh.handle = lambda kind, handler: self.handlers.__setitem__(node, handler)
        mesh.request = self._request
        mesh.is_linked = lambda other: not self.cut
        return mesh

    async def _request(self, node, message, timeout_s):
        if self.cut:
            raise UnavailableError(ErrorKind.NOT_READY, "cut off")
        assert isinstance(message, LeaseTokens)
        return self.handlers[node]("sender", message)


async def admitted(limits, asked):
    try:
        await limits.admit(asked)
    except UnavailableError as error:
        assert (error.kind, error.was_run.value) == (ErrorKind.OVER_LIMIT, "no")
        return 0
    return 1


@pytest.mark.parametrize(
    ("cut", "rate", "expected"),
    [(False, 50.0, (480, 513)), (True, 50.0, (440, 560)), (False, 1.0, (9, 11))],
    ids=["together", "equal parts when the keeper is cut off", "low rate"],
)
def test_limit_holds_over_all_hosts(cut, rate, expected):
    nodes = [f"entry-{number}" for number in range(5)]
    meshes, now = Meshes(), [0.0]
    limits = [
        SharedLimits(node, lambda: nodes, meshes.of(node), lambda: now[0], Random(1))
        for node in nodes
    ]
    meshes.cut = cut
    count = 0

    async def run():
        nonlocal count
        rng = Random(3)
        for _ in range(10_000):
            now[0] += 0.001
            count += await admitted(rng.choice(limits), request(rate))

    anyio.run(run)
    assert expected[0] <= count <= expected[1]


def test_without_a_limit_nothing_is_asked():
    limits = SharedLimits("a", lambda: [], Meshes().of("a"), lambda: 0.0, Random(1))
    assert anyio.run(admitted, limits, request(None)) == 1


def test_all_nodes_name_the_same_keeper():
    nodes = ["a", "b", "c"]
    assert keeper_of(("w", "s"), nodes) == keeper_of(("w", "s"), nodes[::-1])
