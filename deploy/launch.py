"""Starts a host from the sources of this tree."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = [*sorted((ROOT / "packages").glob("*/src")), ROOT / "platform" / "src"]
sys.path[:0] = [str(source) for source in SOURCES]

from cranberryfield.platform.main import main  # noqa: E402 - needs the path above

main()
