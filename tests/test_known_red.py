import subprocess
import sys

import pytest

from tests.known_red import ROOT, read_known_red

TEST_MODULE = """
import pytest

def test_listed_fails(): assert False
def test_listed_passes(): pass
@pytest.mark.parametrize("cell", ["a/b/c"])
def test_cell(cell): assert False
@pytest.fixture
def broken(): raise OSError
def test_listed_setup(broken): pass
"""
KNOWN_RED_LIST = """# comment
test_it.py::test_listed_fails | pytest | it fails | #1
test_it.py::test_listed_passes | pytest | it failed | #1
test_it.py::test_listed_setup | pytest | no set-up | #1
a/b/c | make matrix | the cell fails | #1
"""
UNLISTED_TEST = "\ndef test_unlisted(): assert False\n"


def run_pytest(folder, program):
    (folder / "test_it.py").write_text(program)
    (folder / "KNOWN-RED.txt").write_text(KNOWN_RED_LIST)
    (folder / "pytest.ini").write_text("[pytest]\n")
    arguments = ["-p", "tests.known_red", "--known-red", "KNOWN-RED.txt", "-q"]
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *arguments],
        cwd=folder,
        env={"PYTHONPATH": str(ROOT), "PATH": "/usr/bin:/bin"},
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.mark.parametrize(
    ("program", "code"),
    [(TEST_MODULE, 0), (TEST_MODULE + UNLISTED_TEST, 1)],
    ids=["all", "other"],
)
def test_only_listed_failures_are_passed_over(tmp_path, program, code):
    result = run_pytest(tmp_path, program)
    assert result.returncode == code, result.stdout
    for test, seen in [
        ("test_it.py::test_listed_fails", "it fails"),
        ("test_it.py::test_listed_setup", "no set-up"),
        ("a/b/c", "the cell fails"),
    ]:
        assert f"known red: {test}: {seen} (#1)" in result.stdout
    assert "to be removed from KNOWN-RED.txt: test_it.py::test_listed_passes" in (
        result.stdout
    )
    assert ("FAILED test_it.py::test_unlisted" in result.stdout) == bool(code)


@pytest.mark.parametrize(
    "line", ["a | b | c", "a | b | c | ", "a|b|c|d", "a | b | c | d\na | e | f | g"]
)
def test_malformed_list_is_refused(tmp_path, line):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(line)
    with pytest.raises(ValueError, match=r"KNOWN-RED.txt:\d"):
        read_known_red(path)


def test_the_list_of_the_repository_is_well_formed():
    read_known_red()
