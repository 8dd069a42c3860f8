import anyio

from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import (
    FollowUpstreams,
    LoadReport,
    PeerRecord,
    PeerState,
    Renewal,
    RenewalUpdate,
    UpstreamRecord,
)
from cranberryfield.entry.membership import PeersSection, UpstreamsSection
from cranberryfield.entry.membership.announcements import Announcement
from cranberryfield.entry.membership.leases import LeaseManager
from cranberryfield.entry.membership.peers import merge_peer
from cranberryfield.entry.membership.upstreams import merge_upstream


class FakeMesh:
    """Mesh that records sent messages."""

    def __init__(self):
        self.sent, self.handlers, self.watchers = [], {}, []

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def watch_links(self, watcher):
        self.watchers.append(watcher)

    def send(self, node, message):
        self.sent.append((node, message))
        return True

    def messages_of(self, kind):
        return [(node, one) for node, one in self.sent if isinstance(one, kind)]


class FakeGossip:
    def watch_upstreams(self, watcher):
        self.watcher = watcher

    def publish(self, record):
        pass


def manager_with_upstream(home):
    """Return a lease manager on entry-1 with one upstream whose home is `home`."""
    upstreams, peers, mesh = UpstreamsSection(), PeersSection("entry-1"), FakeMesh()
    for node in ("entry-1", "entry-2"):
        record = PeerRecord(node, 1, 0, PeerState.ALIVE, "d", "m:1", "c:1")
        merge_peer(peers, record, 0.0)
    record = UpstreamRecord(
        "u", 1, 0, "s", "d", "127.0.0.1:1", "standard", (), 1, 1000, home=home
    )
    merge_upstream(upstreams, record, 0.0)
    # The clock is constant, so that no follow request is repeated because of age.
    manager = LeaseManager(upstreams, peers, FakeGossip(), mesh, "d", lambda: 0.0)
    return manager, mesh


async def run_until(manager, condition):
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(manager.run)
            while not condition():
                await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()


def test_follow_request_is_repeated_after_home_link_reopens():
    manager, mesh = manager_with_upstream("entry-2")
    follow_requests = [("entry-2", FollowUpstreams(("u",)))]

    async def run():
        await run_until(manager, lambda: mesh.sent == follow_requests)
        home = Hello("entry-2", "g", 2, "d", ("entry",), "m:1", "c:1")
        for watcher in mesh.watchers:
            watcher(home, True)
        await run_until(manager, lambda: mesh.sent == follow_requests * 2)

    anyio.run(run)


def test_home_forwards_renewals_to_followers():
    manager, mesh = manager_with_upstream("entry-1")
    mesh.handlers[FollowUpstreams]("entry-2", FollowUpstreams(("u", "other")))
    mesh.handlers[RenewalUpdate](
        "entry-3", RenewalUpdate((Renewal("u", 1, 5, LoadReport(3), 0),))
    )
    anyio.run(run_until, manager, lambda: mesh.messages_of(RenewalUpdate))
    ((node, update),) = mesh.messages_of(RenewalUpdate)
    assert (node, update.renewals[0].load.running) == ("entry-2", 3)


def test_stray_announcement_is_forwarded_to_the_home():
    manager, mesh = manager_with_upstream("entry-2")
    manager.announce(Announcement("u", 1, "s", "d", "127.0.0.1:1", 1000, 7))
    ((node, update),) = mesh.messages_of(RenewalUpdate)
    assert (node, update.renewals[0].report) == ("entry-2", 7)
