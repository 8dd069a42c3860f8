"""What a host imports before it starts, which is most of the time of a start."""

import subprocess
import sys

import pytest

# Modules that a host needs for its role, and packages that it must not import: those
# of the other role, and libraries that only other processes or later steps need.
ROLES = [
    (
        "cranberryfield.daemon.cluster.relay",
        ("cranberryfield.control", "httpx", "starlette", "prometheus_client", "rich"),
    ),
    (
        "cranberryfield.daemon.cluster.control",
        ("httpx", "starlette", "prometheus_client", "cyclopts"),
    ),
]


# Guards against a slow return of all hosts after a loss of power.
@pytest.mark.parametrize(("role", "unwanted"), ROLES)
def test_a_host_imports_only_what_its_role_needs(role, unwanted):
    code = (
        "import sys, structlog, importlib\n"
        "before = set(sys.modules)\n"
        "import cranberryfield.platform.main\n"
        f"importlib.import_module({role!r})\n"
        f"found = set({unwanted!r}) & (set(sys.modules) - before)\n"
        "print(sorted(found))\n"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
