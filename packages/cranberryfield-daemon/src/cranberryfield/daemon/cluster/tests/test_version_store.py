"""Software versions that outlast a loss of all power, on the disks of control hosts."""

import errno
import os

import anyio
import pytest
from structlog.testing import capture_logs

from cranberryfield.daemon.cluster import version_store
from cranberryfield.daemon.cluster.version_store import FILE_NAME, VersionStore
from cranberryfield.entry.streams import ServedVersionSection
from cranberryfield.entry.streams.served_versions import note_version

STORED_AT = 1_000_000.0
FOREVER = float("inf")


def store_in(folder, section, now=100.0, wall=STORED_AT):
    return VersionStore(folder, section, lambda: now, lambda: wall)


def stored(folder, *versions, complete_since=float("-inf")):
    section = ServedVersionSection(complete_since=complete_since)
    for version in versions:
        note_version(section, "drafts", version, 90.0)
    anyio.run(store_in(folder, section).store_changes)
    os.utime(folder / FILE_NAME, (STORED_AT, STORED_AT))


def loaded(folder, now=5.0, wall=STORED_AT):
    section = ServedVersionSection()
    store_in(folder, section, now, wall).load()
    return section


# Guards against a version that is forgotten, or taken for one that left long ago, when
# all hosts have lost power.
def test_versions_are_known_after_all_hosts_have_lost_power(tmp_path):
    stored(tmp_path, "v1", "v2")
    section = loaded(tmp_path)
    assert section.last_served == {"drafts": {"v1": 5.0, "v2": 5.0}}
    assert section.reach_s(5.0) == longest_reach_s()


def longest_reach_s():
    return ServedVersionSection().reach_s(0.0)


# Files in the data folder, time of day at the start, and for how long the versions are
# complete. A host that has lost its disk must not vouch for the time before, not even
# when it starts once more.
REACHES = [
    (None, 0.0, STORED_AT, 0.0),
    ("log", 0.0, STORED_AT, FOREVER),
    (FILE_NAME, float("-inf"), STORED_AT, FOREVER),
    (FILE_NAME, 100.0, STORED_AT, 0.0),
    (FILE_NAME, 100.0, STORED_AT + 7.0, 7.0),
    (FILE_NAME, 80.0, STORED_AT + 7.0, 27.0),
    (FILE_NAME, 80.0, STORED_AT - 50.0, 20.0),
]


@pytest.mark.parametrize(("name", "complete_since", "wall", "expected_s"), REACHES)
def test_for_how_long_versions_are_complete(
    tmp_path, name, complete_since, wall, expected_s
):
    if name == FILE_NAME:
        stored(tmp_path, "v1", complete_since=complete_since)
    elif name is not None:
        (tmp_path / name).touch()
    reach_s = loaded(tmp_path, wall=wall).reach_s(5.0)
    assert reach_s == min(expected_s, longest_reach_s())


@pytest.mark.parametrize("content", [b"", b"torn", b"\0" * 64])
def test_a_file_that_cannot_be_read_vouches_for_nothing(tmp_path, content):
    (tmp_path / FILE_NAME).write_bytes(content)
    with capture_logs() as lines:
        section = loaded(tmp_path)
    assert section.reach_s(5.0) == 0.0
    assert [one["event"] for one in lines] == ["cannot read the stored versions"]


# Guards against versions that are never stored since the disk was full once.
def test_a_full_disk_is_tried_again(tmp_path, monkeypatch):
    section = ServedVersionSection()
    note_version(section, "drafts", "v1", 90.0)
    store = store_in(tmp_path, section)

    def fail(file, data):
        raise OSError(errno.ENOSPC, "no space left")

    with monkeypatch.context() as patches:
        patches.setattr(version_store, "replace_file_atomically", fail)
        anyio.run(store.store_changes)
    assert not (tmp_path / FILE_NAME).exists()
    anyio.run(store.store_changes)
    assert loaded(tmp_path).last_served == {"drafts": {"v1": 5.0}}
