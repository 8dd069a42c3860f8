"""Suspects of the trial interface over two hosts, with a mesh in memory."""

from types import SimpleNamespace

import pytest

from cranberryfield.core.errors import CallerError
from cranberryfield.entry.quarantine import QuarantineSection
from cranberryfield.entry.requests.quarantine_coordinator import QuarantineCoordinator

HOSTS = [SimpleNamespace(node=name) for name in ("entry-1", "entry-2")]
REQUEST = SimpleNamespace(workspace="w", digest=b"d")
UPSTREAMS = [
    SimpleNamespace(record=SimpleNamespace(upstream=name, incarnation=1))
    for name in ("u1", "u2")
]


class DirectMesh:
    """Delivers each message at once."""

    def __init__(self, node, meshes):
        self.node = node
        self.meshes = meshes
        self.handlers = {}
        meshes[node] = self

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, node, message):
        self.meshes[node].handlers[type(message)](self.node, message)


def two_coordinators():
    meshes = {}
    return [
        QuarantineCoordinator(
            host.node,
            QuarantineSection(),
            SimpleNamespace(),
            DirectMesh(host.node, meshes),
            lambda: HOSTS,
            None,
            lambda: 5.0,
        )
        for host in HOSTS
    ]


def test_a_request_is_refused_on_all_hosts_after_its_second_crash():
    hosts = two_coordinators()
    for host, upstream in zip(hosts, UPSTREAMS, strict=True):
        host.report_crash(REQUEST, upstream, 5.0)
    for host in hosts:
        with pytest.raises(CallerError):
            host.refuse_if_quarantined(REQUEST)


# Guards against a request that is refused for good since it, or an equal one, was in
# flight in two crashes of other causes, though it has run to its end between them.
@pytest.mark.parametrize("completed_first", [False, True])
def test_a_request_that_ran_to_its_end_is_not_refused(completed_first):
    hosts = two_coordinators()
    if completed_first:
        hosts[0].report_completion(REQUEST)
    hosts[0].report_crash(REQUEST, UPSTREAMS[0], 5.0)
    hosts[0].report_completion(REQUEST)
    hosts[1].report_crash(REQUEST, UPSTREAMS[1], 5.0)
    for host in hosts:
        host.refuse_if_quarantined(REQUEST)
