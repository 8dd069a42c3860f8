"""Output of log lines that never blocks on a slow reader."""

import select
from collections import deque
from typing import BinaryIO

__all__ = ["NonBlockingOutput"]

#: Maximum number of queued lines; further ones are counted and dropped.
MAX_QUEUED_LINES = 2_000
#: Size of a write that a writable pipe accepts without blocking, in bytes
#: (PIPE_BUF of POSIX).
ATOMIC_WRITE_BYTES = 4_096
DROPPED_LINES_RECORD = '{"event": "log lines dropped", "count": %d}'


class NonBlockingOutput:
    r"""Line output that drops lines instead of blocking.

    Parameters
    ----------
    stream : binary file
        Unbuffered pipe or file to write to.

    Examples
    --------
    >>> import os
    >>> reader, writer = os.pipe()
    >>> output = NonBlockingOutput(os.fdopen(writer, "wb", buffering=0))
    >>> output.write("one line")
    >>> os.read(reader, 100)
    b'one line\n'
    """

    def __init__(self, stream: BinaryIO):
        self._stream = stream
        self._queue: deque[bytes] = deque()
        self._dropped_lines = 0
        self._poller = select.poll()
        self._poller.register(stream.fileno(), select.POLLOUT)

    @property
    def queued_lines(self) -> int:
        """Number of queued lines."""
        return len(self._queue)

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped since it was last reported in the log."""
        return self._dropped_lines

    def write(self, line: str) -> None:
        """Write a line, or queue it while the stream is not writable."""
        data = line.encode("utf-8", "replace") + b"\n"
        if len(data) > ATOMIC_WRITE_BYTES:
            # A longer write could block after a part of the line.
            data = data[: ATOMIC_WRITE_BYTES - 1] + b"\n"
        if len(self._queue) >= MAX_QUEUED_LINES:
            self._dropped_lines += 1
        else:
            self._queue.append(data)
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the stream is not writable."""
        while self._queue and self._is_writable():
            try:
                self._stream.write(self._queue[0])
            except OSError:
                # The reader has closed the pipe; the process must not fail.
                self._queue.clear()
                return
            self._queue.popleft()
            if self._dropped_lines and len(self._queue) < MAX_QUEUED_LINES // 2:
                line = DROPPED_LINES_RECORD % self._dropped_lines
                self._dropped_lines = 0
                self._queue.appendleft(line.encode() + b"\n")

    def _is_writable(self) -> bool:
        return any(
            event & (select.POLLOUT | select.POLLERR | select.POLLHUP)
            for _, event in self._poller.poll(0)
        )
