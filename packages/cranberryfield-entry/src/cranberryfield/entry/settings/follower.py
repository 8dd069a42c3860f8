"""Asks control hosts for settings and takes in only newer ones."""

import anyio

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.settings import (
    FollowSettings,
    SettingsDelta,
    SettingsSnapshot,
)
from cranberryfield.core.settings import SettingsTree
from cranberryfield.core.settings.follow import (
    SettingsSection,
    take_delta,
    take_snapshot,
)

__all__ = ["SettingsFollower"]

CONFIRM_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 1.0


class SettingsFollower:
    """Keeps the settings section at the highest committed revision.

    Parameters
    ----------
    section : SettingsSection
        Owned by this follower.
    mesh : Mesh
        Links to the control hosts.
    control : tuple of NodeId
        The control hosts.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        section: SettingsSection,
        mesh: Mesh,
        control: tuple[NodeId, ...],
        clock: Clock,
    ):
        self._section = section
        self._mesh = mesh
        self._control = control
        self._clock = clock
        mesh.handle(SettingsDelta, self._on_delta)

    async def run(self) -> None:
        """Ask every control host again and again, until cancelled."""
        while True:
            for node in self._control:
                if self._mesh.is_linked(node):
                    await self._follow(node)
            await anyio.sleep(CONFIRM_INTERVAL_S)

    async def _follow(self, node: NodeId) -> None:
        request = FollowSettings(self._section.tree.revision)
        try:
            reply = await self._mesh.request(node, request, REQUEST_TIMEOUT_S)
        except CranberryfieldError:
            return
        if isinstance(reply, SettingsSnapshot):
            tree = SettingsTree(reply.revision, reply.levels)
            take_snapshot(self._section, tree, self._clock())

    def _on_delta(self, sender: NodeId, delta: SettingsDelta) -> None:
        changes = SettingsTree(delta.revision, delta.levels)
        take_delta(self._section, delta.base, changes, delta.removed, self._clock())
