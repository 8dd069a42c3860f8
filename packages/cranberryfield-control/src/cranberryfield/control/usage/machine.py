"""State machine that replicates the usage counts to report for each window.

The first counts that are committed for a window are final, so that every leader
reports the same.
"""

import msgspec

from cranberryfield.core.ids import WorkspaceId
from cranberryfield.core.messages.reports import (
    SettleUsage,
    UsageReported,
    UsageSettled,
)

__all__ = ["UsageState", "apply_usage_command", "next_unreported_window"]

#: Number of windows that are retained; older ones were due for a report long ago.
RETAINED_WINDOWS = 64


class WindowUsage(msgspec.Struct, array_like=True):
    """Final usage counts of one window, and whether they were reported."""

    counts: dict[WorkspaceId, int]
    is_reported: bool = False


class UsageState(msgspec.Struct, array_like=True):
    """Windows with final counts, by window number."""

    windows: dict[int, WindowUsage] = msgspec.field(default_factory=dict)


def apply_usage_command(
    state: UsageState, command: SettleUsage | UsageReported
) -> UsageSettled:
    """Apply one committed command to the usage counts.

    Parameters
    ----------
    state : UsageState
        Changed in place. The first counts of a window are final, because they
        may already be in a report under way.
    command : SettleUsage or UsageReported
        The command.

    Returns
    -------
    UsageSettled
        The final counts of the window, and whether they were reported.

    Examples
    --------
    >>> state = UsageState()
    >>> apply_usage_command(state, SettleUsage(7, {"notary": 3})).counts
    {'notary': 3}
    >>> apply_usage_command(state, SettleUsage(7, {"notary": 4})).counts
    {'notary': 3}
    """
    window = state.windows.get(command.window)
    if window is None:
        counts = command.counts if isinstance(command, SettleUsage) else {}
        window = state.windows[command.window] = WindowUsage(counts)
        for old in sorted(state.windows)[:-RETAINED_WINDOWS]:
            del state.windows[old]
    if isinstance(command, UsageReported):
        window.is_reported = True
    return UsageSettled(command.window, window.counts, window.is_reported)


def next_unreported_window(
    state: UsageState, last_complete: int, oldest: int
) -> int | None:
    """Return the earliest window that is not reported yet.

    Parameters
    ----------
    state : UsageState
        The replicated usage counts.
    last_complete : int
        Last window whose counts are complete.
    oldest : int
        First window that may still be reported.

    Returns
    -------
    int or None
        Number of the window; None if all of them are reported.
    """
    for window in range(oldest, last_complete + 1):
        usage = state.windows.get(window)
        if usage is None or not usage.is_reported:
            return window
    return None
