"""Counts started runs by time window and workspace."""

from dataclasses import dataclass, field

from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import WorkspaceId
from cranberryfield.entry.relay.request import RelayRequest

__all__ = ["UsageSection", "drop_windows_before", "record_run_start"]


@dataclass(slots=True)
class UsageSection:
    """Section of the blackboard: started runs by window of wall-clock time.

    Attributes
    ----------
    window_s : float
        Length of a window in seconds; window 0 starts at the Unix epoch.
    clock : Clock
        Wall-clock time.
    counts : dict
        By window, the number of runs that started in it for each workspace.
    """

    window_s: float
    clock: Clock
    counts: dict[int, dict[WorkspaceId, int]] = field(default_factory=dict)

    def current_window(self) -> int:
        """Return the index of the current window."""
        return int(self.clock() // self.window_s)


def record_run_start(section: UsageSection, request: RelayRequest) -> None:
    """Count a request whose run has started."""
    if request.workspace is None:
        return
    window = section.counts.setdefault(section.current_window(), {})
    name = request.workspace.name
    window[name] = window.get(name, 0) + 1


def drop_windows_before(section: UsageSection, window: int) -> None:
    """Delete the counts of windows before the given one."""
    for old in [one for one in section.counts if one < window]:
        del section.counts[old]
