"""Large deployments over slow links: every host gets them, in parts that are kept."""

from random import Random
from types import SimpleNamespace

import anyio
import pytest

from cranberryfield.control.consensus.replica import ReplicaRole
from cranberryfield.control.deployment import DeploymentPublisher
from cranberryfield.control.machine import ControlState, apply_command
from cranberryfield.core.deployment import (
    Deployment,
    Route,
    RouteKind,
    ServiceSpec,
    WeightedService,
    WorkspaceSpec,
    encode_deployment,
)
from cranberryfield.core.deployment.delta import NO_BASE, apply_delta
from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.messages.codec import Envelope, EnvelopeKind, encode_frame
from cranberryfield.core.messages.deployment import (
    AskDeploymentPart,
    DeclareDeployment,
    FollowDeployment,
)
from cranberryfield.entry.deployment import DeploymentFollower, DeploymentSection

LINK_BYTES_PER_S = 5_000_000 / 8
#: Time for a change to reach a host, in seconds, besides 3 ms for each route: 2,500 ms
#: less what the log and the poll take.
IN_FORCE_S = 2.0
ROUTE_S = 0.003
#: Size of a reply with one part, which is lost with its request.
PART_REPLY_BYTES = 17_000
LEADER = "core-1"


def make_route(number, rng):
    prefix = f"/{rng.getrandbits(40):x}/{number}/"
    return Route(
        f"r-{rng.getrandbits(30):x}",
        f"host{number % 3}.example",
        prefix,
        RouteKind.IDEMPOTENT,
        (WeightedService("drafts", 1.0),),
        10_000.0,
        400.0,
    )


def make_deployment(version, routes):
    return Deployment(
        version,
        tuple(routes),
        (ServiceSpec("drafts"), ServiceSpec("plain")),
        (WorkspaceSpec("w1", ("key-1",)),),
        document=b"x" * 300 * len(routes),
    )


class SlowLink:
    """Publisher of a leader, behind a link on which large replies time out.

    Counts bytes and seconds of a link of 5 Mbit/s. Requests whose number is in
    `lost` get no reply, as from a leader that is frozen.
    """

    def __init__(self, deployments, lost=()):
        self.state = ControlState()
        self.handlers, self.bytes, self.seconds = {}, 0, 0.0
        self._lost, self._requests = frozenset(lost), 0
        log = SimpleNamespace(term_at=lambda index: 1)
        replica = SimpleNamespace(
            role=ReplicaRole.FOLLOWER,
            leader_node=LEADER,
            log=log,
            commit_index=1,
            term=1,
        )
        section = SimpleNamespace(replica=replica, state=self.state)
        self.publisher = DeploymentPublisher(section, self, None, lambda: 0.0)
        self.declare(deployments[0])

    def declare(self, deployment):
        content = encode_deployment(deployment)
        apply_command(self.state, DeclareDeployment(deployment.version, content))
        self.publisher.publish()

    def handle(self, kind, handler):
        self.handlers.setdefault(kind, handler)

    def is_linked(self, node):
        return True

    async def request(self, node, message, timeout_s):
        self._requests += 1
        reply = self.handlers[type(message)]("relay-1", message)
        frame = encode_frame((Envelope(EnvelopeKind.REPLY, 1, reply),))
        needed_s = len(frame) / LINK_BYTES_PER_S
        if self._requests in self._lost or needed_s > timeout_s:
            self.seconds += timeout_s
            self.bytes += int(min(needed_s, timeout_s) * LINK_BYTES_PER_S)
            raise UnavailableError(ErrorKind.NOT_READY, "no reply in time")
        self.seconds += needed_s
        self.bytes += len(frame)
        return reply


def follow(link):
    section = DeploymentSection(4.0)
    names = SimpleNamespace(known=lambda: (LEADER,))
    return section, DeploymentFollower(section, link, names, lambda: link.seconds)


def poll(follower, times=1):
    async def run():
        for _ in range(times):
            await follower._confirm()

    anyio.run(run)


@pytest.mark.parametrize("count", [10, 1_520, 10_000])
def test_added_routes_are_in_force_in_time(count):
    """A deployment that grew by 1,520 routes reached no host: each poll timed out."""
    rng = Random(43)
    routes = [make_route(number, rng) for number in range(45)]
    link = SlowLink([make_deployment(1, routes)])
    section, follower = follow(link)
    poll(follower)
    assert section.version == 1
    link.seconds = 0.0
    grown = routes + [make_route(45 + number, rng) for number in range(count)]
    link.declare(make_deployment(2, grown))
    poll(follower)
    assert section.version == 2
    assert len(section.table.deployment.routes) == len(grown)
    assert link.seconds < IN_FORCE_S + ROUTE_S * count


def test_bytes_for_a_changed_route_do_not_grow_with_the_routes():
    needed = {}
    for count in (10, 1_000, 10_000):
        rng = Random(7)
        routes = [make_route(number, rng) for number in range(count)]
        link = SlowLink([make_deployment(1, routes)])
        section, follower = follow(link)
        poll(follower)
        link.bytes = 0
        link.declare(make_deployment(2, [make_route(-1, rng), *routes[1:]]))
        poll(follower)
        assert section.version == 2
        needed[count] = link.bytes
    assert needed[10_000] < 1.5 * needed[10]


@pytest.mark.parametrize("lost", [range(3, 6), range(4, 40, 2), (5, 9, 13)])
def test_parts_are_kept_while_a_leader_does_not_reply(lost):
    """Without this, each failed reply began the transfer anew."""
    rng = Random(1)
    link = SlowLink([make_deployment(1, [make_route(0, rng)])], lost)
    section, follower = follow(link)
    poll(follower)
    link.bytes = 0
    link.declare(make_deployment(2, [make_route(n, rng) for n in range(5_000)]))
    view = link.handlers[FollowDeployment]("relay-2", FollowDeployment(1, True))
    size, failures = view.transfer.size, len(lost)
    poll(follower, 60)
    assert section.version == 2
    assert link.bytes < 1.5 * size + failures * PART_REPLY_BYTES


def test_transfer_ends_although_versions_follow_each_other():
    """A host that began anew with each version would have none of them."""
    rng = Random(2)
    routes = [make_route(number, rng) for number in range(4_000)]
    link = SlowLink([make_deployment(1, routes[:1])])
    section, follower = follow(link)
    poll(follower)
    version = 2
    link.declare(make_deployment(version, routes[version:]))
    original = link.request

    async def request(node, message, timeout_s):
        nonlocal version
        if isinstance(message, AskDeploymentPart) and version < 8:
            version += 1
            link.declare(make_deployment(version, routes[version:]))
        return await original(node, message, timeout_s)

    link.request = request
    poll(follower, 3)
    assert section.version == version
    assert section.table.deployment.routes == tuple(routes[version:])


def test_removed_and_changed_routes_and_keys_take_effect():
    rng = Random(3)
    first, second, third = (make_route(number, rng) for number in range(3))
    link = SlowLink([make_deployment(1, [first, second])])
    section, follower = follow(link)
    poll(follower)
    link.declare(
        Deployment(2, (second, third), workspaces=(WorkspaceSpec("w2", ("key-2",)),))
    )
    poll(follower)
    table = section.table
    assert table.find_route(first.host, first.prefix) is None
    assert table.find_route(third.host, third.prefix) == third
    assert table.find_workspace("key-1") is None
    assert table.find_workspace("key-2").name == "w2"


def test_host_of_an_earlier_build_gets_the_whole_deployment():
    link = SlowLink([make_deployment(1, [])])
    view = link.handlers[FollowDeployment]("old-relay", FollowDeployment(-1))
    assert view.content and view.transfer is None


@pytest.mark.parametrize("data", [b"", b"junk", b"x\x9c\x03"])
def test_difference_that_cannot_be_decoded_is_refused(data):
    with pytest.raises(Exception, match="difference of deployments"):
        apply_delta(None, data)
    assert NO_BASE == -1
