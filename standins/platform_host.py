"""Runs one host of the adapter with a settings file given as an argument."""

import os
import runpy
import sys
from pathlib import Path

LAUNCH = Path(__file__).parent.parent / "deploy" / "launch.py"
#: Named here, since importing it would delay what the launcher does first.
SETTINGS_VARIABLE = "CRANBERRYFIELD_CONFIG"

if __name__ == "__main__":
    os.environ[SETTINGS_VARIABLE] = sys.argv[1]
    runpy.run_path(str(LAUNCH))
