"""A small local group for manual use: ``make local``, until interrupted."""

import signal
import sys
import tempfile
from contextlib import suppress
from pathlib import Path

from standins.fleets import (
    HOSTS,
    NOTARY_KEY,
    RELEVE_KEY,
    fleet_settings,
    start_upstreams,
)
from standins.group import OPERATOR_KEY, running_group

__all__ = ["main"]


def main() -> None:
    """Start a small group with both fleets, print its addresses and keys, and wait."""
    # Both signals raise KeyboardInterrupt, so that all processes are cleaned up.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    with suppress(KeyboardInterrupt):
        _run()


def _run() -> None:
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), HOSTS) as group,
    ):
        revision = group.change_settings(fleet_settings(), "fleets", "entry-1")
        group.wait_for_revision(revision)
        group.wait_for_upstreams(start_upstreams(group))
        first, *others = group.entry_addresses
        print("# Paste these lines into another terminal; end with Ctrl-C here.")
        print(f"export ENTRY={first} OTHER_ENTRY={others[0]}")
        print(f"export KEY={RELEVE_KEY} NOTARY_KEY={NOTARY_KEY}")
        print(f"export CRANBERRYFIELD_NODE={first} CRANBERRYFIELD_KEY={OPERATOR_KEY}")
        print('export PATH="$PWD/.venv/bin:$PATH"', flush=True)
        signal.pause()


if __name__ == "__main__":
    sys.exit(main())
