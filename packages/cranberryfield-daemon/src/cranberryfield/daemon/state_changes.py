"""Detects and logs state changes of a process that matter to operators."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import anyio
import structlog

from cranberryfield.core.operators.views import StatusView, UpstreamView

__all__ = ["Observation", "StateChange", "UpstreamState", "find_changes", "log_changes"]

POLL_INTERVAL_S = 2.0

logger = structlog.get_logger(__name__)


class UpstreamState(Enum):
    """State of an upstream as seen by this process."""

    IN_USE = "in use"
    DRAINED = "drained"
    LEAVING = "leaving"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Observation:
    """State of the process at one time.

    Attributes
    ----------
    ready : bool
        Whether the process accepts new requests.
    revision : int
        Revision of the settings in force.
    role, leader : str or None
        Role of the control replica, and the leader it follows.
    upstreams : dict
        State of each known upstream, by id.
    """

    ready: bool
    revision: int
    role: str | None = None
    leader: str | None = None
    upstreams: dict[str, UpstreamState] = field(default_factory=dict)

    @classmethod
    def from_views(
        cls, status: StatusView, upstreams: list[UpstreamView]
    ) -> "Observation":
        """Build an observation from the views shown to operators."""
        control = status.control
        return cls(
            status.ready,
            status.settings_revision,
            control.role if control is not None else None,
            control.leader if control is not None else None,
            {one.upstream: _upstream_state(one) for one in upstreams},
        )


@dataclass(frozen=True, slots=True)
class StateChange:
    """One state change: event and fields of its log line."""

    event: str
    fields: dict[str, str | int | None] = field(default_factory=dict)


def _upstream_state(view: UpstreamView) -> UpstreamState:
    if view.leaving:
        return UpstreamState.LEAVING
    if view.drained:
        return UpstreamState.DRAINED
    if not view.lease_left_ms:
        return UpstreamState.SILENT
    return UpstreamState.IN_USE


def find_changes(before: Observation, after: Observation) -> list[StateChange]:
    """Return the changes between two observations.

    Parameters
    ----------
    before, after : Observation
        Earlier and later observation.

    Returns
    -------
    list of StateChange
        One for each difference.

    Examples
    --------
    >>> changes = find_changes(Observation(False, 3), Observation(True, 4))
    >>> [(change.event, change.fields) for change in changes]
    [('ready', {}), ('settings in force', {'revision': 4})]
    """
    changes = []
    if after.ready != before.ready:
        changes.append(StateChange("ready" if after.ready else "not ready"))
    if after.revision != before.revision:
        changes.append(StateChange("settings in force", {"revision": after.revision}))
    if (after.role, after.leader) != (before.role, before.leader):
        fields = {"role": after.role, "leader": after.leader}
        changes.append(StateChange("control role", fields))
    return changes + _find_upstream_changes(before.upstreams, after.upstreams)


def _find_upstream_changes(
    before: dict[str, UpstreamState], after: dict[str, UpstreamState]
) -> list[StateChange]:
    changes = [
        StateChange("upstream", {"upstream": name, "state": state.value})
        for name, state in sorted(after.items())
        if before.get(name) is not state
    ]
    removed = sorted(before.keys() - after.keys())
    return changes + [
        StateChange("upstream", {"upstream": name, "state": "forgotten"})
        for name in removed
    ]


async def log_changes(observe: Callable[[], Observation]) -> None:
    """Observe periodically and log changes until cancelled.

    Parameters
    ----------
    observe : callable
        Returns the current observation.
    """
    before = observe()
    while True:
        await anyio.sleep(POLL_INTERVAL_S)
        after = observe()
        for change in find_changes(before, after):
            logger.info(change.event, **change.fields)
        before = after
