"""What is passed on right after a link has opened."""

from random import Random

from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import UpstreamUpdate
from cranberryfield.entry.membership.announcements import (
    Announcement,
    Leave,
    accept_announcement,
    accept_leave,
)
from cranberryfield.entry.membership.gossip import TableGossip
from cranberryfield.entry.membership.peers import PeersSection
from cranberryfield.entry.membership.section import UpstreamsSection


class LinkedMesh:
    """Links to all peers, that keep what is sent."""

    def __init__(self):
        self.sent = []

    def handle(self, kind, handler):
        pass

    def watch_links(self, watcher):
        self.watcher = watcher

    def learn_address(self, node, address):
        pass

    def set_persistent_peers(self, nodes):
        pass

    def is_linked(self, node):
        return True

    def send(self, node, message):
        self.sent.append((node, message))


def hello(node):
    return Hello(node, "tables", 1, "d", ("entry",), "127.0.0.1:1", "127.0.0.1:2")


def test_a_leave_told_just_after_a_link_opened_goes_over_it():
    mesh, upstreams = LinkedMesh(), UpstreamsSection()
    gossip = TableGossip(
        PeersSection("entry-1"),
        upstreams,
        mesh,
        hello("entry-1"),
        (),
        lambda: 10.0,
        Random(1),
    )
    told = Announcement("u", 1, "s", "d", "127.0.0.1:3", 1500, 0)
    accept_announcement(upstreams, told, "entry-2", frozenset(), 10.0)
    mesh.watcher(hello("entry-2"), True)
    gossip.publish(accept_leave(upstreams, Leave("u", 1), "entry-1", 10.0))
    gossip._flush()
    updates = [m for node, m in mesh.sent if isinstance(m, UpstreamUpdate)]
    assert [record.leaving for one in updates for record in one.records] == [True]
