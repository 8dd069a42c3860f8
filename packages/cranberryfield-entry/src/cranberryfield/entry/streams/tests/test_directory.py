"""What relays and control hosts know of the origins of streams, without any I/O."""

from types import SimpleNamespace

import anyio
import pytest

from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.mesh import ControlHostNames
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.registry import RegistryTable, accept_record
from cranberryfield.entry.streams import (
    FoundOrigin,
    StreamDirectory,
    StreamOrigin,
    StreamOriginSection,
)
from cranberryfield.entry.streams.directory import KEEP_MARGIN_S
from cranberryfield.entry.streams.section import (
    MAX_ORIGINS,
    find_origin,
    forget_ended,
    record_origin,
)

CONTROL = ("c1", "c2", "c3", "c4", "c5")
RELAYS = ("r1", "r2")
V1, V2 = StreamOrigin("drafts", "v1"), StreamOrigin("drafts", "v2")
NOW, DEADLINE = 5.0, 15.0


class Network:
    """Delivers messages among hosts, except to those that do not answer."""

    def __init__(self):
        self.silent = set()
        self.watchers = {}
        self.handlers = {}
        self.sent = []
        self.hosts = {node: self._host(node) for node in (*CONTROL, *RELAYS)}

    def _host(self, node):
        mesh = SimpleNamespace(
            hello=SimpleNamespace(node=node),
            handle=lambda kind, handler: self.handlers.update({(node, kind): handler}),
            watch_links=lambda watcher: self.watchers.update({node: watcher}),
            is_linked=lambda one: True,
            request=lambda to, message, timeout: self.request(node, to, message),
            send=lambda to, message: self.send(node, to, message),
        )
        names = ControlHostNames.from_list(CONTROL)
        section, table = StreamOriginSection(), RegistryTable()
        return StreamDirectory(section, table, mesh, names, lambda: NOW)

    def send(self, sender, to, message):
        self.sent.append((to, message))
        if to not in self.silent:
            self.handlers[to, type(message)](sender, message)

    async def request(self, sender, to, message):
        if to in self.silent:
            raise UnavailableError(ErrorKind.NOT_READY, "no answer in time")
        return self.handlers[to, type(message)](sender, message)

    def announce(self, *versions, node="r1"):
        """Let a relay hear of upstreams of some versions."""
        host = self.hosts[node]
        for number, version in enumerate(versions):
            record = UpstreamRecord(
                f"u{number}",
                1,
                1,
                "drafts",
                "fann",
                f"a{number}",
                "",
                (),
                8,
                0,
                software_version=version,
            )
            accept_record(host._table, record, NOW)
            host.on_announcement(record)

    def restart(self, node):
        """Restart a control host, which forgets all; its links open again."""
        self.hosts[node] = self._host(node)
        for relay in RELAYS:
            self.watchers[relay](SimpleNamespace(node=node, roles=("control",)), True)
            while self.hosts[relay].tell_pending():
                pass

    def find(self, request, node="r2"):
        return anyio.run(self.hosts[node].find, request)


# Versions that a relay knows before and after a stream begins at the first one, and
# whether another relay finds its origin.
TOLD = [
    (("v1", "v2"), (), True),
    (("v1",), ("v1", "v2"), True),
    (("v1",), (), True),
    (("v1", "v1"), (), True),
    (("", "v2"), (), True),
    (("",), ("", "v2"), True),
    (("",), (), False),
    (("", ""), (), False),
]


# Guards against a stream that began before the second version was known, and that no
# control host has heard of since, and against messages where no version is stated.
@pytest.mark.parametrize(("before", "after", "is_found"), TOLD)
def test_control_hosts_are_told_if_upstreams_state_versions(before, after, is_found):
    network = Network()
    network.announce(*before)
    origin = StreamOrigin("drafts", before[0])
    network.hosts["r1"].record("stream", origin, DEADLINE)
    network.announce(*after)
    expected = FoundOrigin(origin if is_found else None, True)
    assert network.find("stream") == expected
    assert network.find("stream", "r1") == FoundOrigin(origin, True)
    assert bool(network.sent) is is_found


# Control hosts that do not answer, and what is found of a known and an unknown stream.
@pytest.mark.parametrize("lost", [0, 1])
def test_a_stream_is_found_although_a_control_host_is_lost(lost):
    network = Network()
    network.announce("v1", "v2")
    for number in range(20):
        network.hosts["r1"].record(str(number), V2, DEADLINE)
    for node in CONTROL[:lost]:
        network.silent.add(node)
    for number in range(20):
        assert network.find(str(number)) == FoundOrigin(V2, True)
    assert network.find("other") == FoundOrigin(None, True)


# Guards against streams that cannot go on since the control hosts that were told of
# them have restarted, one after the other or all at once.
def test_control_hosts_that_restart_are_told_again():
    network = Network()
    network.announce("v1", "v2")
    for number in range(20):
        network.hosts["r1"].record(str(number), V2, DEADLINE)
    sent = len(network.sent)
    for node in CONTROL:
        network.restart(node)
    for number in range(20):
        assert network.find(str(number)) == FoundOrigin(V2, True)
    told = [
        one
        for _, message in network.sent[sent:]
        for one in message.origins
        if one.request
    ]
    assert len(told) == 2 * 20


def test_nobody_answers():
    network = Network()
    network.silent.update(CONTROL)
    assert network.find("stream") == FoundOrigin(None, False)


# Guards against an origin from an attempt that had no event: the next one began it. The
# hosts that were told of the first are told, though others are to know the stream now.
@pytest.mark.parametrize("is_late", [False, True])
def test_the_last_attempt_before_the_first_event_is_the_origin(is_late):
    network = Network()
    network.announce("v1", "v2")
    network.hosts["r1"].record("stream", V1, DEADLINE)
    first = network.sent[-1][1]
    network.hosts["r1"].record("stream", V2, DEADLINE)
    if is_late:
        for node in CONTROL:
            network.send("r1", node, first)
    assert network.find("stream") == FoundOrigin(V2, True)
    for node in CONTROL:
        (known,) = network.hosts[node]._section.origins.values()
        assert known.origin == V2


# Guards against a choice between two origins of one attempt, as from two relays that
# the caller has sent the same id to.
def test_hosts_that_contradict_each_other_are_not_believed():
    network = Network()
    network.announce("v1", "v2")
    network.hosts["r1"].record("stream", V1, DEADLINE)
    told = [to for to, message in network.sent if message.origins[0].request]
    network.silent.add(told[0])
    network.hosts["r2"].record("stream", V2, DEADLINE)
    network.silent.clear()
    network.hosts["r3"] = network._host("r3")
    assert network.find("stream", "r3") == FoundOrigin(None, True, True)


@pytest.mark.parametrize(
    ("now", "is_known"), [(DEADLINE, True), (DEADLINE + KEEP_MARGIN_S, False)]
)
def test_origins_are_forgotten_after_the_deadline(now, is_known):
    network = Network()
    network.announce("v1", "v2")
    network.hosts["r1"].record("stream", V1, DEADLINE)
    for host in network.hosts.values():
        forget_ended(host._section, now)
    assert (network.find("stream").origin is not None) is is_known


def test_the_oldest_origins_make_room():
    section = StreamOriginSection()
    for number in range(MAX_ORIGINS + 1):
        record_origin(section, b"%d" % number, V1, DEADLINE)
    assert find_origin(section, b"0") is None
    assert find_origin(section, b"1") == V1
