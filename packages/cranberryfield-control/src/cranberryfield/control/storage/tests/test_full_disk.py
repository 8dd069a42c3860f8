"""Recovery of the journal when a write or a sync fails, as on a full disk."""

import errno
import os

import pytest

from cranberryfield.control.storage import DataFolder, Journal
from cranberryfield.control.storage import journal as journal_module
from cranberryfield.core.messages.consensus import LogEntry


class LimitedStream:
    """File that fails with ENOSPC after `remaining_bytes`; None means no limit."""

    def __init__(self, stream, remaining_bytes):
        self._stream = stream
        self.remaining_bytes = remaining_bytes

    def write(self, data):
        if self.remaining_bytes is None:
            return self._stream.write(data)
        if not self.remaining_bytes:
            raise OSError(errno.ENOSPC, "No space left on device")
        written = self._stream.write(data[: self.remaining_bytes])
        self.remaining_bytes -= written
        return written

    def __getattr__(self, name):
        return getattr(self._stream, name)


def entry(index):
    return LogEntry(index, 1, bytes([index]) * 40)


@pytest.fixture
def path(tmp_path):
    DataFolder.open(tmp_path / "data", "group", "c1").close()
    return tmp_path / "data"


@pytest.mark.parametrize("accepted_bytes", [0, 1, 30, 60])
@pytest.mark.parametrize("is_restarted", [False, True])
def test_write_refused_by_a_full_disk_is_retried_once_there_is_space(
    path, accepted_bytes, is_restarted
):
    journal, _ = Journal.open(path)
    journal.queue_entries((entry(1),))
    journal.sync()
    limited = journal._stream = LimitedStream(journal._stream, accepted_bytes)
    journal.queue_entries((entry(2),))
    for _ in range(2):
        with pytest.raises(OSError, match="No space"):
            journal.sync()
    expected = [1]
    if not is_restarted:
        limited.remaining_bytes = None
        journal.queue_entries((entry(3),))
        journal.sync()
        expected = [1, 2, 3]
    journal.close()
    reopened, loaded = Journal.open(path)
    reopened.close()
    assert [one.index for one in loaded.entries] == expected


def test_failed_sync_is_retried_with_all_its_data(path, monkeypatch):
    journal, _ = Journal.open(path)
    journal.queue_entries((entry(1),))
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


def test_full_disk_at_the_start_of_a_segment_loses_no_entries(path, monkeypatch):
    def refuse(folder, number):
        raise OSError(errno.ENOSPC, "No space left on device")

    journal, _ = Journal.open(path, segment_bytes=100)
    with monkeypatch.context() as patched:
        patched.setattr(journal_module, "open_segment", refuse)
        for index in (1, 2, 3):
            journal.queue_entries((entry(index),))
            journal.sync()
    journal.queue_entries((entry(4),))
    journal.sync()
    assert journal.segments == 2
    journal.close()
    reopened, loaded = Journal.open(path, segment_bytes=100)
    reopened.close()
    assert [one.index for one in loaded.entries] == [1, 2, 3, 4]
