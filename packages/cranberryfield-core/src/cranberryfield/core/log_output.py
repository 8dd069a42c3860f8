"""Writes log lines without ever waiting for who reads them."""

import select
from collections import deque
from typing import BinaryIO

__all__ = ["BoundedOutput"]

#: Lines that wait for a reader; further ones are counted and left out.
MAX_WAITING_LINES = 2_000
#: What a pipe that is ready for writing takes without blocking, in bytes
#: (POSIX, PIPE_BUF).
ATOMIC_BYTES = 4_096
DROPPED_LINE = '{"event": "log lines dropped", "count": %d}'


class BoundedOutput:
    r"""A file for log lines that drops lines rather than block.

    Parameters
    ----------
    stream : binary file
        A pipe or a file.

    Examples
    --------
    >>> import os
    >>> reader, writer = os.pipe()
    >>> output = BoundedOutput(os.fdopen(writer, "wb", buffering=0))
    >>> output.write("one line")
    >>> os.read(reader, 100)
    b'one line\n'
    """

    def __init__(self, stream: BinaryIO):
        self._stream = stream
        self._waiting: deque[bytes] = deque()
        self._dropped = 0
        self._poller = select.poll()
        self._poller.register(stream.fileno(), select.POLLOUT)

    @property
    def waiting(self) -> int:
        """Lines that wait for the reader."""
        return len(self._waiting)

    @property
    def dropped(self) -> int:
        """Lines left out since this was last said in the log."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write a line, or keep it until the reader takes more."""
        data = line.encode("utf-8", "replace") + b"\n"
        if len(data) > ATOMIC_BYTES:
            # A longer write could block half-way.
            data = data[: ATOMIC_BYTES - 1] + b"\n"
        if len(self._waiting) >= MAX_WAITING_LINES:
            self._dropped += 1
        else:
            self._waiting.append(data)
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._waiting and self._is_writable():
            try:
                self._stream.write(self._waiting[0])
            except OSError:
                # Nobody will read any more; the process goes on.
                self._waiting.clear()
                return
            self._waiting.popleft()
            if self._dropped and len(self._waiting) < MAX_WAITING_LINES // 2:
                line = DROPPED_LINE % self._dropped
                self._dropped = 0
                self._waiting.appendleft(line.encode() + b"\n")

    def _is_writable(self) -> bool:
        return any(
            event & (select.POLLOUT | select.POLLERR | select.POLLHUP)
            for _, event in self._poller.poll(0)
        )
