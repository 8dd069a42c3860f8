"""Reservations of upstreams at control hosts, some of which do not answer."""

from types import SimpleNamespace

import anyio
import pytest

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.mesh import ControlHostNames
from cranberryfield.core.messages.requests import LeavePlace, TakePlace
from cranberryfield.entry.quarantine import make_cluster_reserver
from cranberryfield.entry.quarantine.reserver import CLUSTER_ASK_TIMEOUT_S
from cranberryfield.entry.relay.quarantine import ISOLATION_WAIT_PER_CRASH_S

CONTROL = ("c1", "c2", "c3")
UPSTREAMS = [f"u{number}" for number in range(30)]


class Network:
    """Delivers messages to the hosts that answer."""

    def __init__(self, frozen=(), linked=CONTROL):
        self.frozen = frozen
        self.linked = linked
        self.handlers = {}
        self.asked = []
        self.timeouts = set()

    def host(self, node):
        mesh = SimpleNamespace(
            hello=SimpleNamespace(node=node),
            handle=lambda kind, handler: self.handlers.update({(node, kind): handler}),
            is_linked=lambda one: one in self.linked,
            request=lambda to, message, timeout: self.request(
                node, to, message, timeout
            ),
            send=lambda to, message: self.handlers[to, type(message)](node, message),
        )
        names = ControlHostNames.from_list(CONTROL)
        return make_cluster_reserver(Blackboard(), mesh, names, lambda: 5.0)

    async def request(self, sender, to, message, timeout_s):
        self.asked.append(to)
        self.timeouts.add(timeout_s)
        if to in self.frozen:
            raise UnavailableError(ErrorKind.NOT_READY, "no answer in time")
        return self.handlers[to, TakePlace](sender, message)


def reserve(host, upstream, suspect=b"f"):
    return anyio.run(host.reserve, upstream, suspect, 9.0)


def test_one_suspect_at_a_time_over_all_relays():
    network = Network()
    for node in CONTROL:
        network.host(node)
    first, second = network.host("r1"), network.host("r2")
    assert all(reserve(first, one) for one in UPSTREAMS)
    assert not any(reserve(second, one, b"g") for one in UPSTREAMS)
    for one in UPSTREAMS:
        first.release(one, b"f")
    assert all(reserve(second, one, b"g") for one in UPSTREAMS)
    assert {kind for _, kind in network.handlers} == {TakePlace, LeavePlace}


# Guards against a suspect that waits for a control host that does not answer longer
# than it would wait for an upstream without other suspects.
@pytest.mark.parametrize("frozen", [(), ("c2",), CONTROL])
def test_a_silent_control_host_delays_only_its_own_upstreams(frozen):
    network = Network(frozen)
    for node in CONTROL:
        network.host(node)
    relay = network.host("r1")
    granted = [reserve(relay, one) for one in UPSTREAMS]
    assert granted == [node not in frozen for node in network.asked]
    assert set(network.asked) == set(CONTROL)
    assert network.timeouts == {CLUSTER_ASK_TIMEOUT_S}
    assert CLUSTER_ASK_TIMEOUT_S < ISOLATION_WAIT_PER_CRASH_S


def test_without_control_hosts_nothing_is_reserved():
    network = Network(linked=())
    relay = network.host("r1")
    assert all(reserve(relay, one) for one in UPSTREAMS)
    assert not network.asked
