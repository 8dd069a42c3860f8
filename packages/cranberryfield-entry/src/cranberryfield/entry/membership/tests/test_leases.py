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
from cranberryfield.entry.membership.leases import LeaseKeeper
from cranberryfield.entry.membership.peers import merge_peer
from cranberryfield.entry.membership.section import merge_record


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


def keeper_with(home):
    """Return a lease manager on entry-1 with one upstream whose home is `home`."""
    upstreams, peers, mesh = UpstreamsSection(), PeersSection("entry-1"), FakeMesh()
    for node in ("entry-1", "entry-2"):
        record = PeerRecord(node, 1, 0, PeerState.ALIVE, "d", "m:1", "c:1")
        merge_peer(peers, record, 0.0)
    record = UpstreamRecord(
        "u", 1, 0, "s", "d", "127.0.0.1:1", "standard", (), 1, 1000, home=home
    )
    merge_record(upstreams, record, 0.0)
    # The clock is constant, so that no follow request is repeated because of age.
    keeper = LeaseKeeper(upstreams, peers, FakeGossip(), mesh, "d", lambda: 0.0)
    return keeper, mesh


async def run_until(keeper, condition):
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keeper.run)
            while not condition():
                await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()


def test_home_is_asked_again_after_its_link_opened_again():
    keeper, mesh = keeper_with("entry-2")
    asked = [("entry-2", FollowUpstreams(("u",)))]

    async def run():
        await run_until(keeper, lambda: mesh.sent == asked)
        home = Hello("entry-2", "g", 2, "d", ("entry",), "m:1", "c:1")
        for watcher in mesh.watchers:
            watcher(home, True)
        await run_until(keeper, lambda: mesh.sent == asked * 2)

    anyio.run(run)


def test_home_passes_renewals_on_to_those_who_asked():
    keeper, mesh = keeper_with("entry-1")
    mesh.handlers[FollowUpstreams]("entry-2", FollowUpstreams(("u", "other")))
    mesh.handlers[RenewalUpdate](
        "entry-3", RenewalUpdate((Renewal("u", 1, 5, LoadReport(3), 0),))
    )
    anyio.run(run_until, keeper, lambda: mesh.messages_of(RenewalUpdate))
    ((node, update),) = mesh.messages_of(RenewalUpdate)
    assert (node, update.renewals[0].load.running) == ("entry-2", 3)


def test_stray_announcement_is_passed_to_the_home():
    keeper, mesh = keeper_with("entry-2")
    keeper.announce(Announcement("u", 1, "s", "d", "127.0.0.1:1", 1000, 7))
    ((node, update),) = mesh.messages_of(RenewalUpdate)
    assert (node, update.renewals[0].report) == ("entry-2", 7)
