import re
from doctest import ELLIPSIS, NORMALIZE_WHITESPACE, OutputChecker
from pathlib import Path

import pytest
import yaml

from cranberryfield.client import main as client
from cranberryfield.core.config import DaemonConfig
from cranberryfield.core.errors import ERROR_RESPONSES, ErrorKind
from cranberryfield.core.operators.reference import reference_page
from standins.fleets import NOTARY_KEY, RELEVE_KEY
from standins.group import OPERATOR_KEY
from tests.console import read_examples, run_curl
from tests.matrix.table import SUBSET, all_scenarios

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
PAGES = [ROOT / "README.md", *sorted(DOCS.rglob("*.md"))]
PAGES_WITH_EXAMPLES = [page for page in PAGES if "```console" in page.read_text()]
#: Error kinds that only upstreams and operators receive, never callers.
NON_CALLER_KINDS = {
    ErrorKind.STALE_INCARNATION,
    ErrorKind.UNKNOWN_PATH,
    ErrorKind.INVALID_SETTING,
    ErrorKind.STALE_REVISION,
    ErrorKind.CONFLICT,
    ErrorKind.FOREIGN_DATA,
    ErrorKind.DATA_IN_USE,
    ErrorKind.CORRUPT_DATA,
    ErrorKind.INVALID_CONFIG,
    ErrorKind.ADDRESS_UNAVAILABLE,
}


@pytest.mark.parametrize("page", PAGES_WITH_EXAMPLES, ids=lambda page: page.stem)
def test_examples_run_as_written(fleet, page, monkeypatch, capsys, tmp_path):
    variables = {
        "ENTRY": fleet.entry_addresses[0],
        "OTHER_ENTRY": fleet.entry_addresses[1],
        "KEY": RELEVE_KEY,
        "NOTARY_KEY": NOTARY_KEY,
        "CRANBERRYFIELD_NODE": fleet.entry_addresses[0],
        "CRANBERRYFIELD_KEY": OPERATOR_KEY,
    }
    for name, value in variables.items():
        monkeypatch.setenv(name, value)
    monkeypatch.chdir(ROOT)

    def run_client(arguments):
        monkeypatch.setattr("sys.argv", ["cranberryfield", *arguments])
        try:
            client.main()
        except SystemExit as stop:
            assert not stop.code, capsys.readouterr().err
        return capsys.readouterr().out

    programs = {"curl": run_curl, "cranberryfield": run_client}
    for example in read_examples(page.read_text()):
        program, *arguments = example.arguments()
        output = programs[program](arguments)
        event_ids = re.findall(r"^id: (.*)$", output, re.MULTILINE)
        if len(event_ids) >= 3:
            monkeypatch.setenv("LAST", event_ids[2])
        is_match = OutputChecker().check_output(
            example.expected, output, ELLIPSIS | NORMALIZE_WHITESPACE
        )
        assert is_match, (
            f"{page.name}:{example.line}: {example.command}\nprinted {output}"
        )


def _table_rows(page, first_cell):
    pattern = rf"^\| `{first_cell}` \|(.*)\|$"
    return re.findall(pattern, page.read_text(), re.MULTILINE)


@pytest.mark.parametrize(
    "kind", [kind for kind in ErrorKind if kind not in NON_CALLER_KINDS]
)
def test_callers_page_has_each_refusal_as_the_table_answers_it(kind):
    (row,) = _table_rows(DOCS / "callers.md", kind.value)
    status, was_run, retry, advice = (cell.strip() for cell in row.split("|"))
    response = ERROR_RESPONSES[kind]
    assert (status, was_run) == (str(response.status), response.was_run.value)
    assert retry == ("yes" if response.retry else "no")
    assert advice


@pytest.mark.parametrize("kind", ErrorKind)
def test_operators_page_has_each_kind_with_its_exit_code(kind):
    (row,) = _table_rows(DOCS / "operators" / "failures.md", kind.value)
    code, meaning = (cell.strip() for cell in row.split("|", 1))
    assert code == str(ERROR_RESPONSES[kind].exit_code)
    assert meaning


def test_settings_reference_is_the_schemas():
    page = DOCS / "operators" / "settings-reference.md"
    assert page.read_text() == reference_page(), "run `make docs`"


@pytest.mark.parametrize(
    "file",
    sorted((DOCS / "operators" / "examples").glob("*-*.yaml")),
    ids=lambda file: file.stem,
)
def test_example_files_fit_the_schema(file):
    config = DaemonConfig.from_yaml(file.read_text(), file.name)
    assert config.node == file.stem


def test_example_hosts_fit_together():
    files = sorted((DOCS / "operators" / "examples").glob("*-*.yaml"))
    hosts = [yaml.safe_load(file.read_text()) for file in files]
    assert 7 <= len(hosts) <= 9
    control = {one["node"]: one["mesh"] for one in hosts if "control" in one["roles"]}
    for host in hosts:
        listed_control = {member["node"]: member["mesh"] for member in host["control"]}
        assert listed_control == control
        assert set(host["seeds"]) <= {one["mesh"] for one in hosts}
    assert len({one["group"] for one in hosts}) == 1


def test_each_proof_that_is_named_exists():
    page = (DOCS / "NOT-PROVED.md").read_text()
    named_tests = set(re.findall(r"`(test_\w+\.py)::(\w+)`", page))
    assert named_tests
    for file, test in named_tests:
        folders = (ROOT / "tests", ROOT / "packages")
        files = [found for folder in folders for found in folder.rglob(file)]
        texts = [found.read_text() for found in files]
        assert any(f"def {test}(" in text for text in texts), f"{file}::{test}"
    scenarios = {one.name for one in all_scenarios()}
    for row, marker in re.findall(r"`matrix ([a-z][^`]+)`(\*?)", page):
        assert row in scenarios, row
        assert (row in SUBSET) == bool(marker), row


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_links_between_pages_lead_somewhere(page):
    for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
        assert (page.parent / target).exists(), target
