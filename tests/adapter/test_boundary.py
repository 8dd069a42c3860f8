"""Separation of the platform adapter from the packages, in names and imports."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PACKAGE_FILES = sorted((ROOT / "packages").rglob("*.py"))
ADAPTER_FILES = sorted((ROOT / "platform").rglob("*.py"))
#: Headers, calls and settings that are specific to the platform.
PLATFORM_NAMES = re.compile(
    r"Attempt-Id|Token-Usage|Prefix-Hash|Server-Signature|Instance-(Load|Id)"
    r"|Not-Executed|Target-Instance|Request-Urgency|heartbeat_url|Duty-Holder"
    r"|Fencing-Token|Kv-(From|Backup|Fetch|Retain)|Config\.(Replace|Read)"
    r"|Instances\.(Heartbeat|Deregister)|api_keys|path_prefix|latency_goal_ms"
    r"|CRANBERRYFIELD_CONFIG|token_count|uncached_tokens|zone_prices",
    re.IGNORECASE,
)
MAX_ADAPTER_LINES = 2_500


@pytest.mark.parametrize("file", PACKAGE_FILES, ids=lambda file: file.stem)
def test_packages_contain_no_platform_name(file):
    match = PLATFORM_NAMES.search(file.read_text())
    assert match is None, match.group()


@pytest.mark.parametrize("file", PACKAGE_FILES, ids=lambda file: file.stem)
def test_packages_do_not_import_the_adapter(file):
    assert "cranberryfield.platform" not in file.read_text()


def _imported_modules(file):
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


@pytest.mark.parametrize("file", ADAPTER_FILES, ids=lambda file: file.stem)
def test_the_adapter_imports_no_internal_module(file):
    internal = re.compile(
        r"cranberryfield\.(control\.(consensus|runtime|storage)|"
        r"entry\.(relay\.(relay|upstream_selection|loads)|quota|reports|registry))"
    )
    assert [name for name in _imported_modules(file) if internal.match(name)] == []


def test_the_adapter_is_small_and_does_not_shadow_the_standard_library():
    code = [file for file in ADAPTER_FILES if "tests" not in file.parts]
    assert sum(len(file.read_text().splitlines()) for file in code) < MAX_ADAPTER_LINES
    assert not (ROOT / "platform" / "__init__.py").exists()
