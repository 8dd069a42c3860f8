"""Settles what is reported of each window, so that all leaders say the same."""

import msgspec

from cranberryfield.core.ids import WorkspaceId
from cranberryfield.core.messages.reports import (
    SettleUsage,
    UsageReported,
    UsageSettled,
)

__all__ = ["UsageState", "apply_usage_command", "next_window"]

#: Settled windows that are remembered; a report of an older one is long due.
KEPT_WINDOWS = 64


class SettledWindow(msgspec.Struct, array_like=True):
    """What is reported of one window, and whether it was."""

    counts: dict[WorkspaceId, int]
    is_reported: bool = False


class UsageState(msgspec.Struct, array_like=True):
    """Settled windows by number."""

    windows: dict[int, SettledWindow] = msgspec.field(default_factory=dict)


def apply_usage_command(
    state: UsageState, command: SettleUsage | UsageReported
) -> UsageSettled:
    """Apply a committed command.

    Parameters
    ----------
    state : UsageState
        Changed in place. The first counts of a window are kept: a report of
        them may be on its way already.
    command : SettleUsage or UsageReported
        The command.

    Returns
    -------
    UsageSettled
        What is settled of the window.

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
        window = state.windows[command.window] = SettledWindow(counts)
        for old in sorted(state.windows)[:-KEPT_WINDOWS]:
            del state.windows[old]
    if isinstance(command, UsageReported):
        window.is_reported = True
    return UsageSettled(command.window, window.counts, window.is_reported)


def next_window(state: UsageState, ended: int, oldest: int) -> int | None:
    """Return the earliest window to be reported.

    Parameters
    ----------
    state : UsageState
        What is settled and reported.
    ended : int
        Last window whose counts are complete.
    oldest : int
        First window whose report is still of use.

    Returns
    -------
    int or None
        None if all of them are reported.
    """
    for window in range(oldest, ended + 1):
        settled = state.windows.get(window)
        if settled is None or not settled.is_reported:
            return window
    return None
