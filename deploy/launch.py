"""Starts a host from the sources of this tree."""

import signal
import sys
from pathlib import Path

# A reload before the host has a handler must not end it: it reads the newest
# settings anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

ROOT = Path(__file__).resolve().parent.parent
SOURCES = [*sorted((ROOT / "packages").glob("*/src")), ROOT / "platform" / "src"]
sys.path[:0] = [str(source) for source in SOURCES]

from cranberryfield.platform.main import main  # noqa: E402 - needs the path above

main()
