"""Pytest plugin for the tests listed in ``KNOWN-RED.txt``, which may fail.

A listed test that fails is printed but does not fail the run; one that passes is
printed as to be removed from the list. Other tests fail as usual. The
``conftest.py`` at the root loads the plugin; the matrix runner also reads the list.
"""

from dataclasses import dataclass, field
from pathlib import Path

import pytest

__all__ = ["KnownRedEntry", "KnownRedPlugin", "find_entry", "read_known_red"]

ROOT = Path(__file__).resolve().parent.parent
FILE_NAME = "KNOWN-RED.txt"
FIELD_COUNT = 4
CELL_TEST = "::test_cell"


@dataclass(frozen=True, slots=True)
class KnownRedEntry:
    """One line of the list.

    Attributes
    ----------
    test : str
        Id of a test, or of a cell of the matrix.
    command : str
        Command and seed that reproduce the failure.
    seen : str
        Observed failure.
    issue : str
        Issue that tracks the failure.
    """

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(path: Path = ROOT / FILE_NAME) -> list[KnownRedEntry]:
    """Read the list.

    Parameters
    ----------
    path : pathlib.Path
        File with the list; a missing file has no entries.

    Returns
    -------
    list of KnownRedEntry
        In the order of the file.

    Raises
    ------
    ValueError
        If a line does not have four non-empty fields, or a test is listed twice.
    """
    if not path.exists():
        return []
    entries: dict[str, KnownRedEntry] = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [value.strip() for value in line.split(" | ")]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise ValueError(
                f"{path.name}:{number}: expected 4 non-empty fields separated by ' | '"
            )
        entry = KnownRedEntry(*fields)
        if entry.test in entries:
            raise ValueError(f"{path.name}:{number}: {entry.test} is listed twice")
        entries[entry.test] = entry
    return list(entries.values())


def find_entry(entries: list[KnownRedEntry], name: str) -> KnownRedEntry | None:
    """Return the entry of a test, given its pytest id or the id of its cell.

    Parameters
    ----------
    entries : list of KnownRedEntry
        The list.
    name : str
        Id of a pytest test or of a cell.

    Returns
    -------
    KnownRedEntry or None
        None if the test is not listed.

    Examples
    --------
    >>> entry = KnownRedEntry("accepted/none/plain", "make matrix", "cut", "#6")
    >>> find_entry([entry], "tests/a.py::test_cell[accepted/none/plain]") is entry
    True
    >>> find_entry([entry], "tests/a.py::test_other[accepted/none/plain]")
    """
    cell = ""
    if f"{CELL_TEST}[" in name:
        cell = name.split(f"{CELL_TEST}[", 1)[1].removesuffix("]")
    for entry in entries:
        if entry.test in (name, cell):
            return entry
    return None


@dataclass(slots=True, eq=False)
class KnownRedPlugin:
    """Pytest plugin that records the results of the listed tests in one run.

    Attributes
    ----------
    entries : list of KnownRedEntry
        The list.
    failed, passed : list of KnownRedEntry
        Entries whose test failed, and entries whose test passed.
    """

    entries: list[KnownRedEntry]
    failed: list[KnownRedEntry] = field(default_factory=list)
    passed: list[KnownRedEntry] = field(default_factory=list)

    @pytest.hookimpl(hookwrapper=True)
    def pytest_runtest_makereport(self, item, call):
        """Report the failure of a listed test as an expected failure."""
        outcome = yield
        report = outcome.get_result()
        entry = find_entry(self.entries, item.nodeid)
        if entry is None:
            return
        if report.failed:
            report.outcome = "skipped"
            report.wasxfail = f"{FILE_NAME}: {entry.seen}"
            if entry not in self.failed:
                self.failed.append(entry)
        elif report.passed and report.when == "call":
            self.passed.append(entry)

    def pytest_terminal_summary(self, terminalreporter):
        """Print the results of the listed tests that ran."""
        for entry in self.failed:
            terminalreporter.write_line(
                f"known red: {entry.test}: {entry.seen} ({entry.issue})"
            )
        for entry in self.passed:
            if entry not in self.failed:
                terminalreporter.write_line(
                    f"passes, to be removed from {FILE_NAME}: {entry.test}"
                )


def pytest_addoption(parser):
    """Add the option that selects another list."""
    parser.addoption("--known-red", default=str(ROOT / FILE_NAME))


def pytest_configure(config):
    """Read the list and register the plugin."""
    path = Path(config.getoption("--known-red"))
    config.pluginmanager.register(KnownRedPlugin(read_known_red(path)), "known-red")
