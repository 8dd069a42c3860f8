"""Log output to a reader that is slow or gone.

Writing to a full pipe would block the process; lines must be dropped instead.
"""

import os
import select

import pytest

from cranberryfield.core.log_output import (
    ATOMIC_WRITE_BYTES,
    MAX_QUEUED_LINES,
    NonBlockingOutput,
)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    stream = os.fdopen(writer, "wb", buffering=0)
    yield reader, stream
    os.close(reader)
    stream.close()


def read_available(reader):
    data = b""
    while select.select([reader], [], [], 0)[0]:
        data += os.read(reader, 65_536)
    return data


@pytest.mark.parametrize("length", [10, 1_000, 3_000])
def test_full_pipe_does_not_block_and_dropped_lines_are_reported(pipe, length):
    reader, stream = pipe
    output = NonBlockingOutput(stream)
    written = 0
    while not output.dropped_lines:
        output.write(f"{written:06d}" + "x" * length)
        written += 1
    output.write("lost too")
    assert output.queued_lines == MAX_QUEUED_LINES
    lines = []
    for _ in range(written):
        lines += read_available(reader).splitlines()
        output.flush()
        if not output.queued_lines:
            break
    lines += read_available(reader).splitlines()
    assert b'{"event": "log lines dropped", "count": 2}' in lines
    kept = [line for line in lines if not line.startswith(b"{")]
    assert kept == [f"{n:06d}".encode() + b"x" * length for n in range(written - 1)]


def test_line_longer_than_an_atomic_write_is_truncated(pipe):
    reader, stream = pipe
    output = NonBlockingOutput(stream)
    output.write("y" * (2 * ATOMIC_WRITE_BYTES))
    assert read_available(reader) == b"y" * (ATOMIC_WRITE_BYTES - 1) + b"\n"


def test_closed_reader_is_ignored():
    reader, writer = os.pipe()
    os.close(reader)
    with os.fdopen(writer, "wb", buffering=0) as stream:
        output = NonBlockingOutput(stream)
        output.write("nobody reads this")
        assert output.queued_lines == 0
