"""Recovery of the journal when a write or a sync fails, as on a full disk."""

import errno
import os

import pytest

from cranberryfield.control.storage import DataFolder, Journal
from cranberryfield.control.storage import journal as journal_module
from cranberryfield.core.messages.consensus import LogEntry


class FullStream:
    """File wrapper that fails with ENOSPC after `left` more bytes; None: no limit."""

    def __init__(self, stream, left):
        self._stream = stream
        self.left = left

    def write(self, data):
        if self.left is None:
            return self._stream.write(data)
        if not self.left:
            raise OSError(errno.ENOSPC, "No space left on device")
        taken = self._stream.write(data[: self.left])
        self.left -= taken
        return taken

    def __getattr__(self, name):
        return getattr(self._stream, name)


def entry(index):
    return LogEntry(index, 1, bytes([index]) * 40)


@pytest.fixture
def path(tmp_path):
    DataFolder.open(tmp_path / "data", "group", "c1").close()
    return tmp_path / "data"


@pytest.mark.parametrize("taken", [0, 1, 30, 60])
@pytest.mark.parametrize("is_restarted", [False, True])
def test_what_a_full_disk_refused_is_written_once_it_has_room(
    path, taken, is_restarted
):
    journal, _ = Journal.open(path)
    journal.save_entries((entry(1),))
    journal.sync()
    full = journal._stream = FullStream(journal._stream, taken)
    journal.save_entries((entry(2),))
    for _ in range(2):
        with pytest.raises(OSError, match="No space"):
            journal.sync()
    expected = [1]
    if not is_restarted:
        full.left = None
        journal.save_entries((entry(3),))
        journal.sync()
        expected = [1, 2, 3]
    journal.close()
    reopened, loaded = Journal.open(path)
    reopened.close()
    assert [one.index for one in loaded.entries] == expected


def test_a_refused_sync_is_made_again_with_all_of_its_data(path, monkeypatch):
    journal, _ = Journal.open(path)
    journal.save_entries((entry(1),))
    refusals = [OSError(errno.EIO, "Input/output error")]

    def fdatasync(descriptor):
        if refusals:
            raise refusals.pop()
        os.fsync(descriptor)

    monkeypatch.setattr(journal_module.os, "fdatasync", fdatasync)
    with pytest.raises(OSError, match="Input/output"):
        journal.sync()
    journal.sync()
    journal.close()
    reopened, loaded = Journal.open(path)
    reopened.close()
    assert [one.index for one in loaded.entries] == [1]


def test_a_full_disk_at_the_next_segment_loses_nothing(path, monkeypatch):
    def refuse(folder, number):
        raise OSError(errno.ENOSPC, "No space left on device")

    journal, _ = Journal.open(path, segment_bytes=100)
    with monkeypatch.context() as patched:
        patched.setattr(journal_module, "open_segment", refuse)
        for index in (1, 2, 3):
            journal.save_entries((entry(index),))
            journal.sync()
    journal.save_entries((entry(4),))
    journal.sync()
    assert journal.segments == 2
    journal.close()
    reopened, loaded = Journal.open(path, segment_bytes=100)
    reopened.close()
    assert [one.index for one in loaded.entries] == [1, 2, 3, 4]
