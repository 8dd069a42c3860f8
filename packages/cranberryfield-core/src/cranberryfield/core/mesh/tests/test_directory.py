"""Which control hosts a process asks for others."""

from random import Random

import anyio
import pytest

from cranberryfield.core.mesh import ControlDirectory
from cranberryfield.core.messages.deployment import ControlHost, ControlHosts
from cranberryfield.core.messages.links import Hello

SEEDS = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")


class RecordingMesh:
    """Mesh on which all control hosts are linked, and know one more."""

    def __init__(self, role):
        self.hello = Hello("n", "g", 1, "d", (role,), "10.0.0.9:1", "")
        self.asked = []

    def watch_links(self, watcher):
        pass

    def handle(self, message_type, handler):
        pass

    def learn_address(self, node, address):
        pass

    def is_linked(self, node):
        return True

    async def request(self, node, message, timeout_s):
        self.asked.append(node)
        return ControlHosts((ControlHost("c9", "10.0.0.4:1"),))


# Guards against messages at rest that grow with the number of control hosts.
@pytest.mark.parametrize(
    ("role", "searching", "asked"),
    [("relay", False, 1), ("relay", True, 3), ("control", False, 3)],
)
def test_a_relay_that_has_found_its_seeds_asks_one_control_host(role, searching, asked):
    mesh = RecordingMesh(role)
    directory = ControlDirectory(mesh, SEEDS, True, lambda: 1.0, Random(1))
    for number, address in enumerate(SEEDS):
        directory._record_host(f"c{number}", address)
    anyio.run(directory._query_linked_hosts, searching)
    assert len(mesh.asked) == asked
    assert "c9" in directory.names.known()
