"""Runs one host of the platform adapter with the given settings file."""

import os
import runpy
import signal
import sys
from pathlib import Path

LAUNCHER_PATH = Path(__file__).parent.parent / "deploy" / "launch.py"
#: Not imported from the adapter, since the import would delay the launcher's
#: first steps.
SETTINGS_VARIABLE = "CRANBERRYFIELD_CONFIG"

if __name__ == "__main__":
    os.environ[SETTINGS_VARIABLE] = sys.argv[1]
    if "--may-be-cut-off" in sys.argv:
        # As the launcher does first, which the import below would delay.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from standins.cut_network import install_cut

        install_cut(Path(sys.argv[1]))
    if "--with-rollouts" in sys.argv:
        from standins.feature_level import assume_rollouts

        assume_rollouts()
    runpy.run_path(str(LAUNCHER_PATH))
