"""Gossip over a link that has just opened.

A record changed between the opening of a link and the next tick must reach the
peer: it is too new for the digests sent over the link, so the peer must already
count as a neighbour.
"""

from random import Random

from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import UpstreamUpdate
from cranberryfield.entry.membership.announcements import (
    Announcement,
    LeaveRequest,
    accept_announcement,
    accept_leave,
)
from cranberryfield.entry.membership.gossip import MembershipGossip
from cranberryfield.entry.membership.peers import PeersSection
from cranberryfield.entry.membership.upstreams import UpstreamsSection


class LinkedMesh:
    """Mesh linked to all peers that records sent messages."""

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


def test_leave_published_just_after_link_opens_is_sent_over_it():
    mesh, upstreams = LinkedMesh(), UpstreamsSection()
    gossip = MembershipGossip(
        PeersSection("entry-1"),
        upstreams,
        mesh,
        hello("entry-1"),
        (),
        lambda: 10.0,
        Random(1),
    )
    announcement = Announcement("u", 1, "s", "d", "127.0.0.1:3", 1500, 0)
    accept_announcement(upstreams, announcement, "entry-2", frozenset(), 10.0)
    mesh.watcher(hello("entry-2"), True)
    gossip.publish(accept_leave(upstreams, LeaveRequest("u", 1), "entry-1", 10.0))
    gossip._flush()
    updates = [m for node, m in mesh.sent if isinstance(m, UpstreamUpdate)]
    assert [record.leaving for one in updates for record in one.records] == [True]
