"""Start a host process from the sources of this tree."""

import signal
import sys
from pathlib import Path

# SIGHUP (reload) would end a process without a handler. It is ignored until the
# host installs one: the host reads the newest settings at its start anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

ROOT = Path(__file__).resolve().parent.parent
DEPENDENCIES = ROOT / "target" / "deps"
SOURCE_FOLDERS = [*sorted((ROOT / "packages").glob("*/src")), ROOT / "platform" / "src"]
sys.path[:0] = [str(folder) for folder in SOURCE_FOLDERS]
if DEPENDENCIES.is_dir():
    sys.path.append(str(DEPENDENCIES))

# Imported first, as it takes the time. Both imports need the path above.
import cranberryfield.core.process_start  # noqa: E402, F401, I001
from cranberryfield.platform.main import main  # noqa: E402

main()
