"""Byte stream over an accepted socket that reads no more than it is asked for."""

import socket
from contextlib import suppress

import anyio

__all__ = ["AcceptedStream"]


class AcceptedStream:
    """Connection of a caller.

    A transport of asyncio receives from the moment at which a connection is accepted,
    and goes on while bytes that it has received wait for their reader. Here they stay
    in the kernel, whose buffer is limited, so that the peer has to wait.

    Parameters
    ----------
    raw : socket.socket
        The accepted socket, which does not block.
    """

    def __init__(self, raw: socket.socket):
        self._raw = raw
        self._unsent = memoryview(b"")

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that wait for the kernel to take them."""
        return len(self._unsent)

    async def receive(self, max_bytes: int) -> bytes:
        """Wait for bytes and return at most `max_bytes` of them.

        Raises
        ------
        anyio.EndOfStream
            If the peer has sent all its bytes.
        anyio.BrokenResourceError
            If the connection is lost.
        """
        while True:
            await anyio.wait_readable(self._raw)
            try:
                data = self._raw.recv(max_bytes)
            except BlockingIOError:
                continue
            except OSError as error:
                raise anyio.BrokenResourceError from error
            if not data:
                raise anyio.EndOfStream
            return data

    def send_now(self, data: bytes) -> bool:
        """Send bytes without waiting; return whether the kernel took all of them.

        The rest is kept for `flush`, also if this is called again before.
        """
        if self._unsent:
            self._unsent = memoryview(self._unsent.tobytes() + data)
        else:
            self._unsent = memoryview(data)
            self._send_part()
        return not self._unsent

    async def flush(self, max_bytes: int) -> None:
        """Wait until the kernel has taken at most `max_bytes` of what is kept.

        Raises
        ------
        anyio.BrokenResourceError
            If the connection is lost.
        """
        end = max(0, len(self._unsent) - max_bytes)
        while len(self._unsent) > end:
            await anyio.wait_writable(self._raw)
            self._send_part()

    def _send_part(self) -> None:
        try:
            sent = self._raw.send(self._unsent)
        except BlockingIOError:
            return
        except OSError as error:
            raise anyio.BrokenResourceError from error
        # An empty view must not keep the bytes that it is a part of.
        rest = self._unsent[sent:]
        self._unsent = rest if rest else memoryview(b"")

    def end_sending(self) -> None:
        """Tell the peer that no more bytes follow."""
        with suppress(OSError):
            self._raw.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection; bytes that the kernel has taken are still sent."""
        self._unsent = memoryview(b"")
        self._raw.close()
