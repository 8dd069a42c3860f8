"""Log output to a reader that is slow or gone.

Writing to a full pipe would block the process; lines must be dropped instead.
"""

import os
import select

import pytest

from cranberryfield.core.log_output import (
    ATOMIC_BYTES,
    MAX_WAITING_LINES,
    BoundedOutput,
)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    stream = os.fdopen(writer, "wb", buffering=0)
    yield reader, stream
    os.close(reader)
    stream.close()


def read_waiting(reader):
    data = b""
    while select.select([reader], [], [], 0)[0]:
        data += os.read(reader, 65_536)
    return data


@pytest.mark.parametrize("length", [10, 1_000, 3_000])
def test_a_full_pipe_does_not_block_and_its_loss_is_told(pipe, length):
    reader, stream = pipe
    output = BoundedOutput(stream)
    written = 0
    while not output.dropped:
        output.write(f"{written:06d}" + "x" * length)
        written += 1
    output.write("lost too")
    assert output.waiting == MAX_WAITING_LINES
    lines = []
    for _ in range(written):
        lines += read_waiting(reader).splitlines()
        output.flush()
        if not output.waiting:
            break
    lines += read_waiting(reader).splitlines()
    assert b'{"event": "log lines dropped", "count": 2}' in lines
    kept = [line for line in lines if not line.startswith(b"{")]
    assert kept == [f"{n:06d}".encode() + b"x" * length for n in range(written - 1)]


def test_a_line_that_could_block_half_way_is_cut(pipe):
    reader, stream = pipe
    output = BoundedOutput(stream)
    output.write("y" * (2 * ATOMIC_BYTES))
    assert read_waiting(reader) == b"y" * (ATOMIC_BYTES - 1) + b"\n"


def test_a_reader_that_has_gone_ends_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    with os.fdopen(writer, "wb", buffering=0) as stream:
        output = BoundedOutput(stream)
        output.write("nobody reads this")
        assert output.waiting == 0
