"""Separation of the platform adapter from the packages, in names and imports."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PRODUCT = sorted((ROOT / "packages").rglob("*.py"))
ADAPTER = sorted((ROOT / "platform").rglob("*.py"))
#: Headers, calls and settings that are specific to the platform.
WIRE_NAMES = re.compile(
    r"Attempt-Id|Token-Usage|Prefix-Hash|Server-Signature|Instance-(Load|Id)"
    r"|Not-Executed|Target-Instance|Request-Urgency|heartbeat_url|Duty-Holder"
    r"|Fencing-Token|Kv-(From|Backup|Fetch|Retain)|Config\.(Replace|Read)"
    r"|Instances\.(Heartbeat|Deregister)|api_keys|path_prefix|latency_goal_ms"
    r"|CRANBERRYFIELD_CONFIG|token_count|uncached_tokens|zone_prices",
    re.IGNORECASE,
)
MAX_ADAPTER_LINES = 2_500


@pytest.mark.parametrize("file", PRODUCT, ids=lambda file: file.stem)
def test_the_product_knows_no_name_of_the_platform(file):
    found = WIRE_NAMES.search(file.read_text())
    assert found is None, found.group()


@pytest.mark.parametrize("file", PRODUCT, ids=lambda file: file.stem)
def test_the_product_does_not_import_its_adapter(file):
    assert "cranberryfield.platform" not in file.read_text()


def _imported(file):
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


@pytest.mark.parametrize("file", ADAPTER, ids=lambda file: file.stem)
def test_the_adapter_imports_no_controller(file):
    inner = re.compile(
        r"cranberryfield\.(control\.(consensus|runtime|storage)|"
        r"entry\.(relay\.(relay|upstream_selection|loads)|quota|reports|registry))"
    )
    assert [name for name in _imported(file) if inner.match(name)] == []


def test_the_adapter_is_small_and_hides_no_module():
    code = [file for file in ADAPTER if "tests" not in file.parts]
    assert sum(len(file.read_text().splitlines()) for file in code) < MAX_ADAPTER_LINES
    assert not (ROOT / "platform" / "__init__.py").exists()
