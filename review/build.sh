#!/bin/sh
# The stand-ins of all cases are Python files of this folder that need only the standard
# library; this checks that they compile. Run it after the build of deploy/system.toml.
cd "$(dirname "$0")" && exec python3 - <<'CODE'
from pathlib import Path

for file in sorted(Path().rglob("*.py")):
    compile(file.read_text(), str(file), "exec")
    print("checked", file)
CODE
